import { hashText } from '../../base/common/rendezvous.ts';

/** Number of store keys that the segments reuse in turn. */
export const RING_SEGMENT_COUNT = 64;
/** Number of hash buckets of task ids. A part covers the buckets with the same remainder of the part count. */
export const BUCKET_COUNT = 128;
export const MIN_PART_COUNT = 4;

export function formatSegmentPrefix(shard: string): string {
  return `ledger/${shard}/j/`;
}

export function formatSegmentKey(shard: string, seq: number): string {
  return `${formatSegmentPrefix(shard)}${seq % RING_SEGMENT_COUNT}`;
}

export function formatLayoutKey(shard: string): string {
  return `ledger/${shard}/layout`;
}

export function formatPartPrefix(shard: string, partCount: number): string {
  return `ledger/${shard}/s/${partCount}/`;
}

export function formatPartKey(shard: string, partCount: number, part: number): string {
  return `${formatPartPrefix(shard, partCount)}${part}`;
}

export function hashBucket(taskId: string): number {
  return hashText(taskId) % BUCKET_COUNT;
}
