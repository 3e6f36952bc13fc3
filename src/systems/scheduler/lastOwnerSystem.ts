import { parseValue } from '../../base/common/parse.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { LastOwner } from '../../model/scheduler/jobRecord.ts';
import { lastOwnerSchema, STORE_KEYS } from '../../model/scheduler/jobRecord.ts';
import { confirmOwnerKey } from '../../model/scheduler/ownership.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import type { StoreEntry } from '../../model/store.ts';
import { listStoreReplies, sendStoreCall } from './storeCalls.ts';

/** As for the other calls of the ownership system. */
const CALL_TIMEOUT_MS = 800;
const RETRY_DELAY_MS = 500;
/**
 * An owner may grant leases in an outage of the store once other entries know it, which shortens their
 * wait when they take over: this time after the first of them has followed it, ms, as the others open
 * their links within some tenths of a second of each other; without any, this time after its claim.
 */
const OUTAGE_GRANTS_FOLLOWED_MS = 1_000;
const OUTAGE_GRANTS_ALONE_MS = 3_000;

/**
 * Keeps the record of this owner for its successors: that the owners before it have granted their last
 * lease, so that no later owner waits for them, and that it may grant leases in an outage of the store
 * itself, which it does only once the record says so. Reads store replies and `ownership`; writes its
 * record. Runs after the ownership system.
 */
export class LastOwnerSystem extends System<SchedulerState> {
  override readonly name = 'lastOwner';

  private constructor() {
    super();
  }

  static create(): LastOwnerSystem {
    return new LastOwnerSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    const { ownership, timers } = state;
    this.receiveUpdates(state, tick.now);
    if (ownership.role !== 'owner' || ownership.recordUpdate.callId !== '') return;
    const dueAt = Math.min(
      ownership.recordedGrantsMs > 0 ? ownership.earlierGrantsEndAt + 1 : Number.POSITIVE_INFINITY,
      ownership.canGrantInOutage ? Number.POSITIVE_INFINITY : computeOutageGrantsStart(state),
    );
    if (dueAt === Number.POSITIVE_INFINITY) return;
    const writeAt = Math.max(dueAt, timers.lastOwnerWriteAt);
    if (tick.now < writeAt) tick.wakeAt(writeAt);
    else this.sendUpdate(state, tick.now);
  }

  private receiveUpdates(state: SchedulerState, now: number): void {
    const { ownership, timers } = state;
    const { recordUpdate } = ownership;
    for (const { callId, reply, sentAt } of listStoreReplies(state, 'lastOwner')) {
      if (callId !== recordUpdate.callId) continue;
      recordUpdate.callId = '';
      timers.lastOwnerWriteAt = now + RETRY_DELAY_MS;
      if (reply.kind === 'written') {
        timers.lastOwnerWriteAt = now;
        ownership.recordVersion = reply.version;
        ownership.recordedGrantsMs = recordUpdate.grantsMs;
        ownership.canGrantInOutage = recordUpdate.grantsInOutage;
        confirmOwnerKey(ownership, sentAt);
      } else if (reply.kind === 'mismatch') {
        // An earlier update without an answer took effect, or the ownership is lost, which the
        // comparisons of the owner key tell.
        const entry = reply.entries.find(({ key }) => key === STORE_KEYS.lastOwner);
        if (entry !== undefined) ownership.recordVersion = entry.version;
      }
    }
  }

  private sendUpdate(state: SchedulerState, now: number): void {
    const { ownership } = state;
    const grantsMs = Math.max(0, Math.ceil(ownership.earlierGrantsEndAt - now));
    const grantsInOutage = ownership.canGrantInOutage || now >= computeOutageGrantsStart(state);
    const call = {
      op: 'transact' as const,
      // An update without an answer must not take effect after a later one.
      expected: [
        { key: STORE_KEYS.owner, version: ownership.keyVersion },
        { key: STORE_KEYS.lastOwner, version: ownership.recordVersion },
      ],
      puts: [buildLastOwner(state, ownership.epoch, grantsMs, grantsInOutage)],
      deletes: [],
    };
    const callId = sendStoreCall(state, 'lastOwner', call, CALL_TIMEOUT_MS);
    ownership.recordUpdate = { callId, grantsMs, grantsInOutage };
  }
}

/** Computes from when the record of this owner may allow it to grant leases in an outage. */
function computeOutageGrantsStart({ ownership, followers }: SchedulerState): number {
  let startAt = ownership.claimedAt + OUTAGE_GRANTS_ALONE_MS;
  for (const { followsSince } of followers.values())
    startAt = Math.min(startAt, followsSince + OUTAGE_GRANTS_FOLLOWED_MS);
  return startAt;
}

/** Reads the last owner from the entries of a failed comparison; an unreadable record names none. */
export function applyLastOwner(
  { ownership, self }: SchedulerState,
  entries: readonly StoreEntry[],
  now: number,
): void {
  const entry = entries.find(({ key }) => key === STORE_KEYS.lastOwner);
  if (entry === undefined || entry.version === ownership.lastOwnerVersion) return;
  ownership.lastOwnerVersion = entry.version;
  const record = parseValue(lastOwnerSchema, entry.value).toMaybe().extract();
  ownership.lastOwner =
    record === undefined ? undefined : { ...record, grantsEndAt: now + record.earlierGrantsMs };
  // This process is not the owner, and two processes cannot listen at one address.
  if (record?.entryId === self.id && record.address === self.address)
    ownership.endedEpoch = Math.max(ownership.endedEpoch, record.epoch);
}

/** Builds the record of this entry as the owner of an epoch. */
export function buildLastOwner(
  { self }: SchedulerState,
  epoch: number,
  earlierGrantsMs: number,
  grantsInOutage: boolean,
): { readonly key: string; readonly value: LastOwner } {
  const { id: entryId, bootId, address } = self;
  const value = { epoch, entryId, bootId, address, earlierGrantsMs, grantsInOutage };
  return { key: STORE_KEYS.lastOwner, value };
}
