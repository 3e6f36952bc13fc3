import type { PoolConfig } from '../../model/configuration.ts';
import type { ClaimRow } from '../../model/placement.ts';
import type { Resources } from '../../model/resources.ts';
import { addResources, NO_RESOURCES } from '../../model/resources.ts';
import type { TaskRow, WorkClass } from '../../model/task.ts';
import type { WorkerRow } from '../../model/worker.ts';
import { recordDecision } from '../decisions.ts';
import { hasPendingChange, queueTaskChange } from '../ledger/ledgerChanges.ts';
import { getPlacementInputs } from './commitmentSystem.ts';
import { findViolatedRule, hasWorkerCapacity } from './placementConstraints.ts';
import type { PlacementPass } from './placementPass.ts';
import { getTaskShard, listUsableZones } from './placementPass.ts';

/** Minimum run time of a victim, so that two tasks cannot preempt each other repeatedly. */
const MIN_RUN_MS = 10_000;
/** Minimum run time of a victim that was stopped before. */
const MIN_RERUN_MS = 60_000;
/** Time for the victims to checkpoint and stop; afterwards the task may choose other victims. */
const RESERVATION_MS = 20_000;
const MAX_WORKERS_CHECKED = 48;
const RESTART_SECONDS = 5;
/** Upper limit on the work that stopping a task with a checkpoint loses. */
const MAX_LOST_SECONDS = 60;
const CLASS_RANK: Readonly<Record<WorkClass, number>> = {
  ordinary: 0,
  urgent: 1,
  'latency-critical': 2,
};
/** Makes any victim of a higher class cost more than all victims of the class below. */
const RANK_COST = 1e9;

interface VictimSet {
  readonly worker: WorkerRow;
  readonly victims: readonly ClaimRow[];
  readonly cost: number;
}

/**
 * Preempts the cheapest set of lower-class tasks that frees enough capacity and reserves that
 * capacity for the task. Returns whether the task has a reservation.
 */
export function placeByPreemption(
  pass: PlacementPass,
  pool: PoolConfig,
  task: TaskRow,
  demand: Resources,
): boolean {
  const { state, tick } = pass;
  if (CLASS_RANK[task.workClass] === 0) return false;
  if (state.placement.reservations.has(task.id)) return true;
  const chosen = findVictimSet(pass, pool, task, demand);
  if (chosen === undefined) return false;
  const { worker } = chosen;
  const untilMs = tick.now + RESERVATION_MS;
  state.placement.reservations.set({ id: task.id, workerId: worker.id, demand, untilMs });
  for (const victim of chosen.victims) {
    const row = state.tasks.get(victim.taskId);
    if (row === undefined) continue;
    const next: TaskRow = { ...row, stopReason: 'preempted' };
    queueTaskChange(state, getTaskShard(pass, row), next, tick.now, true);
    state.counters.add('evictions', { reason: 'preempted' });
    recordDecision(state, tick.now, row.id, 'preempt', `for ${task.workClass} task ${task.id}`);
  }
  return true;
}

function findVictimSet(
  pass: PlacementPass,
  pool: PoolConfig,
  task: TaskRow,
  demand: Resources,
): VictimSet | undefined {
  const { workersByZone } = getPlacementInputs(pass.state);
  const zones = listUsableZones(pass, pool);
  const perZone = Math.max(1, Math.floor(MAX_WORKERS_CHECKED / Math.max(1, zones.length)));
  let best: VictimSet | undefined;
  for (const zone of zones) {
    const workers = workersByZone.list(zone);
    const first = pass.tick.random.takeInt(0, Math.max(0, workers.length - 1));
    for (let step = 0; step < Math.min(perZone, workers.length); step += 1) {
      const worker = workers[(first + step) % workers.length];
      if (worker === undefined) continue;
      if (findViolatedRule(pass, pool, task, worker) !== undefined) continue;
      const set = buildVictimSet(pass, pool, task, demand, worker);
      if (set !== undefined && set.cost < (best?.cost ?? Number.POSITIVE_INFINITY)) best = set;
    }
  }
  return best;
}

/** Adds victims in order of cost until the task fits, then removes those that are not needed. */
function buildVictimSet(
  pass: PlacementPass,
  pool: PoolConfig,
  task: TaskRow,
  demand: Resources,
  worker: WorkerRow,
): VictimSet | undefined {
  const ranked = pass.state.placement.claimsByWorker
    .list(worker.id)
    .filter((claim) => isVictim(pass, task, claim))
    .map((claim) => ({ claim, cost: computeVictimCost(pass, claim) }))
    .sort((a, b) => a.cost - b.cost);
  let victims: typeof ranked = [];
  const hasEnoughCapacity = (set: typeof ranked): boolean => {
    let freed = NO_RESOURCES;
    let poolCores = 0;
    for (const { claim } of set) {
      freed = addResources(freed, claim.demand);
      if (claim.pool === pool.name) poolCores += claim.demand.cores;
    }
    return hasWorkerCapacity(pass, pool, task.id, demand, worker, freed, poolCores);
  };
  for (const candidate of ranked) {
    victims.push(candidate);
    if (hasEnoughCapacity(victims)) break;
  }
  if (victims.length === 0 || !hasEnoughCapacity(victims)) return undefined;
  for (const candidate of [...victims].reverse()) {
    const rest = victims.filter((other) => other !== candidate);
    if (hasEnoughCapacity(rest)) victims = rest;
  }
  const cost = victims.reduce((sum, victim) => sum + victim.cost, 0);
  return { worker, victims: victims.map((victim) => victim.claim), cost };
}

function isVictim(pass: PlacementPass, task: TaskRow, claim: ClaimRow): boolean {
  if (!claim.isCurrent || claim.isStopping) return false;
  if (CLASS_RANK[claim.workClass] >= CLASS_RANK[task.workClass]) return false;
  if (!pass.pools.has(claim.pool) || hasPendingChange(pass.state, claim.taskId)) return false;
  const row = pass.state.tasks.get(claim.taskId);
  const fromMs = pass.state.placement.occupancies.get(claim.id)?.fromMs ?? pass.tick.now;
  const minimumMs = (row?.incarnation ?? 1) > 1 ? MIN_RERUN_MS : MIN_RUN_MS;
  return pass.tick.now - fromMs >= minimumMs;
}

/** Estimates the core-seconds lost by stopping the task, plus a term that ranks by class first. */
function computeVictimCost(pass: PlacementPass, claim: ClaimRow): number {
  const { state, tick } = pass;
  const fromMs = state.placement.occupancies.get(claim.id)?.fromMs ?? tick.now;
  const ranSeconds = (tick.now - fromMs) / 1_000;
  const hasCheckpoint = state.runs.get(claim.id)?.checkpoint !== undefined;
  const lost = hasCheckpoint ? Math.min(ranSeconds, MAX_LOST_SECONDS) : ranSeconds;
  return CLASS_RANK[claim.workClass] * RANK_COST + claim.demand.cores * (lost + RESTART_SECONDS);
}
