import { isCountedAsDown, isTransferPending } from '../../model/scheduler/fleet.ts';
import type { InstanceInfo } from '../../model/scheduler/instanceCall.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { listInstanceRuns } from './instanceDrain.ts';
import type { PoolLoad } from './poolPolicy.ts';

/**
 * Time in which a moved instance is expected to report as a worker; after it the pool no longer
 * counts as growing.
 */
const REPORT_TIMEOUT_MS = 10_000;
/** Maximum age of a list from which an instance is chosen; the list is read every second. */
const MAX_LIST_AGE_MS = 3_000;

/**
 * Collects the load of every pool in use. Best-effort tasks reserve memory but no processors, so
 * they do not count as use.
 */
export function collectPoolLoads(state: SchedulerState, now: number): PoolLoad[] {
  const pools = state.operator.configuration?.pools ?? [];
  return pools
    .filter(({ isSpare }) => !isSpare)
    .map(({ name }) => ({
      pool: name,
      ...countWaiting(state, name, now),
      ...measureUsage(state, name),
      isGrowing: isGrowing(state, name, now),
      spare: listSpareInstances(state, name, now),
      returnable: listReturnableInstances(state, name, now),
    }));
}

function countWaiting(
  { readyTasksByStep, jobs, fleet }: SchedulerState,
  pool: string,
  now: number,
): Pick<PoolLoad, 'waitingTasks' | 'waitedMs' | 'quietMs'> {
  let waitingTasks = 0;
  let waitedMs = 0;
  for (const stepKey of readyTasksByStep.keys()) {
    const task = readyTasksByStep.getFirst(stepKey);
    if (task === undefined || jobs.get(task.jobId)?.job.service !== pool) continue;
    waitingTasks += readyTasksByStep.count(stepKey);
    waitedMs = Math.max(waitedMs, now - task.readyAt);
  }
  if (waitingTasks > 0 || !fleet.noBacklogSince.has(pool)) fleet.noBacklogSince.set(pool, now);
  return { waitingTasks, waitedMs, quietMs: now - (fleet.noBacklogSince.get(pool) ?? now) };
}

function measureUsage(
  state: SchedulerState,
  pool: string,
): Pick<PoolLoad, 'usedCpuMillis' | 'totalCpuMillis'> {
  let usedCpuMillis = 0;
  let totalCpuMillis = 0;
  for (const worker of state.workers.values()) {
    if (worker.identity.service !== pool) continue;
    totalCpuMillis += worker.identity.cpuMillis;
    for (const { step } of state.runsByWorker.values(worker.id))
      if (!step.fills) usedCpuMillis += step.cpuMillis;
  }
  return { usedCpuMillis, totalCpuMillis };
}

function isGrowing({ fleet, workers }: SchedulerState, pool: string, now: number): boolean {
  for (const row of fleet.transfers.values()) {
    if (row.pool !== pool || row.direction !== 'out') continue;
    if (isTransferPending(row)) return true;
    if (row.phase !== 'settled' || now - row.confirmedAt > REPORT_TIMEOUT_MS) continue;
    const workerId = fleet.instances.get(row.id)?.workerId ?? '';
    const hasReported = [...workers.values()].some(
      ({ identity }) => identity.id === workerId && identity.service === pool,
    );
    if (!hasReported) return true;
  }
  return false;
}

function listSpareInstances(state: SchedulerState, pool: string, now: number): string[] {
  const { fleet, operator } = state;
  if (now - fleet.list.completeRequestedAt > MAX_LIST_AGE_MS) return [];
  const kinds = new Set<string>();
  for (const instance of fleet.instances.values())
    if (instance.pool === pool) kinds.add(instance.kind);
  const spare = new Set(
    operator.configuration?.pools.filter(({ isSpare }) => isSpare).map(({ name }) => name),
  );
  const isUsable = ({
    id,
    pool: currentPool,
    kind,
    zone,
    state: condition,
  }: InstanceInfo): boolean =>
    spare.has(currentPool) &&
    (kinds.size === 0 || kinds.has(kind)) &&
    condition !== 'moving' &&
    condition !== 'maintenance' &&
    !operator.zonesOut.has(zone) &&
    !fleet.transfers.has(id) &&
    !isRejected(state, id, now) &&
    !isInWave(state, id);
  return [...fleet.instances.values()].filter(isUsable).map(({ id }) => id);
}

/** Lists the instances that may return; only those moved out of a spare pool go back to one. */
function listReturnableInstances(
  state: SchedulerState,
  pool: string,
  now: number,
): PoolLoad['returnable'] {
  const { fleet } = state;
  if (now - fleet.list.completeRequestedAt > MAX_LIST_AGE_MS) return [];
  return [...fleet.transfers.values()]
    .flatMap(({ id, pool: currentPool, phase, direction }) => {
      const instance = fleet.instances.get(id);
      const isOut = currentPool === pool && phase === 'settled' && direction === 'out';
      if (!isOut || instance?.state !== 'up') return [];
      if (isRejected(state, id, now) || isInWave(state, id)) return [];
      const runs = listInstanceRuns(state, id);
      if (runs.some(({ step }) => step.longRunning)) return [];
      return [{ instanceId: id, cpuMillis: instance.cpuMillis, runs: runs.length }];
    })
    .sort((left, right) => left.runs - right.runs);
}

function isRejected({ fleet }: SchedulerState, instanceId: string, now: number): boolean {
  return now < (fleet.rejectedUntil.get(instanceId) ?? Number.NEGATIVE_INFINITY);
}

function isInWave({ fleet }: SchedulerState, instanceId: string): boolean {
  for (const row of fleet.maintenance.values())
    if (row.instanceId === instanceId && isCountedAsDown(row)) return true;
  return false;
}
