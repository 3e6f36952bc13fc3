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
 * Stores that the owners before this one have granted their last lease, so that no later owner waits
 * for them. Reads store replies and `ownership`; writes its recorded grants. Runs after the ownership
 * system.
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
    for (const { callId, reply, sentAt } of listStoreReplies(state, 'lastOwner')) {
      if (callId !== ownership.lastOwnerCallId) continue;
      ownership.lastOwnerCallId = '';
      timers.lastOwnerWriteAt = tick.now + RETRY_DELAY_MS;
      if (reply.kind !== 'written') continue;
      ownership.recordedGrantsMs = 0;
      confirmOwnerKey(ownership, sentAt);
    }
    const isOwner = ownership.role === 'owner';
    if (!isOwner || ownership.recordedGrantsMs === 0 || ownership.lastOwnerCallId !== '') return;
    const writeAt = Math.max(ownership.earlierGrantsEndAt + 1, timers.lastOwnerWriteAt);
    if (tick.now < writeAt) {
      tick.wakeAt(writeAt);
      return;
    }
    const expected = [{ key: STORE_KEYS.owner, version: ownership.keyVersion }];
    const puts = [buildLastOwner(state, ownership.epoch, 0)];
    const call = { op: 'transact' as const, expected, puts, deletes: [] };
    ownership.lastOwnerCallId = sendStoreCall(state, 'lastOwner', call, CALL_TIMEOUT_MS);
  }
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
): { readonly key: string; readonly value: LastOwner } {
  const { id: entryId, bootId, address } = self;
  return { key: STORE_KEYS.lastOwner, value: { epoch, entryId, bootId, address, earlierGrantsMs } };
}
