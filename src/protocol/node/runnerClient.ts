import type { RunnerCall, RunnerReply } from '../../model/scheduler/runnerCall.ts';

/** The platform's worker beside an agent, as the scheduler speaks to it. */
export abstract class RunnerClient {
  /** Carries out one call. Never throws: no answer is the reply `noAnswer`. */
  abstract send(
    address: string,
    workerId: string,
    call: RunnerCall,
    timeoutMs: number,
  ): Promise<RunnerReply>;
  abstract dispose(): void;
}
