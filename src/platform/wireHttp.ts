import { Agent, request } from 'node:http';

/** Outcome of one HTTP call. `notSent` means that no connection was made, so nothing was done. */
export type WireOutcome =
  | { readonly kind: 'answer'; readonly status: number; readonly body: unknown }
  | { readonly kind: 'notSent'; readonly message: string }
  | { readonly kind: 'noAnswer'; readonly message: string };

export interface WireCall {
  readonly method: 'GET' | 'POST' | 'DELETE';
  /** `ip:port`. */
  readonly address: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  readonly timeoutMs: number;
}

/** Most connections to one address; watches hold one each for seconds. */
const MAX_CONNECTIONS_PER_ADDRESS = 16;
/** The platform closes idle connections after 15 s; ours go first. */
const IDLE_CONNECTION_TIMEOUT_MS = 10_000;

/** JSON calls over HTTP/1.1 with connections that are kept and reused. */
export class WireHttp {
  private readonly agent = new Agent({
    keepAlive: true,
    maxSockets: MAX_CONNECTIONS_PER_ADDRESS,
    timeout: IDLE_CONNECTION_TIMEOUT_MS * 2,
    scheduling: 'lifo',
  });

  private constructor() {
    // Built by create().
  }

  static create(): WireHttp {
    return new WireHttp();
  }

  /** Never throws. A call without an answer in time closes its connection. */
  async send(call: WireCall): Promise<WireOutcome> {
    return new Promise((resolve) => {
      const payload = call.body === undefined ? undefined : JSON.stringify(call.body);
      const at = call.address.lastIndexOf(':');
      const outgoing = request({
        agent: this.agent,
        host: call.address.slice(0, at),
        port: Number(call.address.slice(at + 1)),
        method: call.method,
        path: call.path,
        headers: {
          ...call.headers,
          ...(payload === undefined
            ? {}
            : {
                'content-type': 'application/json',
                'content-length': String(Buffer.byteLength(payload)),
              }),
        },
      });
      const timer = setTimeout(() => {
        outgoing.destroy(new Error('no answer in time'));
      }, call.timeoutMs);
      const settle = (outcome: WireOutcome): void => {
        clearTimeout(timer);
        resolve(outcome);
      };
      outgoing.on('error', (error: NodeJS.ErrnoException) => {
        const kind = error.code === 'ECONNREFUSED' ? 'notSent' : 'noAnswer';
        settle({ kind, message: error.code ?? error.message });
      });
      outgoing.on('response', (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', (error) => {
          settle({ kind: 'noAnswer', message: error.message });
        });
        response.on('end', () => {
          settle(parseResponse(response.statusCode ?? 0, Buffer.concat(chunks).toString('utf8')));
        });
        response.on('close', () => {
          settle({ kind: 'noAnswer', message: 'the answer was cut off' });
        });
      });
      outgoing.end(payload);
    });
  }

  dispose(): void {
    this.agent.destroy();
  }
}

function parseResponse(status: number, text: string): WireOutcome {
  if (text === '') return { kind: 'answer', status, body: undefined };
  try {
    return { kind: 'answer', status, body: JSON.parse(text) as unknown };
  } catch (error) {
    // The status alone may decide; a body that matters fails its schema.
    return { kind: 'answer', status, body: (error as Error).message };
  }
}
