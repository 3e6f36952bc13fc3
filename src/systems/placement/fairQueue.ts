import type { PoolConfig } from '../../model/configuration.ts';
import type { QueueRow } from '../../model/placement.ts';
import type { Resources } from '../../model/resources.ts';
import { NO_RESOURCES } from '../../model/resources.ts';
import type { PlacementPass } from './placementPass.ts';

/** Quota assumed for teams without one, so that their shares are ordered by use. */
const DEFAULT_QUOTA: Resources = { cores: 1_000, memoryMb: 4_000_000, accelerators: 1_000 };

/**
 * Returns the queue of the team that uses the smallest share of its quota; of equal shares, the one
 * with the oldest next task. Removes queues whose cursor has reached the end from `openQueues`.
 */
export function chooseFairQueue(pass: PlacementPass, openQueues: QueueRow[]): QueueRow | undefined {
  let best: QueueRow | undefined;
  let bestShare = Number.POSITIVE_INFINITY;
  let bestSequence = Number.POSITIVE_INFINITY;
  for (let at = openQueues.length - 1; at >= 0; at -= 1) {
    const queue = openQueues[at];
    if (queue === undefined) continue;
    const next = queue.entries[queue.cursor];
    if (next === undefined) {
      queue.cursor = 0;
      openQueues.splice(at, 1);
      continue;
    }
    const share = computeShare(pass, queue);
    if (share > bestShare || (share === bestShare && next.sequence >= bestSequence)) continue;
    best = queue;
    bestShare = share;
    bestSequence = next.sequence;
  }
  return best;
}

/** Returns the dominant share: the largest ratio of use to quota of any resource. */
function computeShare(pass: PlacementPass, queue: QueueRow): number {
  const pool: PoolConfig | undefined = pass.pools.get(queue.pool);
  const limit = pool?.quotas.find((row) => row.team === queue.team)?.limit ?? DEFAULT_QUOTA;
  const id = `${queue.pool}/${queue.team}`;
  const used = pass.state.placement.quotaUse.get(id)?.used ?? NO_RESOURCES;
  return Math.max(
    used.cores / Math.max(1, limit.cores),
    used.memoryMb / Math.max(1, limit.memoryMb),
    used.accelerators / Math.max(1, limit.accelerators),
  );
}
