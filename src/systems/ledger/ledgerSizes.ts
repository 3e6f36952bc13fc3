import type { LedgerChange, LedgerRow } from '../../model/ledger.ts';
import type { TaskRow } from '../../model/task.ts';
import { BUCKET_COUNT } from './ledgerKeys.ts';

/**
 * The number of parts doubles when one of them is larger than this. The store takes values of up to
 * 1 MB; the rest is room for the rows that arrive before the next check, at most 12 segments later.
 */
export const PART_SPLIT_BYTES = 600_000;
/** Keeps a segment small, so that a recovery can read the whole ring in one call. */
export const MAX_SEGMENT_BYTES = 200_000;
/** A larger row would not fit into a segment together with others; submissions are checked against it. */
export const MAX_TASK_BYTES = 64_000;

/** MessagePack writes a fractional number in 9 bytes even when its JSON text is shorter. */
const NUMBER_MARGIN_BYTES = 48;
const NON_ASCII = /[^\x20-\x7e]/g;

/** Upper estimate of the encoded size of a row, without encoding it. */
export function estimateTaskBytes(task: TaskRow): number {
  const text = JSON.stringify(task);
  return text.length + NUMBER_MARGIN_BYTES + 2 * (text.match(NON_ASCII)?.length ?? 0);
}

export function estimateChangeBytes(change: LedgerChange): number {
  if (change.kind === 'remove') return change.taskId.length + NUMBER_MARGIN_BYTES;
  return estimateTaskBytes(change.task) + NUMBER_MARGIN_BYTES;
}

/** Estimated bytes of the largest part when the buckets are divided into `partCount` parts. */
export function computeLargestPartBytes(bucketBytes: readonly number[], partCount: number): number {
  let largest = 0;
  for (let part = 0; part < partCount; part += 1) {
    let bytes = 0;
    for (let bucket = part; bucket < BUCKET_COUNT; bucket += partCount)
      bytes += bucketBytes[bucket] ?? 0;
    largest = Math.max(largest, bytes);
  }
  return largest;
}

/** Whether the parts have to become smaller. Their number never shrinks: small parts cost little. */
export function hasOversizedPart(ledger: LedgerRow): boolean {
  if (ledger.parts.length >= BUCKET_COUNT) return false;
  return computeLargestPartBytes(ledger.bucketBytes, ledger.parts.length) > PART_SPLIT_BYTES;
}
