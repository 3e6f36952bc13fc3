import type { Dispatcher } from 'undici';
import { Pool } from 'undici';
import type { AttemptMessage } from '../../model/request.ts';
import { attemptReplySchema } from '../../model/request.ts';
import { decodeMessage, encodeMessage } from '../common/codec.ts';
import { MAX_MESSAGE_BYTES } from '../common/messageBounds.ts';
import { mergeChunks } from '../common/mergeChunks.ts';
import type { AttemptCallback, AttemptHandlers, AttemptServer } from './attemptTransport.ts';
import { AttemptTransport } from './attemptTransport.ts';
import { DeadlineTimer } from './deadlineTimer.ts';
import { ABANDON_PATH, ATTEMPT_PATH, HttpAttemptServer } from './httpAttemptServer.ts';

const CONNECT_TIMEOUT_MS = 3_000;
const ABANDON_TIMEOUT_MS = 1_000;
/** Below the agent's keep-alive time, so that the entry closes idle connections first. */
const KEEP_ALIVE_MS = 20_000;
const HTTP_OK = 200;
const HTTP_NO_CONTENT = 204;

/** Receives the bytes of a response, or the error text. */
type BytesCallback = (bytes: Buffer | undefined, error: string) => void;

/** One call to an agent. Invokes its callback exactly once, whatever happens to the connection. */
class AgentCall implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private isComplete = false;
  private status = 0;
  private size = 0;
  private readonly chunks: Buffer[] = [];

  constructor(private readonly callback: BytesCallback) {}

  /** Fails the call. A call that is not yet written to the connection is never written. */
  cancel(error: string): void {
    this.complete(undefined, error);
    this.controller?.abort(new Error(error));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.isComplete) controller.abort(new Error('the call is already complete'));
  }

  onResponseStart(_controller: Dispatcher.DispatchController, status: number): void {
    this.status = status;
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.size += chunk.byteLength;
    if (this.size <= MAX_MESSAGE_BYTES) this.chunks.push(chunk);
    else this.cancel(`the response exceeds the limit of ${MAX_MESSAGE_BYTES} bytes`);
  }

  onResponseEnd(): void {
    const bytes = mergeChunks(this.chunks);
    if (this.status === HTTP_OK || this.status === HTTP_NO_CONTENT) this.complete(bytes, '');
    else this.complete(undefined, `status ${this.status}: ${bytes.toString('utf8')}`);
  }

  onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
    const { code } = error as { code?: string };
    this.complete(undefined, code === undefined ? error.message : `${code}: ${error.message}`);
  }

  private complete(bytes: Buffer | undefined, error: string): void {
    if (this.isComplete) return;
    this.isComplete = true;
    this.callback(bytes, error);
  }
}

/**
 * Sends attempts over HTTP/1.1 with keep-alive. The number of connections to an agent is unlimited:
 * admission limits the attempts in progress, and an abandon message must not wait for an attempt.
 */
export class HttpAttemptTransport extends AttemptTransport {
  private readonly pools = new Map<string, Pool>();
  private readonly deadlines = DeadlineTimer.create<AgentCall>((call) => {
    call.cancel('no response within the remaining time');
  });

  private constructor() {
    super();
  }

  static create(): HttpAttemptTransport {
    return new HttpAttemptTransport();
  }

  override send(address: string, message: AttemptMessage, callback: AttemptCallback): void {
    this.sendRequest(address, ATTEMPT_PATH, message, message.remainingMs, (bytes, error) => {
      if (bytes === undefined) {
        callback(undefined, error);
        return;
      }
      decodeMessage(attemptReplySchema, bytes).caseOf({
        Left: (fault) => {
          callback(undefined, fault);
        },
        Right: (reply) => {
          callback(reply, '');
        },
      });
    });
  }

  override sendAbandon(address: string, attemptId: string): void {
    this.sendRequest(address, ABANDON_PATH, { attemptId }, ABANDON_TIMEOUT_MS, () => undefined);
  }

  override async openServer(
    host: string,
    port: number,
    handlers: AttemptHandlers,
  ): Promise<AttemptServer> {
    return HttpAttemptServer.create(host, port, handlers);
  }

  override dispose(): void {
    for (const pool of this.pools.values()) void pool.destroy();
    this.pools.clear();
    this.deadlines.dispose();
  }

  private sendRequest(
    address: string,
    path: string,
    message: object,
    timeoutMs: number,
    callback: BytesCallback,
  ): void {
    const call = new AgentCall((bytes, error) => {
      this.deadlines.remove(call);
      callback(bytes, error);
    });
    this.deadlines.add(call, timeoutMs);
    this.getPool(address).dispatch({ method: 'POST', path, body: encodeMessage(message) }, call);
  }

  private getPool(address: string): Pool {
    let pool = this.pools.get(address);
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, {
        pipelining: 1,
        keepAliveTimeout: KEEP_ALIVE_MS,
        keepAliveMaxTimeout: KEEP_ALIVE_MS,
        // Each call has its own deadline; the timeouts of undici would add a timer per call.
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: { timeout: CONNECT_TIMEOUT_MS },
      });
      this.pools.set(address, pool);
    }
    return pool;
  }
}
