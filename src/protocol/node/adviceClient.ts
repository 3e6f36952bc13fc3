import type { AdviceRequest, AdviceReply } from '../../model/scheduler/placementAdvice.ts';

/** The adviser on placement, as the scheduler speaks to it. */
export abstract class AdviceClient {
  /** Asks one question. Never throws: no answer is the reply `unavailable`. */
  abstract request(question: AdviceRequest, timeoutMs: number): Promise<AdviceReply>;
  abstract dispose(): void;
}
