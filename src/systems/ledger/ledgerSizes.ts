import type { LedgerChange, LedgerRow } from '../../model/ledger.ts';
import type { TaskRow } from '../../model/task.ts';
import { BUCKET_COUNT } from './ledgerKeys.ts';

/**
 * Size of a part beyond which the number of parts doubles. The store accepts values of up to 1 MB; the
 * difference holds the tasks that arrive before the next check, at most 12 segments later.
 */
export const PART_SPLIT_BYTES = 600_000;
/** Limit that lets a recovery read the whole ring in one call. */
export const MAX_SEGMENT_BYTES = 200_000;
/** Limit of a submitted task, so that a segment can hold several tasks. */
export const MAX_TASK_BYTES = 64_000;

/** Margin for fractional numbers: MessagePack encodes each in 9 bytes even when its JSON text is shorter. */
const NUMBER_MARGIN_BYTES = 48;
const NON_ASCII = /[^\x20-\x7e]/g;

/** Estimates an upper bound of the encoded size of a task without encoding it. */
export function estimateTaskBytes(task: TaskRow): number {
  const text = JSON.stringify(task);
  return text.length + NUMBER_MARGIN_BYTES + 2 * (text.match(NON_ASCII)?.length ?? 0);
}

export function estimateChangeBytes(change: LedgerChange): number {
  if (change.kind === 'remove') return change.taskId.length + NUMBER_MARGIN_BYTES;
  return estimateTaskBytes(change.task) + NUMBER_MARGIN_BYTES;
}

/** Computes the estimated bytes of the largest part when the buckets are divided into `partCount` parts. */
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

/** Whether the number of parts has to grow. It never shrinks, because small parts cost little. */
export function hasOversizedPart(ledger: LedgerRow): boolean {
  if (ledger.parts.length >= BUCKET_COUNT) return false;
  return computeLargestPartBytes(ledger.bucketBytes, ledger.parts.length) > PART_SPLIT_BYTES;
}
