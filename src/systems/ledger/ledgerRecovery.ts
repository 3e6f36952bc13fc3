import { formatFaults, parseValue } from '../../base/common/parse.ts';
import type { Tick } from '../../base/common/system.ts';
import type * as z from 'zod/mini';
import type { EntryState } from '../../model/entryState.ts';
import type { ShardOwnershipRow, LedgerRow, Segment, SnapshotPart } from '../../model/ledger.ts';
import { ledgerLayoutSchema, segmentSchema, snapshotPartSchema } from '../../model/ledger.ts';
import type { StoreCall, StoreEntry, StoreReply } from '../../model/store.ts';
import { applyShardChanges } from './ledgerChanges.ts';
import {
  BUCKET_COUNT,
  formatLayoutKey,
  formatPartKey,
  formatPartPrefix,
  formatSegmentKey,
  formatSegmentPrefix,
  hashBucket,
  MIN_PART_COUNT,
  RING_SEGMENT_COUNT,
} from './ledgerKeys.ts';
import { LEDGER_CALL_TIMEOUT_MS, startLayoutWrite } from './ledgerWrites.ts';

const RETRY_DELAY_MS = 500;
/** Time between reads of a ledger with damaged values, which an operator has to repair. */
const DAMAGED_RETRY_DELAY_MS = 5_000;
const MAX_RECOVERY_RESTARTS = 5;

/** Starts to read the ledger of a shard whose ownership this entry has just acquired. */
export function startRecovery(
  state: EntryState,
  tick: Tick,
  ownership: ShardOwnershipRow,
  recoveryRestarts: number,
  delayMs = 0,
): void {
  state.ledgers.set({
    id: ownership.id,
    epoch: ownership.epoch,
    phase: 'reading-layout',
    readCallId: undefined,
    readSentMs: 0,
    retryAtMs: tick.now + delayMs,
    recoveryRestarts,
    unappliedSegments: [],
    nextSegmentSeq: 1,
    ringVersions: new Array<number>(RING_SEGMENT_COUNT).fill(0),
    append: undefined,
    appendStartedMs: 0,
    appendConfirmedMs: 0,
    snapshot: undefined,
    segmentsSinceSnapshot: 0,
    layoutVersion: 0,
    parts: new Array(MIN_PART_COUNT).fill({ uptoSeq: 0, version: 0 }),
    nextParts: undefined,
    bucketBytes: new Array<number>(BUCKET_COUNT).fill(0),
    nextTaskSequence: 1,
  });
}

/** Sends the read of the current phase when it is due. */
export function sendRecoveryRead(state: EntryState, tick: Tick, ledger: LedgerRow): void {
  if (ledger.phase === 'fencing' || ledger.phase === 'ready') return;
  const dueMs =
    ledger.readCallId === undefined
      ? ledger.retryAtMs
      : ledger.readSentMs + LEDGER_CALL_TIMEOUT_MS + RETRY_DELAY_MS;
  if (tick.now < dueMs) {
    tick.wakeAt(dueMs);
    return;
  }
  const callId = `ledger/${ledger.id}/${ledger.phase}/${tick.random.takeId()}`;
  state.ledgers.update(ledger.id, { readCallId: callId, readSentMs: tick.now });
  const call = buildReadCall(ledger);
  state.outbox.append({ kind: 'callStore', callId, call, timeoutMs: LEDGER_CALL_TIMEOUT_MS });
}

/** Handles the store's reply to a recovery read. */
export function handleRecoveryReply(
  state: EntryState,
  tick: Tick,
  ledger: LedgerRow,
  reply: StoreReply,
): void {
  if (reply.kind === 'entry') handleLayout(state, tick, ledger, reply.entry);
  else if (reply.kind === 'entries' && ledger.phase === 'reading-segments')
    handleSegments(state, tick, ledger, reply.entries);
  else if (reply.kind === 'entries') handleParts(state, tick, ledger, reply.entries);
  else
    state.ledgers.update(ledger.id, {
      readCallId: undefined,
      retryAtMs: tick.now + RETRY_DELAY_MS,
    });
}

function buildReadCall(ledger: LedgerRow): StoreCall {
  if (ledger.phase === 'reading-layout') return { op: 'read', key: formatLayoutKey(ledger.id) };
  if (ledger.phase === 'reading-segments')
    return { op: 'list', prefix: formatSegmentPrefix(ledger.id) };
  return { op: 'list', prefix: formatPartPrefix(ledger.id, ledger.parts.length) };
}

function handleLayout(state: EntryState, tick: Tick, ledger: LedgerRow, entry: StoreEntry): void {
  let partCount = MIN_PART_COUNT;
  if (entry.version !== 0) {
    const layout = parseStoredValue(state, tick, ledger, entry, ledgerLayoutSchema);
    if (layout === undefined) return;
    partCount = layout.partCount;
  }
  state.ledgers.update(ledger.id, {
    phase: 'reading-segments',
    readCallId: undefined,
    retryAtMs: tick.now,
    layoutVersion: entry.version,
    parts: new Array(partCount).fill({ uptoSeq: 0, version: 0 }),
  });
}

function handleSegments(
  state: EntryState,
  tick: Tick,
  ledger: LedgerRow,
  entries: readonly StoreEntry[],
): void {
  const unappliedSegments: Segment[] = [];
  const ringVersions = [...ledger.ringVersions];
  for (const entry of entries) {
    const segment = parseStoredValue(state, tick, ledger, entry, segmentSchema);
    if (segment === undefined) return;
    if (formatSegmentKey(ledger.id, segment.seq) !== entry.key) {
      reportDamagedValue(state, tick, ledger, entry.key, 'segment number and key differ');
      return;
    }
    unappliedSegments.push(segment);
    ringVersions[segment.seq % RING_SEGMENT_COUNT] = entry.version;
  }
  unappliedSegments.sort((a, b) => a.seq - b.seq);
  state.ledgers.update(ledger.id, {
    phase: 'reading-parts',
    readCallId: undefined,
    retryAtMs: tick.now,
    unappliedSegments,
    ringVersions,
    nextSegmentSeq: (unappliedSegments.at(-1)?.seq ?? 0) + 1,
  });
}

function handleParts(
  state: EntryState,
  tick: Tick,
  ledger: LedgerRow,
  entries: readonly StoreEntry[],
): void {
  const byKey = new Map(entries.map((entry) => [entry.key, entry]));
  const parts: { part: SnapshotPart; version: number }[] = [];
  for (let index = 0; index < ledger.parts.length; index += 1) {
    const entry = byKey.get(formatPartKey(ledger.id, ledger.parts.length, index));
    if (entry === undefined) {
      parts.push({ part: { uptoSeq: 0, epoch: 0, token: '', tasks: [] }, version: 0 });
      continue;
    }
    const part = parseStoredValue(state, tick, ledger, entry, snapshotPartSchema);
    if (part === undefined) return;
    parts.push({ part, version: entry.version });
  }
  const oldestSeq = Math.min(...parts.map(({ part }) => part.uptoSeq));
  const newestSeq = Math.max(...parts.map(({ part }) => part.uptoSeq));
  if (!hasEverySegment(ledger, oldestSeq, newestSeq)) {
    restartRecovery(state, tick, ledger);
    return;
  }
  const ownership = state.duties.get(ledger.id);
  if (ownership === undefined) return;
  loadTasks(state, tick, ledger, parts);
  const current = state.ledgers.update(ledger.id, {
    phase: 'fencing',
    readCallId: undefined,
    unappliedSegments: [],
    parts: parts.map(({ part, version }) => ({ uptoSeq: part.uptoSeq, version })),
  });
  // Rewriting the layout first fences a late layout write of an earlier owner, which would otherwise
  // switch to parts that this owner does not update.
  if (current !== undefined) startLayoutWrite(state, tick, current, current.parts.length as 4);
}

/** Whether every segment after the oldest part was read. A gap means that some were overwritten meanwhile. */
function hasEverySegment(ledger: LedgerRow, oldestSeq: number, newestSeq: number): boolean {
  if (newestSeq >= ledger.nextSegmentSeq) return false;
  const presentSeqs = new Set(ledger.unappliedSegments.map((segment) => segment.seq));
  for (let seq = oldestSeq + 1; seq < ledger.nextSegmentSeq; seq += 1) {
    if (!presentSeqs.has(seq)) return false;
  }
  return true;
}

/** Restarts the recovery, and reports missing segments after too many restarts. */
export function restartRecovery(state: EntryState, tick: Tick, ledger: LedgerRow): void {
  const ownership = state.duties.get(ledger.id);
  if (ownership === undefined) return;
  removeShardTasks(state, ledger.id);
  if (ledger.recoveryRestarts >= MAX_RECOVERY_RESTARTS)
    reportDamagedValue(state, tick, ledger, formatSegmentPrefix(ledger.id), 'segments are missing');
  else startRecovery(state, tick, ownership, ledger.recoveryRestarts + 1);
}

function loadTasks(
  state: EntryState,
  tick: Tick,
  ledger: LedgerRow,
  parts: readonly { part: SnapshotPart; version: number }[],
): void {
  const getPartIndex = (taskId: string): number => computePartIndex(taskId, parts.length);
  for (const { part } of parts) {
    const puts = part.tasks.map((task) => ({ kind: 'put', task }) as const);
    applyShardChanges(state, ledger.id, puts, tick.now);
  }
  for (const segment of ledger.unappliedSegments) {
    const changes = segment.changes.filter((change) => {
      const id = change.kind === 'put' ? change.task.id : change.taskId;
      return segment.seq > (parts[getPartIndex(id)]?.part.uptoSeq ?? 0);
    });
    applyShardChanges(state, ledger.id, changes, tick.now);
  }
  let nextTaskSequence = 1;
  for (const ledgerTask of state.ledgerTasks.values()) {
    const sequence =
      ledgerTask.shard === ledger.id ? (state.tasks.get(ledgerTask.id)?.sequence ?? 0) : 0;
    nextTaskSequence = Math.max(nextTaskSequence, sequence + 1);
  }
  state.ledgers.update(ledger.id, { nextTaskSequence });
}

function computePartIndex(taskId: string, partCount: number): number {
  return hashBucket(taskId) % partCount;
}

function removeShardTasks(state: EntryState, shard: string): void {
  for (const ledgerTask of state.ledgerTasks.list()) {
    if (ledgerTask.shard !== shard) continue;
    state.tasks.remove(ledgerTask.id);
    state.ledgerTasks.remove(ledgerTask.id);
  }
}

function parseStoredValue<Schema extends z.ZodMiniType>(
  state: EntryState,
  tick: Tick,
  ledger: LedgerRow,
  entry: StoreEntry,
  schema: Schema,
): z.output<Schema> | undefined {
  return parseValue(schema, entry.value).caseOf<z.output<Schema> | undefined>({
    Left: (faults) => {
      reportDamagedValue(state, tick, ledger, entry.key, formatFaults(faults));
      return undefined;
    },
    Right: (value) => value,
  });
}

/** Logs the damaged key and restarts the recovery. Nothing is placed or answered from a damaged ledger. */
function reportDamagedValue(
  state: EntryState,
  tick: Tick,
  ledger: LedgerRow,
  key: string,
  faults: string,
): void {
  state.counters.add('damaged_store_values', { key: 'ledger' });
  const fields = { shard: ledger.id, key, faults };
  state.outbox.append({ kind: 'log', level: 'error', event: 'ledger_damaged', fields });
  const ownership = state.duties.get(ledger.id);
  if (ownership !== undefined) startRecovery(state, tick, ownership, 0, DAMAGED_RETRY_DELAY_MS);
}
