import { Pool } from 'undici';
import type { Failure } from '../../base/common/errors.ts';
import { createFailure } from '../../base/common/errors.ts';
import type { AttemptMessage, Headers, Response } from '../../model/request.ts';

/** Errors of the client that occur before the request is written to the endpoint. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const CONNECT_TIMEOUT_MS = 1_000;

export interface EndpointCallbacks {
  readonly onResponse: (attemptId: string, response: Response) => void;
  readonly onFailure: (attemptId: string, failure: Failure, sent: boolean) => void;
}

/** Sends attempts to the endpoints beside the agent, each once, over a bounded pool of connections. */
export class EndpointClient {
  private readonly pools = new Map<string, Pool>();
  private readonly aborts = new Map<string, AbortController>();

  private constructor(private readonly callbacks: EndpointCallbacks) {}

  static create(callbacks: EndpointCallbacks): EndpointClient {
    return new EndpointClient(callbacks);
  }

  send(origin: string, connections: number, timeoutMs: number, message: AttemptMessage): void {
    const abort = new AbortController();
    this.aborts.set(message.attemptId, abort);
    void this.run(this.getPool(origin, connections), timeoutMs, message, abort).finally(() => {
      this.aborts.delete(message.attemptId);
    });
  }

  /** Gives up waiting for the answer of an attempt. */
  close(attemptId: string): void {
    this.aborts.get(attemptId)?.abort();
  }

  dispose(): void {
    for (const pool of this.pools.values()) void pool.destroy();
    this.pools.clear();
  }

  private async run(
    pool: Pool,
    timeoutMs: number,
    message: AttemptMessage,
    abort: AbortController,
  ): Promise<void> {
    try {
      const answer = await pool.request({
        method: message.method,
        path: message.path,
        headers: message.headers.flat(),
        body: message.body.byteLength === 0 ? null : message.body,
        headersTimeout: Math.max(1, timeoutMs),
        bodyTimeout: Math.max(1, timeoutMs),
        signal: abort.signal,
      });
      const body = await readBody(answer.body, message.maxResponseBytes);
      if (body === undefined) {
        this.callbacks.onFailure(
          message.attemptId,
          createFailure(
            'answer_too_large',
            `the answer has more than ${message.maxResponseBytes} bytes`,
          ),
          true,
        );
        return;
      }
      this.callbacks.onResponse(message.attemptId, {
        status: answer.statusCode,
        headers: toHeaders(answer.headers),
        body,
      });
    } catch (error) {
      const code = (error as { code?: string }).code ?? 'unknown';
      const failure = createFailure('endpoint_failed', `the endpoint did not answer: ${code}`);
      this.callbacks.onFailure(message.attemptId, failure, !NOT_SENT_CODES.has(code));
    }
  }

  private getPool(origin: string, connections: number): Pool {
    let pool = this.pools.get(origin);
    if (pool === undefined) {
      pool = new Pool(origin, {
        connections,
        pipelining: 1,
        connect: { timeout: CONNECT_TIMEOUT_MS },
      });
      this.pools.set(origin, pool);
    }
    return pool;
  }
}

async function readBody(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<Uint8Array | undefined> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.byteLength;
    if (size > maxBytes) return undefined;
    chunks.push(chunk);
  }
  return chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks);
}

function toHeaders(headers: Record<string, string | string[] | undefined>): Headers {
  return Object.entries(headers).flatMap(([name, value]): Headers => {
    if (value === undefined) return [];
    return (Array.isArray(value) ? value : [value]).map((single): [string, string] => [
      name,
      single,
    ]);
  });
}
