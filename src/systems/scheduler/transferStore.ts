import { parseValue } from '../../base/common/parse.ts';
import type { TransferRow } from '../../model/scheduler/fleet.ts';
import { STORE_KEYS } from '../../model/scheduler/jobRecord.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import type { TransferRecord } from '../../model/scheduler/transferRecord.ts';
import { transferRecordSchema } from '../../model/scheduler/transferRecord.ts';
import type { StoreEntry, StoreReply } from '../../model/store.ts';
import { listStoreReplies, sendStoreCall } from './storeCalls.ts';
import { recordUnreadableEntry } from './unreadableEntries.ts';

const LOAD_PURPOSE = 'transferLoad';
const WRITE_PURPOSE = 'transferWrite';
const CALL_TIMEOUT_MS = 1_000;
const RETRY_DELAY_MS = 300;

/**
 * Loads the transfers that an earlier owner stored; for unsettled ones it may have sent the move
 * command.
 */
export function loadTransfers(state: SchedulerState, now: number): void {
  const { transferLoad } = state.fleet;
  for (const { callId, reply } of listStoreReplies(state, LOAD_PURPOSE)) {
    if (callId !== transferLoad.callId) continue;
    transferLoad.callId = '';
    transferLoad.retryAt = now + RETRY_DELAY_MS;
    if (reply.kind !== 'page') continue;
    for (const entry of reply.entries) addStoredTransfer(state, entry, now);
    transferLoad.isDone = !reply.hasMore;
  }
  if (transferLoad.isDone || transferLoad.callId !== '' || now < transferLoad.retryAt) return;
  const after = state.fleet.transfers.list().at(-1)?.id;
  transferLoad.callId = sendStoreCall(
    state,
    LOAD_PURPOSE,
    {
      op: 'listPage',
      prefix: STORE_KEYS.transferPrefix,
      ...(after === undefined ? {} : { after: STORE_KEYS.transfer(after) }),
    },
    CALL_TIMEOUT_MS,
  );
}

function addStoredTransfer(
  state: SchedulerState,
  { key, value, version }: StoreEntry,
  now: number,
): void {
  const id = key.slice(STORE_KEYS.transferPrefix.length);
  const record = parseValue(transferRecordSchema, value).toMaybe().extract();
  if (record === undefined) {
    recordUnreadableEntry(state, 'transfer_unreadable', { key, version }, { instance: id });
    return;
  }
  const { home, pool, heading: direction, isSettled } = record;
  state.fleet.transfers.set({
    id,
    home,
    pool,
    direction,
    phase: isSettled ? 'settled' : 'ordered',
    isStored: true,
    storeVersion: version,
    storeCallId: '',
    callId: '',
    retryAt: Number.NEGATIVE_INFINITY,
    unansweredAt: isSettled ? Number.NEGATIVE_INFINITY : now,
    confirmedAt: Number.NEGATIVE_INFINITY,
  });
}

/** Writes a changed transfer to the store, or deletes the key of a dropped one. */
export function writeTransfer(state: SchedulerState, row: TransferRow, now: number): void {
  if (row.isStored || row.storeCallId !== '' || now < row.retryAt) return;
  const key = STORE_KEYS.transfer(row.id);
  const { home, pool, direction } = row;
  const value: TransferRecord = {
    home,
    pool,
    heading: direction,
    isSettled: row.phase === 'settled',
  };
  const storeCallId = sendStoreCall(
    state,
    WRITE_PURPOSE,
    {
      op: 'transact',
      expected: [
        { key: STORE_KEYS.owner, version: state.ownership.keyVersion },
        { key, version: row.storeVersion },
      ],
      puts: row.phase === 'dropped' ? [] : [{ key, value }],
      deletes: row.phase === 'dropped' ? [key] : [],
    },
    CALL_TIMEOUT_MS,
  );
  state.fleet.transfers.update(row.id, { storeCallId });
}

export function receiveTransferWrites(state: SchedulerState, now: number): void {
  for (const { callId, reply } of listStoreReplies(state, WRITE_PURPOSE))
    for (const row of state.fleet.transfers.list())
      if (row.storeCallId === callId) applyWriteReply(state, row, reply, now);
}

function applyWriteReply(
  state: SchedulerState,
  row: TransferRow,
  reply: StoreReply,
  now: number,
): void {
  const { transfers } = state.fleet;
  if (reply.kind === 'written') {
    if (row.phase === 'dropped') transfers.remove(row.id);
    else
      transfers.update(row.id, {
        storeCallId: '',
        isStored: true,
        storeVersion: reply.version,
        phase: row.phase === 'reserved' ? 'ordered' : row.phase,
      });
    return;
  }
  // An earlier write without an answer may have changed the version of the key.
  const storedEntry =
    reply.kind === 'mismatch'
      ? reply.entries.find(({ key }) => key === STORE_KEYS.transfer(row.id))
      : undefined;
  transfers.update(row.id, {
    storeCallId: '',
    storeVersion: storedEntry?.version ?? row.storeVersion,
    retryAt: now + RETRY_DELAY_MS,
  });
}
