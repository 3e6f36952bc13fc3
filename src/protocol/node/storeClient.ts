import type { StoreCall, StoreReply } from '../../model/store.ts';

/** The platform's key-value store. */
export abstract class StoreClient {
  /** Carries out one call. Never throws: no answer is the reply `unavailable`. */
  abstract send(call: StoreCall, timeoutMs: number): Promise<StoreReply>;
  abstract dispose(): void;
}
