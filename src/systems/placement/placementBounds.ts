import type { PoolConfig } from '../../model/configuration.ts';
import type { Resources } from '../../model/resources.ts';
import { addResources, hasRoom, NO_RESOURCES, removeResources } from '../../model/resources.ts';
import type { TaskRow } from '../../model/task.ts';
import type { WorkerRow } from '../../model/worker.ts';
import type { PlacementTurn } from './placementTurn.ts';
import { computePoolCapacity, countRacks, getSpread, listUsableZones } from './placementTurn.ts';

/** A worker without an exchange for this time gets no starts; it may be gone. */
const WORKER_SUSPECT_MS = 4_000;
const STARTS_PER_PERIOD_MS = 1_000;

/** First bound that forbids the task on the worker, or undefined when all of them hold. */
export function findBrokenBound(
  turn: PlacementTurn,
  pool: PoolConfig,
  task: TaskRow,
  demand: Resources,
  worker: WorkerRow,
): string | undefined {
  if (!hasWorkerRoom(turn, pool, task.id, demand, worker)) return 'room';
  return findBrokenRule(turn, pool, task, worker);
}

/** Bounds other than room: rules that stopping other tasks does not change. */
export function findBrokenRule(
  turn: PlacementTurn,
  pool: PoolConfig,
  task: TaskRow,
  worker: WorkerRow,
): string | undefined {
  if (worker.region !== pool.region || !pool.zones.includes(worker.zone)) return 'zone';
  if (turn.zonesOut.has(worker.zone)) return 'zone-out';
  if (worker.leaving) return 'leaving';
  if (turn.tick.now - worker.lastExchangeMs > WORKER_SUSPECT_MS) return 'silent';
  if (task.failedWorkers.includes(worker.id) && !hasFailedEverywhere(turn, pool, task))
    return 'failed-here';
  const pace = turn.state.placement.startPaces.get(worker.id);
  if (pace !== undefined && turn.tick.now - pace.previousMs < STARTS_PER_PERIOD_MS) return 'pace';
  const health = turn.state.placement.health.get(worker.id);
  if (health !== undefined) {
    if (health.setAsideUntilMs > turn.tick.now) return 'quarantine';
    const { trialTaskId } = health;
    const isTrialOpen =
      trialTaskId !== undefined && turn.state.placement.claimsByTask.count(trialTaskId) > 0;
    if (health.isOnTrial && isTrialOpen) return 'trial';
  }
  return isSpreadBroken(turn, pool, task, worker) ? 'spread' : undefined;
}

/**
 * Whether the task has failed on each worker that could take it now. It is then tried again on them,
 * because a pool with fewer workers than the limit of failed starts would keep it queued for ever.
 */
function hasFailedEverywhere(turn: PlacementTurn, pool: PoolConfig, task: TaskRow): boolean {
  for (const worker of turn.state.workers.values()) {
    if (worker.region !== pool.region || !pool.zones.includes(worker.zone)) continue;
    if (turn.zonesOut.has(worker.zone) || worker.leaving) continue;
    if (turn.tick.now - worker.lastExchangeMs > WORKER_SUSPECT_MS) continue;
    if (!task.failedWorkers.includes(worker.id)) return false;
  }
  return true;
}

/** Whether the demand fits beside everything that is committed or reserved for other tasks. */
export function hasWorkerRoom(
  turn: PlacementTurn,
  pool: PoolConfig,
  taskId: string,
  demand: Resources,
  worker: WorkerRow,
  freed: Resources = NO_RESOURCES,
  freedOfPool = 0,
): boolean {
  const { placement } = turn.state;
  const commitment = placement.commitments.get(worker.id);
  if (commitment === undefined) return false;
  let wanted = removeResources(addResources(commitment.demand, demand), freed);
  for (const reservation of placement.reservationsByWorker.values(worker.id)) {
    if (reservation.id !== taskId) wanted = addResources(wanted, reservation.demand);
  }
  if (!hasRoom(worker.capacity, wanted)) return false;
  if (pool.maxWorkerShare === 1) return true;
  const poolCores = (commitment.poolCores.get(pool.name) ?? 0) - freedOfPool + demand.cores;
  return hasRoom(computePoolCapacity(pool, worker.capacity), { ...NO_RESOURCES, cores: poolCores });
}

/** Whether the team's quota has room for the demand. A team without a quota row has no limit. */
export function hasQuotaRoom(
  turn: PlacementTurn,
  pool: PoolConfig,
  team: string,
  demand: Resources,
): boolean {
  const limit = pool.quotas.find((quota) => quota.team === team)?.limit;
  if (limit === undefined) return true;
  const used = turn.state.placement.quotaUse.get(`${pool.name}/${team}`)?.used ?? NO_RESOURCES;
  return hasRoom(limit, addResources(used, demand));
}

/** Replicas of a service may not crowd: no zone, or rack, holds more than an even share rounded up. */
function isSpreadBroken(
  turn: PlacementTurn,
  pool: PoolConfig,
  task: TaskRow,
  worker: WorkerRow,
): boolean {
  if (pool.spread === 'none' || task.service === undefined) return false;
  const spread = getSpread(turn, pool, task.service);
  const zones = listUsableZones(turn, pool);
  if (spread.replicas === 0 || zones.length === 0) return false;
  const zoneLimit = Math.ceil(spread.replicas / zones.length);
  if ((spread.byPlace.get(worker.zone) ?? 0) >= zoneLimit) return true;
  if (pool.spread !== 'rack') return false;
  const racks = zones.reduce((sum, zone) => sum + countRacks(turn, zone), 0);
  const rackLimit = Math.ceil(spread.replicas / Math.max(1, racks));
  return (spread.byPlace.get(`${worker.zone}/${worker.rack}`) ?? 0) >= rackLimit;
}

/** Why the task can never run in its pool, or undefined when it can or when it is too early to tell. */
export function explainNeverRuns(
  turn: PlacementTurn,
  pool: PoolConfig,
  task: TaskRow,
): string | undefined {
  const { demand } = task;
  const limit = pool.quotas.find((quota) => quota.team === task.team)?.limit;
  if (limit !== undefined && !hasRoom(limit, demand))
    return `demand exceeds the quota of team ${task.team} in pool ${pool.name}`;
  let workers = 0;
  for (const worker of turn.state.workers.values()) {
    if (worker.region !== pool.region || !pool.zones.includes(worker.zone)) continue;
    workers += 1;
    if (hasRoom(computePoolCapacity(pool, worker.capacity), demand)) return undefined;
  }
  return workers === 0
    ? undefined
    : `demand of ${demand.cores} cores, ${demand.memoryMb} MB and ${demand.accelerators} ` +
        `accelerators fits none of the ${workers} workers of pool ${pool.name} even when empty`;
}
