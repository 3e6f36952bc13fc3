import type { EntryState } from '../../model/entryState.ts';
import type { Resources } from '../../model/resources.ts';
import { addResources, hasCapacity, NO_RESOURCES } from '../../model/resources.ts';
import { listTaskClaims } from './commitmentSystem.ts';

/**
 * Recomputes every sum from the source tables. Returns each difference from the incrementally
 * updated tables and each worker or quota that is exceeded; an empty list means no error.
 */
export function checkCommitments(state: EntryState): string[] {
  const taskIds = new Set([...state.tasks.values()].map((task) => task.id));
  for (const change of state.pendingChanges.values()) taskIds.add(change.id);
  for (const run of state.runs.values()) taskIds.add(run.taskId);
  const byWorker = new Map<string, Resources>();
  const byTeam = new Map<string, Resources>();
  for (const taskId of taskIds) {
    for (const claim of listTaskClaims(state, taskId)) {
      addDemand(byWorker, claim.workerId, claim.demand);
      if (claim.isCurrent) addDemand(byTeam, `${claim.pool}/${claim.team}`, claim.demand);
    }
  }
  return [...checkWorkers(state, byWorker), ...checkQuotas(state, byTeam)];
}

function addDemand(sums: Map<string, Resources>, id: string, demand: Resources): void {
  sums.set(id, addResources(sums.get(id) ?? NO_RESOURCES, demand));
}

function checkWorkers(state: EntryState, sums: ReadonlyMap<string, Resources>): string[] {
  const errors: string[] = [];
  for (const worker of state.workers.values()) {
    const sum = sums.get(worker.id) ?? NO_RESOURCES;
    const recorded = state.placement.commitments.get(worker.id)?.demand;
    if (recorded === undefined || isDifferent(recorded, sum))
      errors.push(`worker ${worker.id}: commitment differs from the sum ${JSON.stringify(sum)}`);
    if (!hasCapacity(worker.capacity, sum))
      errors.push(`worker ${worker.id}: sum ${JSON.stringify(sum)} exceeds its capacity`);
  }
  return errors;
}

function checkQuotas(state: EntryState, sums: ReadonlyMap<string, Resources>): string[] {
  const errors: string[] = [];
  for (const [id, sum] of sums) {
    const recorded = state.placement.quotaUse.get(id)?.used ?? NO_RESOURCES;
    if (isDifferent(recorded, sum)) errors.push(`quota ${id}: recorded use differs from the sum`);
  }
  for (const pool of state.configuration.current.pools) {
    for (const quota of pool.quotas) {
      const sum = sums.get(`${pool.name}/${quota.team}`) ?? NO_RESOURCES;
      if (!hasCapacity(quota.limit, sum))
        errors.push(`quota ${pool.name}/${quota.team} is exceeded`);
    }
  }
  return errors;
}

function isDifferent(a: Resources, b: Resources): boolean {
  return (
    Math.abs(a.cores - b.cores) > 1e-6 ||
    a.memoryMb !== b.memoryMb ||
    a.accelerators !== b.accelerators
  );
}
