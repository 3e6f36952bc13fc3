import type { Clock } from '../base/common/clock.ts';
import type { Timer } from '../base/common/loop.ts';
import type { StoreCall, StoreReply } from '../model/store.ts';
import { StoreClient } from '../protocol/node/storeClient.ts';
import { pollUntilUpdate } from './longPoll.ts';
import type { MemoryStore } from './memoryStore.ts';

/** One process's connection to a store in the same Node.js process. */
export class MemoryStoreClient extends StoreClient {
  private isDisposed = false;

  private constructor(
    private readonly store: MemoryStore,
    private readonly times: { readonly clock: Clock; readonly timer: Timer },
  ) {
    super();
  }

  static create(
    store: MemoryStore,
    times: { readonly clock: Clock; readonly timer: Timer },
  ): MemoryStoreClient {
    return new MemoryStoreClient(store, times);
  }

  override async send(call: StoreCall): Promise<StoreReply> {
    const waitMs = call.op === 'watchPrefix' || call.op === 'watch' ? call.waitMs : 0;
    return pollUntilUpdate(
      this.times,
      () => (this.isDisposed ? CLOSED : this.store.handle(call)),
      hasUpdate,
      waitMs,
    );
  }

  override dispose(): void {
    this.isDisposed = true;
  }
}

const CLOSED: StoreReply = { kind: 'unavailable', message: 'the client is closed' };

function hasUpdate(reply: StoreReply): boolean {
  return reply.kind === 'changes' ? reply.changes.length > 0 : reply.kind !== 'unchanged';
}
