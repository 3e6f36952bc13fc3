import type { Tick } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { LedgerRow, LedgerWrite, PendingChangeRow } from '../../model/ledger.ts';
import type { TaskRow } from '../../model/task.ts';
import {
  BUCKET_COUNT,
  formatLayoutKey,
  formatPartKey,
  formatSegmentKey,
  RING_SEGMENT_COUNT,
} from './ledgerKeys.ts';
import { estimateChangeBytes, MAX_SEGMENT_BYTES } from './ledgerSizes.ts';

export const LEDGER_CALL_TIMEOUT_MS = 2_000;

/** Number of segments in which every part is rewritten once. The rest of the ring allows for lost replies. */
const SNAPSHOT_ROTATION_SEGMENTS = 48;

/** Computes the segments between two part writes; below 1 with more parts than segments in a rotation. */
export function computePartWritePeriod(partCount: number): number {
  return SNAPSHOT_ROTATION_SEGMENTS / partCount;
}

type WriteContent = Pick<
  LedgerWrite,
  'kind' | 'key' | 'value' | 'expectedVersion' | 'part' | 'partCount'
>;

/** Sends a ledger write, or reads its key back after a lost reply or a version conflict. */
export function sendWrite(
  state: EntryState,
  tick: Tick,
  shard: string,
  content: WriteContent,
  isReadBack = false,
): LedgerWrite {
  const callId = `ledger/${shard}/${content.kind}/${tick.random.takeId()}`;
  const { key, value, expectedVersion } = content;
  state.outbox.append({
    kind: 'callStore',
    callId,
    call: isReadBack ? { op: 'read', key } : { op: 'write', key, expectedVersion, value },
    timeoutMs: LEDGER_CALL_TIMEOUT_MS,
  });
  if (!isReadBack) state.counters.add('ledger_writes', { kind: content.kind });
  return { ...content, callId, isReadBack, sentMs: tick.now, retryAtMs: undefined };
}

/** Collects as many pending changes as fit into one segment, urgent ones first. */
export function collectBatch(state: EntryState, shard: string, seq: number): PendingChangeRow[] {
  const waiting = [...state.pendingChanges.values()].filter(
    (row) => row.shard === shard && row.segmentSeq === undefined,
  );
  const sorted = [
    ...waiting.filter((row) => row.isUrgent),
    ...waiting.filter((row) => !row.isUrgent),
  ];
  const batch: PendingChangeRow[] = [];
  let bytes = 0;
  for (const row of sorted) {
    bytes += estimateChangeBytes(row.change);
    if (batch.length > 0 && bytes > MAX_SEGMENT_BYTES) break;
    batch.push(row);
    state.pendingChanges.update(row.id, { segmentSeq: seq });
  }
  return batch;
}

/** Starts the append of the next segment. */
export function startAppend(
  state: EntryState,
  tick: Tick,
  ledger: LedgerRow,
  changes: PendingChangeRow['change'][],
): void {
  const seq = ledger.nextSegmentSeq;
  const append = sendWrite(state, tick, ledger.id, {
    kind: 'append',
    key: formatSegmentKey(ledger.id, seq),
    value: { seq, epoch: ledger.epoch, token: tick.random.takeId(), changes },
    expectedVersion: ledger.ringVersions[seq % RING_SEGMENT_COUNT] ?? 0,
    part: 0,
    partCount: 0,
  });
  state.ledgers.update(ledger.id, { append, appendStartedMs: tick.now });
}

/** Starts the write of a snapshot part as of the last confirmed segment. */
export function startPartWrite(
  state: EntryState,
  tick: Tick,
  ledger: LedgerRow,
  part: number,
  partCount: number,
  expectedVersion: number,
): void {
  const tasks: TaskRow[] = [];
  for (let bucket = part; bucket < BUCKET_COUNT; bucket += partCount) {
    for (const ledgerTask of state.ledgerTasksByBucket.list(`${ledger.id}/${bucket}`)) {
      const task = state.tasks.get(ledgerTask.id);
      if (task !== undefined) tasks.push(task);
    }
  }
  const snapshot = sendWrite(state, tick, ledger.id, {
    kind: 'part',
    key: formatPartKey(ledger.id, partCount, part),
    value: {
      uptoSeq: ledger.nextSegmentSeq - 1,
      epoch: ledger.epoch,
      token: tick.random.takeId(),
      tasks,
    },
    expectedVersion,
    part,
    partCount,
  });
  const segmentsSinceSnapshot = Math.max(
    0,
    ledger.segmentsSinceSnapshot - computePartWritePeriod(partCount),
  );
  state.ledgers.update(ledger.id, { snapshot, segmentsSinceSnapshot });
}

/** Starts the write of the layout that sets the number of parts. */
export function startLayoutWrite(
  state: EntryState,
  tick: Tick,
  ledger: LedgerRow,
  partCount: 4 | 8 | 16 | 32 | 64 | 128,
): void {
  const snapshot = sendWrite(state, tick, ledger.id, {
    kind: 'layout',
    key: formatLayoutKey(ledger.id),
    value: { partCount, epoch: ledger.epoch, token: tick.random.takeId() },
    expectedVersion: ledger.layoutVersion,
    part: 0,
    partCount,
  });
  state.ledgers.update(ledger.id, { snapshot });
}
