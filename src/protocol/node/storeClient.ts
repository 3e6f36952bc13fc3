import type { StoreCall, StoreReply } from '../../model/store.ts';

/** Client of the platform's key-value store. */
export abstract class StoreClient {
  /** Sends one call. Never throws: a missing reply becomes the reply `unavailable`. */
  abstract send(call: StoreCall, timeoutMs: number): Promise<StoreReply>;
  abstract dispose(): void;
}
