import type { Tick } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { LedgerRow, LedgerWrite, SnapshotPartState } from '../../model/ledger.ts';
import { BUCKET_COUNT, RING_SEGMENT_COUNT } from './ledgerKeys.ts';
import { hasOversizedPart } from './ledgerSizes.ts';
import { computePartWritePeriod, startLayoutWrite, startPartWrite } from './ledgerWrites.ts';

/** Records a part that the store has confirmed. */
export function confirmPart(
  state: EntryState,
  ledger: LedgerRow,
  write: LedgerWrite,
  version: number,
): void {
  if (!('uptoSeq' in write.value)) return;
  const part: SnapshotPartState = { uptoSeq: write.value.uptoSeq, version };
  if (write.partCount === ledger.parts.length) {
    const parts = ledger.parts.map((current, index) => (index === write.part ? part : current));
    state.ledgers.update(ledger.id, { snapshot: undefined, parts });
    return;
  }
  const nextParts = [...(ledger.nextParts ?? []), part];
  state.ledgers.update(ledger.id, { snapshot: undefined, nextParts });
}

/**
 * Starts a part write when it is due: one part at a time and the oldest first, so that each part is
 * rewritten within the time in which three quarters of the ring are written.
 */
export function startDueSnapshotWrite(state: EntryState, tick: Tick, shard: string): void {
  const ledger = state.ledgers.get(shard);
  if (ledger?.phase !== 'ready' || ledger.snapshot !== undefined) return;
  const { parts, nextParts } = ledger;
  const oldestSeq = Math.min(...parts.map((part) => part.uptoSeq));
  if (nextParts !== undefined) {
    startNextLayoutWrite(state, tick, ledger, nextParts);
    return;
  }
  const isAppendBlocked = oldestSeq < ledger.nextSegmentSeq - RING_SEGMENT_COUNT;
  if (ledger.segmentsSinceSnapshot < computePartWritePeriod(parts.length) && !isAppendBlocked)
    return;
  if (hasOversizedPart(ledger)) {
    startNextLayoutWrite(state, tick, ledger, []);
    return;
  }
  const oldestPart = parts.findIndex((candidate) => candidate.uptoSeq === oldestSeq);
  startPartWrite(state, tick, ledger, oldestPart, parts.length, parts[oldestPart]?.version ?? 0);
}

/** Writes the parts of a layout with twice as many parts under separate keys, and then the layout itself. */
function startNextLayoutWrite(
  state: EntryState,
  tick: Tick,
  ledger: LedgerRow,
  nextParts: readonly SnapshotPartState[],
): void {
  const partCount = Math.min(BUCKET_COUNT, ledger.parts.length * 2) as 8 | 16 | 32 | 64 | 128;
  state.ledgers.update(ledger.id, { nextParts });
  if (nextParts.length < partCount)
    startPartWrite(state, tick, ledger, nextParts.length, partCount, 0);
  else startLayoutWrite(state, tick, ledger, partCount);
}
