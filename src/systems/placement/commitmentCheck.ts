import type { EntryState } from '../../model/entryState.ts';
import type { Resources } from '../../model/resources.ts';
import { addResources, hasCapacity, NO_RESOURCES } from '../../model/resources.ts';
import { listTaskClaims } from './commitmentSystem.ts';

/**
 * Recomputes every sum from the source tables and lists each difference from the tables that are
 * kept incrementally, and each worker or quota that is exceeded. Empty when all is well.
 */
export function checkCommitments(state: EntryState): string[] {
  const taskIds = new Set([...state.tasks.values()].map((task) => task.id));
  for (const change of state.pendingChanges.values()) taskIds.add(change.id);
  for (const run of state.runs.values()) taskIds.add(run.taskId);
  const byWorker = new Map<string, Resources>();
  const byTeam = new Map<string, Resources>();
  for (const taskId of taskIds) {
    for (const claim of listTaskClaims(state, taskId)) {
      addTo(byWorker, claim.workerId, claim.demand);
      if (claim.isCurrent) addTo(byTeam, `${claim.pool}/${claim.team}`, claim.demand);
    }
  }
  return [...checkWorkers(state, byWorker), ...checkQuotas(state, byTeam)];
}

function addTo(sums: Map<string, Resources>, id: string, demand: Resources): void {
  sums.set(id, addResources(sums.get(id) ?? NO_RESOURCES, demand));
}

function checkWorkers(state: EntryState, sums: ReadonlyMap<string, Resources>): string[] {
  const faults: string[] = [];
  for (const worker of state.workers.values()) {
    const sum = sums.get(worker.id) ?? NO_RESOURCES;
    const kept = state.placement.commitments.get(worker.id)?.demand;
    if (kept === undefined || isDifferent(kept, sum))
      faults.push(`worker ${worker.id}: kept sum differs from ${JSON.stringify(sum)}`);
    if (!hasCapacity(worker.capacity, sum))
      faults.push(`worker ${worker.id}: ${JSON.stringify(sum)} exceeds its capacity`);
  }
  return faults;
}

function checkQuotas(state: EntryState, sums: ReadonlyMap<string, Resources>): string[] {
  const faults: string[] = [];
  for (const [id, sum] of sums) {
    const kept = state.placement.quotaUse.get(id)?.used ?? NO_RESOURCES;
    if (isDifferent(kept, sum)) faults.push(`quota ${id}: kept sum differs`);
  }
  for (const pool of state.configuration.current.pools) {
    for (const quota of pool.quotas) {
      const sum = sums.get(`${pool.name}/${quota.team}`) ?? NO_RESOURCES;
      if (!hasCapacity(quota.limit, sum))
        faults.push(`quota ${pool.name}/${quota.team} is exceeded`);
    }
  }
  return faults;
}

function isDifferent(a: Resources, b: Resources): boolean {
  return (
    Math.abs(a.cores - b.cores) > 1e-6 ||
    a.memoryMb !== b.memoryMb ||
    a.accelerators !== b.accelerators
  );
}
