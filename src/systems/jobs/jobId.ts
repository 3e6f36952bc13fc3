import { hashText } from '../../base/common/rendezvous.ts';

const HASH_WORD_COUNT = 4;
const SEPARATOR = ':';

/**
 * Formats a job id from its shard and a 128-bit hash of team and key, so that a repeated submission
 * has the same id.
 */
export function formatJobId(shard: string, team: string, idempotencyKey: string): string {
  let hash = '';
  for (let word = 0; word < HASH_WORD_COUNT; word += 1) {
    hash += hashText(`${word}/${team}/${idempotencyKey}`).toString(16).padStart(8, '0');
  }
  return `${shard}${SEPARATOR}${hash}`;
}

/** Returns the shard in a job id, with which any entry can forward a call. */
export function parseJobShard(jobId: string): string | undefined {
  const end = jobId.lastIndexOf(SEPARATOR);
  return end <= 0 ? undefined : jobId.slice(0, end);
}
