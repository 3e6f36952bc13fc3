import { Pool } from 'undici';
import type { WorkerCall, WorkerReply } from '../../model/workerCall.ts';
import { workerReplySchema } from '../../model/workerCall.ts';
import { parseValue } from '../../base/common/parse.ts';

/** Client of the platform's worker on an agent's instance. */
export abstract class WorkerClient {
  /** Sends one call. Returns undefined when no reply arrived; the call may have taken effect. */
  abstract send(call: WorkerCall, timeoutMs: number): Promise<WorkerReply | undefined>;
  abstract dispose(): void;
}

/** Worker client over HTTP that posts JSON calls to `/v1/call`. */
export class HttpWorkerClient extends WorkerClient {
  private readonly pool: Pool;

  private constructor(origin: string) {
    super();
    this.pool = new Pool(origin, { connections: 2, pipelining: 1 });
  }

  static create(origin: string): HttpWorkerClient {
    return new HttpWorkerClient(origin);
  }

  override async send(call: WorkerCall, timeoutMs: number): Promise<WorkerReply | undefined> {
    try {
      const answer = await this.pool.request({
        method: 'POST',
        path: '/v1/call',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(call),
        signal: AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs))),
      });
      const value: unknown = await answer.body.json();
      return parseValue(workerReplySchema, value).toMaybe().extract();
    } catch {
      return undefined;
    }
  }

  override dispose(): void {
    void this.pool.destroy();
  }
}
