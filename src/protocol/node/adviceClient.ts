import type { AdviceRequest, AdviceReply } from '../../model/scheduler/placementAdvice.ts';

/** Client of the placement adviser. */
export abstract class AdviceClient {
  /** Sends one request. Never throws: a missing reply becomes the reply `unavailable`. */
  abstract request(adviceRequest: AdviceRequest, timeoutMs: number): Promise<AdviceReply>;
  abstract dispose(): void;
}
