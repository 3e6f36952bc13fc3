import type { RunnerCall, RunnerReply } from '../../model/scheduler/runnerCall.ts';

/** Client of the platform's worker on an agent's instance. */
export abstract class RunnerClient {
  /** Sends one call. Never throws: a missing reply becomes the reply `noAnswer`. */
  abstract send(
    address: string,
    workerId: string,
    call: RunnerCall,
    timeoutMs: number,
  ): Promise<RunnerReply>;
  abstract dispose(): void;
}
