import { hashText } from '../../base/common/rendezvous.ts';

export const RING_SEGMENT_COUNT = 64;
/** Hash buckets of the task ids; a part covers every bucket with the same remainder. */
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
