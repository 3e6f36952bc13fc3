import { Pool } from 'undici';
import type { Dispatcher } from 'undici';
import type { Failure } from '../../base/common/errors.ts';
import { createFailure } from '../../base/common/errors.ts';
import type { AttemptMessage, Headers, Response } from '../../model/request.ts';
import { mergeChunks } from '../common/mergeChunks.ts';

const CONNECT_TIMEOUT_MS = 1_000;

export interface EndpointCallbacks {
  readonly onResponse: (attemptId: string, response: Response) => void;
  readonly onFailure: (attemptId: string, failure: Failure, isSent: boolean) => void;
}

/**
 * One attempt sent to an endpoint. It uses the dispatch interface of undici, because the promise
 * and stream of `request` take about as much time per attempt as the rest of the agent.
 */
class ForwardedAttempt implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private isAborted = false;
  private isTooLarge = false;
  /** Whether the endpoint may have received the request. */
  private isSent = false;
  private status = 0;
  private headers: Headers = [];
  private readonly chunks: Buffer[] = [];
  private size = 0;

  constructor(
    private readonly message: AttemptMessage,
    private readonly callbacks: EndpointCallbacks,
    private readonly onEnd: () => void,
  ) {}

  /** Aborts the attempt. An attempt that is not yet written to the connection is never written. */
  cancel(): void {
    this.isAborted = true;
    this.controller?.abort(new Error('the attempt was abandoned'));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.isAborted) controller.abort(new Error('the attempt was abandoned'));
    else this.isSent = true;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    this.status = status;
    this.headers = toHeaders(headers);
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.size += chunk.byteLength;
    if (this.size <= this.message.maxResponseBytes) {
      this.chunks.push(chunk);
      return;
    }
    this.isTooLarge = true;
    controller.abort(new Error('the response is too large'));
  }

  onResponseEnd(): void {
    this.onEnd();
    const body = mergeChunks(this.chunks);
    const { status, headers } = this;
    this.callbacks.onResponse(this.message.attemptId, { status, headers, body });
  }

  onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
    this.onEnd();
    const { attemptId, maxResponseBytes } = this.message;
    const code = (error as { code?: string }).code ?? error.message;
    const failure = this.isTooLarge
      ? createFailure(
          'answer_too_large',
          `the response exceeds the limit of ${maxResponseBytes} bytes`,
        )
      : createFailure('endpoint_failed', `the endpoint did not answer: ${code}`);
    this.callbacks.onFailure(attemptId, failure, this.isSent);
  }
}

/**
 * Sends attempts to the endpoints on the agent's instance, each once, over a connection pool of
 * limited size per endpoint.
 */
export class EndpointClient {
  private readonly pools = new Map<string, Pool>();
  private readonly attempts = new Map<string, ForwardedAttempt>();

  private constructor(private readonly callbacks: EndpointCallbacks) {}

  static create(callbacks: EndpointCallbacks): EndpointClient {
    return new EndpointClient(callbacks);
  }

  send(origin: string, connections: number, timeoutMs: number, message: AttemptMessage): void {
    const { attemptId } = message;
    const attempt = new ForwardedAttempt(message, this.callbacks, () => {
      this.attempts.delete(attemptId);
    });
    this.attempts.set(attemptId, attempt);
    const attemptTimeoutMs = Math.max(1, Math.ceil(timeoutMs));
    const options: Dispatcher.DispatchOptions = {
      origin,
      method: message.method,
      path: message.path,
      headers: message.headers.flat(),
      body: message.body.byteLength === 0 ? null : message.body,
      headersTimeout: attemptTimeoutMs,
      bodyTimeout: attemptTimeoutMs,
    };
    try {
      this.getPool(origin, connections).dispatch(options, attempt);
    } catch (error) {
      // undici rejects invalid headers and paths before it writes any bytes.
      attempt.onResponseError(undefined, error as Error);
    }
  }

  /** Aborts an attempt whose response is no longer needed. */
  cancel(attemptId: string): void {
    this.attempts.get(attemptId)?.cancel();
  }

  dispose(): void {
    for (const pool of this.pools.values()) void pool.destroy();
    this.pools.clear();
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

function toHeaders(headers: Record<string, string | string[] | undefined>): Headers {
  const list: Headers = [];
  for (const [name, value] of Object.entries(headers)) {
    if (typeof value === 'string') list.push([name, value]);
    else for (const item of value ?? []) list.push([name, item]);
  }
  return list;
}
