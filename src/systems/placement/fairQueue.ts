import type { PoolConfig } from '../../model/configuration.ts';
import type { QueueRow } from '../../model/placement.ts';
import type { Resources } from '../../model/resources.ts';
import { NO_RESOURCES } from '../../model/resources.ts';
import type { PlacementPass } from './placementPass.ts';

/** Stands for the quota of teams without one, so that they compare with each other by use. */
const DEFAULT_QUOTA: Resources = { cores: 1_000, memoryMb: 4_000_000, accelerators: 1_000 };

/**
 * The queue of the team with the smallest share of its quota in use; between equal shares, the one
 * whose next task is oldest. Queues that were looked at to the end are dropped from `open`.
 */
export function chooseFairQueue(pass: PlacementPass, open: QueueRow[]): QueueRow | undefined {
  let best: QueueRow | undefined;
  let bestShare = Number.POSITIVE_INFINITY;
  let bestSequence = Number.POSITIVE_INFINITY;
  for (let at = open.length - 1; at >= 0; at -= 1) {
    const queue = open[at];
    if (queue === undefined) continue;
    const next = queue.entries[queue.cursor];
    if (next === undefined) {
      queue.cursor = 0;
      open.splice(at, 1);
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

/** Dominant share: the largest ratio of use to quota over the resources. */
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
