import type { ManualClock } from '../../src/base/common/clock.ts';
import type { StoreCall, StoreReply } from '../../src/model/store.ts';
import type { MemoryStore } from '../../src/standins/memoryStore.ts';
import type { WorldEvents } from './worldEvents.ts';

const STORE_DELAY_MS = 5;
const WATCH_POLL_MS = 20;
const PLATFORM_ENTRIES_PER_TRANSACTION = 32;

/** Delay of late writes; an unanswered write may take effect up to 6 s later. */
const LATE_WRITE_DELAY_MS = 5_000;

/**
 * How the store handles the calls of one node. `answerLost`: transactions are executed and not
 * answered. `late`: they are executed {@link LATE_WRITE_DELAY_MS} later and not answered.
 */
export type StoreMode = 'up' | 'refuses' | 'silent' | 'answerLost' | 'late';

type Answer = (reply: StoreReply, sentAt: number) => void;

/** Simulates the link from the nodes of a world to the store, with its faults. */
export class WorldStore {
  private constructor(
    private readonly store: MemoryStore,
    private readonly events: WorldEvents,
    private readonly clock: ManualClock,
  ) {}

  static create(store: MemoryStore, events: WorldEvents, clock: ManualClock): WorldStore {
    return new WorldStore(store, events, clock);
  }

  call(mode: StoreMode, call: StoreCall, timeoutMs: number, answer: Answer): void {
    const sentAt = this.clock.now;
    if (mode === 'refuses') {
      this.events.schedule(STORE_DELAY_MS, () => {
        answer({ kind: 'refused', message: 'busy' }, sentAt);
      });
      return;
    }
    const isLate = mode === 'late' && call.op === 'transact';
    const isLost = mode === 'silent' || isLate || (mode === 'answerLost' && call.op === 'transact');
    if (isLate) this.events.schedule(LATE_WRITE_DELAY_MS, () => this.handle(call));
    else if (mode !== 'silent')
      this.events.schedule(STORE_DELAY_MS / 2, () => {
        const reply = this.handle(call);
        if (!isLost) this.answer(call, reply, sentAt, answer);
      });
    if (isLost)
      this.events.schedule(timeoutMs, () => {
        answer({ kind: 'unavailable', message: 'no answer in time' }, sentAt);
      });
  }

  private handle(call: StoreCall): StoreReply {
    if (call.op === 'transact') {
      const size = call.expected.length + call.puts.length + call.deletes.length;
      if (size > PLATFORM_ENTRIES_PER_TRANSACTION)
        return { kind: 'unavailable', message: `${size} entries` };
    }
    return this.store.handle(call);
  }

  private answer(call: StoreCall, reply: StoreReply, sentAt: number, answer: Answer): void {
    const isWaiting =
      call.op === 'watchPrefix' &&
      reply.kind === 'changes' &&
      reply.changes.length === 0 &&
      this.clock.now < sentAt + call.waitMs;
    this.events.schedule(isWaiting ? WATCH_POLL_MS : STORE_DELAY_MS / 2, () => {
      if (isWaiting) this.answer(call, this.store.handle(call), sentAt, answer);
      else answer(reply, sentAt);
    });
  }
}
