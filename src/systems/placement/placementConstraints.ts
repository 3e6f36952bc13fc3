import type { PoolConfig } from '../../model/configuration.ts';
import type { Resources } from '../../model/resources.ts';
import { addResources, hasCapacity, NO_RESOURCES, removeResources } from '../../model/resources.ts';
import type { TaskRow } from '../../model/task.ts';
import type { WorkerRow } from '../../model/worker.ts';
import type { PlacementPass } from './placementPass.ts';
import { computePoolCapacity, countRacks, getSpread, listUsableZones } from './placementPass.ts';

/** A worker without an exchange for this time may have terminated, so no task starts there. */
const WORKER_SUSPECT_MS = 4_000;
/** At most two tasks start on a worker within this time. */
const START_WINDOW_MS = 1_000;

/** Returns the first constraint that excludes the worker for the task, or undefined without one. */
export function findViolatedConstraint(
  pass: PlacementPass,
  pool: PoolConfig,
  task: TaskRow,
  demand: Resources,
  worker: WorkerRow,
): string | undefined {
  if (!hasWorkerCapacity(pass, pool, task.id, demand, worker)) return 'room';
  return findViolatedRule(pass, pool, task, worker);
}

/**
 * Returns the first violated constraint other than capacity; preemption cannot resolve such a
 * violation.
 */
export function findViolatedRule(
  pass: PlacementPass,
  pool: PoolConfig,
  task: TaskRow,
  worker: WorkerRow,
): string | undefined {
  if (worker.region !== pool.region || !pool.zones.includes(worker.zone)) return 'zone';
  if (pass.zonesOut.has(worker.zone)) return 'zone-out';
  if (worker.leaving) return 'leaving';
  if (pass.tick.now - worker.lastExchangeMs > WORKER_SUSPECT_MS) return 'silent';
  if (task.failedWorkers.includes(worker.id) && !hasFailedEverywhere(pass, pool, task))
    return 'failed-here';
  const pace = pass.state.placement.startPaces.get(worker.id);
  if (pace !== undefined && pass.tick.now - pace.previousMs < START_WINDOW_MS) return 'pace';
  const health = pass.state.placement.health.get(worker.id);
  if (health !== undefined) {
    if (health.quarantinedUntilMs > pass.tick.now) return 'quarantine';
    const { probationTaskId } = health;
    const isProbationTaskOpen =
      probationTaskId !== undefined && pass.state.placement.claimsByTask.count(probationTaskId) > 0;
    if (health.isOnProbation && isProbationTaskOpen) return 'trial';
  }
  return isSpreadViolated(pass, pool, task, worker) ? 'spread' : undefined;
}

/**
 * Whether the task has failed on each worker that is available to it now. These workers are then
 * retried, because in a pool with fewer workers than the limit of failed starts the task would
 * otherwise stay queued forever.
 */
function hasFailedEverywhere(pass: PlacementPass, pool: PoolConfig, task: TaskRow): boolean {
  for (const worker of pass.state.workers.values()) {
    if (worker.region !== pool.region || !pool.zones.includes(worker.zone)) continue;
    if (pass.zonesOut.has(worker.zone) || worker.leaving) continue;
    if (pass.tick.now - worker.lastExchangeMs > WORKER_SUSPECT_MS) continue;
    if (!task.failedWorkers.includes(worker.id)) return false;
  }
  return true;
}

/** Whether the worker has capacity for the demand in addition to other claims and reservations. */
export function hasWorkerCapacity(
  pass: PlacementPass,
  pool: PoolConfig,
  taskId: string,
  demand: Resources,
  worker: WorkerRow,
  freed: Resources = NO_RESOURCES,
  freedPoolCores = 0,
): boolean {
  const { placement } = pass.state;
  const commitment = placement.commitments.get(worker.id);
  if (commitment === undefined) return false;
  let wanted = removeResources(addResources(commitment.demand, demand), freed);
  for (const reservation of placement.reservationsByWorker.values(worker.id)) {
    if (reservation.id !== taskId) wanted = addResources(wanted, reservation.demand);
  }
  if (!hasCapacity(worker.capacity, wanted)) return false;
  if (pool.maxWorkerShare === 1) return true;
  const poolCores = (commitment.poolCores.get(pool.name) ?? 0) - freedPoolCores + demand.cores;
  return hasCapacity(computePoolCapacity(pool, worker.capacity), {
    ...NO_RESOURCES,
    cores: poolCores,
  });
}

/** Whether the team's quota covers the demand. A team without a quota row has no limit. */
export function hasQuotaCapacity(
  pass: PlacementPass,
  pool: PoolConfig,
  team: string,
  demand: Resources,
): boolean {
  const limit = pool.quotas.find((quota) => quota.team === team)?.limit;
  if (limit === undefined) return true;
  const used = pass.state.placement.quotaUse.get(`${pool.name}/${team}`)?.used ?? NO_RESOURCES;
  return hasCapacity(limit, addResources(used, demand));
}

/**
 * Whether the worker's zone or rack already has its even share, rounded up, of the service's
 * replicas.
 */
function isSpreadViolated(
  pass: PlacementPass,
  pool: PoolConfig,
  task: TaskRow,
  worker: WorkerRow,
): boolean {
  if (pool.spread === 'none' || task.service === undefined) return false;
  const spread = getSpread(pass, pool, task.service);
  const zones = listUsableZones(pass, pool);
  if (spread.replicas === 0 || zones.length === 0) return false;
  const zoneLimit = Math.ceil(spread.replicas / zones.length);
  if ((spread.byLocation.get(worker.zone) ?? 0) >= zoneLimit) return true;
  if (pool.spread !== 'rack') return false;
  const racks = zones.reduce((sum, zone) => sum + countRacks(pass, zone), 0);
  const rackLimit = Math.ceil(spread.replicas / Math.max(1, racks));
  return (spread.byLocation.get(`${worker.zone}/${worker.rack}`) ?? 0) >= rackLimit;
}

/**
 * Explains why the task can never run in its pool. Undefined when it can or when no worker has
 * reported.
 */
export function explainUnschedulable(
  pass: PlacementPass,
  pool: PoolConfig,
  task: TaskRow,
): string | undefined {
  const { demand } = task;
  const limit = pool.quotas.find((quota) => quota.team === task.team)?.limit;
  if (limit !== undefined && !hasCapacity(limit, demand))
    return `demand exceeds the quota of team ${task.team} in pool ${pool.name}`;
  let workerCount = 0;
  for (const worker of pass.state.workers.values()) {
    if (worker.region !== pool.region || !pool.zones.includes(worker.zone)) continue;
    workerCount += 1;
    if (hasCapacity(computePoolCapacity(pool, worker.capacity), demand)) return undefined;
  }
  return workerCount === 0
    ? undefined
    : `demand of ${demand.cores} cores, ${demand.memoryMb} MB and ${demand.accelerators} ` +
        `accelerators fits none of the ${workerCount} workers of pool ${pool.name} even when empty`;
}
