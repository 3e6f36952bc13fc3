import type { ClientRequest, RequestOptions } from 'node:http';
import { Agent, request } from 'node:http';
import { isAddress, parseAddress } from '../model/address.ts';

/** Outcome of an HTTP call. `notSent`: the connection was refused, so the call had no effect. */
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

/** Maximum number of connections to one address; each watch occupies one for seconds. */
const MAX_CONNECTIONS_PER_ADDRESS = 16;
/** The platform closes idle connections after 15 s; this process should close them earlier. */
const IDLE_CONNECTION_TIMEOUT_MS = 10_000;

/** Sends JSON calls over HTTP/1.1 and reuses connections. */
export class WireHttp {
  private readonly agent = new Agent({
    keepAlive: true,
    maxSockets: MAX_CONNECTIONS_PER_ADDRESS,
    timeout: IDLE_CONNECTION_TIMEOUT_MS * 2,
    scheduling: 'lifo',
  });

  private constructor() {
    // Instances are created by create().
  }

  static create(): WireHttp {
    return new WireHttp();
  }

  /** Never throws. Closes the connection of a call that times out. */
  async send(call: WireCall): Promise<WireOutcome> {
    if (!isAddress(call.address)) return { kind: 'noAnswer', message: 'the address is invalid' };
    return new Promise((resolve) => {
      let outgoing: ClientRequest;
      let payload: string | undefined;
      try {
        payload = call.body === undefined ? undefined : JSON.stringify(call.body);
        outgoing = request(this.buildOptions(call, payload));
      } catch (error) {
        // Node rejects characters that a path or a header must not contain.
        // `notSent` would mean that the receiver refuses connections.
        resolve({ kind: 'noAnswer', message: (error as Error).message });
        return;
      }
      const timer = setTimeout(() => {
        outgoing.destroy(new Error('no answer in time'));
      }, call.timeoutMs);
      const complete = (outcome: WireOutcome): void => {
        clearTimeout(timer);
        resolve(outcome);
      };
      outgoing.on('error', (error: NodeJS.ErrnoException) => {
        const kind = error.code === 'ECONNREFUSED' ? 'notSent' : 'noAnswer';
        complete({ kind, message: error.code ?? error.message });
      });
      outgoing.on('response', (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', (error) => {
          complete({ kind: 'noAnswer', message: error.message });
        });
        response.on('end', () => {
          complete(parseResponse(response.statusCode ?? 0, Buffer.concat(chunks).toString('utf8')));
        });
        response.on('close', () => {
          complete({ kind: 'noAnswer', message: 'the answer was cut off' });
        });
      });
      outgoing.end(payload);
    });
  }

  private buildOptions(call: WireCall, payload: string | undefined): RequestOptions {
    return {
      agent: this.agent,
      ...parseAddress(call.address),
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
    };
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
    // The status alone can be sufficient; a caller that needs the body validates it.
    return { kind: 'answer', status, body: (error as Error).message };
  }
}
