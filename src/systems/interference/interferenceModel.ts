import type { EntryState } from '../../model/entryState.ts';
import type { ClaimRow, PairEstimateRow } from '../../model/placement.ts';
import type { Resources } from '../../model/resources.ts';
import type { TaskRow } from '../../model/task.ts';
import type { WorkerRow } from '../../model/worker.ts';

/** A run on the same worker as a sampled task at the time of the sample. */
export interface Neighbour {
  readonly taskKind: string;
  /** Cores divided by the worker's cores, times the throttle share. */
  readonly pressure: number;
}

/** Upper ends of the load levels, as the share of the worker's cores in use. */
const LOAD_LEVEL_LIMITS = [0.4, 0.75, Number.POSITIVE_INFINITY];
/** Slowdown per unit of pressure assumed for a pair of task kinds without samples. */
const PRIOR_EFFECT = 0.5;
const PRIOR_WEIGHT = 1;
const WEIGHT_HALF_LIFE_MS = 120_000;
const MAX_WEIGHT = 40;
const MIN_GAIN = 0.05;
const DRIFT_GAIN = 0.15;
/** A larger smoothed error is not noise: the load has shifted, so old evidence is discarded. */
const DRIFT_LIMIT = 0.35;
const WEIGHT_AFTER_SHIFT = 1;

export function computeLoadLevel(load: number): number {
  return LOAD_LEVEL_LIMITS.findIndex((end) => load < end);
}

/** Estimates the slowdown of the victim kind per unit of the aggressor's pressure. */
export function estimateEffect(
  state: EntryState,
  victimKind: string,
  aggressorKind: string,
  level: number,
): number {
  const { pairEstimates } = state.placement;
  const pair = `${victimKind}/${aggressorKind}`;
  const row = pairEstimates.get(`${pair}/${level}`);
  if (row !== undefined && row.weight >= MAX_WEIGHT / 4) return row.effect;
  let prior = PRIOR_EFFECT;
  let priorWeight = PRIOR_WEIGHT;
  for (let other = 0; other < LOAD_LEVEL_LIMITS.length; other += 1) {
    const estimate = other === level ? undefined : pairEstimates.get(`${pair}/${other}`);
    if (estimate === undefined || estimate.weight <= priorWeight) continue;
    // The estimate of another load level is a better prior than the general one.
    prior = estimate.effect;
    priorWeight = PRIOR_WEIGHT + 1;
  }
  if (row === undefined) return prior;
  return (row.effect * row.weight + prior * priorWeight) / (row.weight + priorWeight);
}

/** Estimates the slowdown above 1 that the neighbours cause. */
export function estimateSlowdown(
  state: EntryState,
  victimKind: string,
  neighbours: readonly Neighbour[],
  level: number,
): number {
  return neighbours.reduce(
    (sum, neighbour) =>
      sum + estimateEffect(state, victimKind, neighbour.taskKind, level) * neighbour.pressure,
    0,
  );
}

/**
 * Updates the estimates of the pairs in a sample. The prediction error is distributed in proportion
 * to pressure (normalized least mean squares), with a gain that decreases as evidence grows.
 */
export function recordSlowdown(
  state: EntryState,
  victimKind: string,
  neighbours: readonly Neighbour[],
  level: number,
  slowdown: number,
  nowMs: number,
): void {
  const pressures = new Map<string, number>();
  for (const { taskKind, pressure } of neighbours) {
    pressures.set(taskKind, (pressures.get(taskKind) ?? 0) + pressure);
  }
  let norm = 0;
  for (const pressure of pressures.values()) norm += pressure * pressure;
  if (norm < 1e-4) return;
  const error = slowdown - 1 - estimateSlowdown(state, victimKind, neighbours, level);
  for (const [kind, pressure] of pressures) {
    const id = `${victimKind}/${kind}/${level}`;
    updateEstimate(state, id, victimKind, kind, level, (error * pressure) / norm, error, nowMs);
  }
}

function updateEstimate(
  state: EntryState,
  id: string,
  victimKind: string,
  kind: string,
  level: number,
  correction: number,
  error: number,
  nowMs: number,
): void {
  const { pairEstimates } = state.placement;
  const previous: PairEstimateRow = pairEstimates.get(id) ?? {
    id,
    effect: estimateEffect(state, victimKind, kind, level),
    weight: 0,
    updatedMs: nowMs,
    drift: 0,
  };
  const decay = 0.5 ** ((nowMs - previous.updatedMs) / WEIGHT_HALF_LIFE_MS);
  const drift = previous.drift + DRIFT_GAIN * (error - previous.drift);
  const hasShifted = Math.abs(drift) > DRIFT_LIMIT && previous.weight > WEIGHT_AFTER_SHIFT;
  const weight = hasShifted ? WEIGHT_AFTER_SHIFT : previous.weight * decay;
  const gain = Math.max(MIN_GAIN, 1 / (weight + 2));
  pairEstimates.set({
    id,
    effect: Math.max(0, previous.effect + gain * correction),
    weight: Math.min(MAX_WEIGHT, weight + 1),
    updatedMs: nowMs,
    drift: hasShifted ? 0 : drift,
  });
}

/** Caches the estimates of one scheduling pass; a look-up is far cheaper than an estimate. */
export class EffectCache {
  private readonly effects = new Map<string, Map<string, number[]>>();

  private constructor(private readonly state: EntryState) {}

  static create(state: EntryState): EffectCache {
    return new EffectCache(state);
  }

  get(victimKind: string, aggressorKind: string, level: number): number {
    let byAggressor = this.effects.get(victimKind);
    if (byAggressor === undefined) {
      byAggressor = new Map<string, number[]>();
      this.effects.set(victimKind, byAggressor);
    }
    let byLevel = byAggressor.get(aggressorKind);
    if (byLevel === undefined) byAggressor.set(aggressorKind, (byLevel = []));
    return (byLevel[level] ??= estimateEffect(this.state, victimKind, aggressorKind, level));
  }
}

/** Slowdown of a service up to which its latency hardly increases. */
const TOLERATED_SLOWDOWN = 0.15;
/** Extra weight of a service's slowdown above the tolerated one, relative to that of batch work. */
const EXCESS_SLOWDOWN_WEIGHT = 20;
/**
 * Cost of placing a service, or batch work, on a worker without services. It packs services and
 * batch work with little effect onto few workers and leaves the others to noisy task kinds.
 */
const FIRST_SERVICE_COST = 2;
const BATCH_WITHOUT_SERVICE_COST = 0.05;

/** Estimates the cost of a placement: the slowdown of the task and of the tasks on the worker. */
export function estimatePlacementCost(
  state: EntryState,
  effects: EffectCache,
  task: TaskRow,
  demand: Resources,
  worker: WorkerRow,
): number {
  const cores = Math.max(1, worker.capacity.cores);
  const commitment = state.placement.commitments.get(worker.id);
  const claims = commitment?.claims ?? [];
  const level = computeLoadLevel(((commitment?.demand.cores ?? 0) + demand.cores) / cores);
  const isProtected = task.workClass === 'latency-critical';
  const pressures = listPressures(state, claims, cores);
  let cost = 0;
  let ownSlowdown = 0;
  let protectedCount = 0;
  for (let at = 0; at < claims.length; at += 1) {
    const claim = claims[at];
    if (claim === undefined) continue;
    ownSlowdown += effects.get(task.taskKind, claim.taskKind, level) * (pressures[at] ?? 0);
    const added = (effects.get(claim.taskKind, task.taskKind, level) * demand.cores) / cores;
    if (claim.workClass !== 'latency-critical') cost += added;
    else {
      protectedCount += 1;
      const currentSlowdown = computeClaimSlowdown(effects, claims, pressures, at, level);
      cost += computeLatencyCost(currentSlowdown + added) - computeLatencyCost(currentSlowdown);
    }
  }
  cost += isProtected ? computeLatencyCost(ownSlowdown) : ownSlowdown;
  if (protectedCount === 0) cost += isProtected ? FIRST_SERVICE_COST : BATCH_WITHOUT_SERVICE_COST;
  return cost;
}

/** Lists the pressure of each claim: its cores divided by the worker's, times its throttle share. */
function listPressures(
  state: EntryState,
  claims: readonly ClaimRow[],
  cores: number,
): readonly number[] {
  const hasThrottles = state.throttles.size > 0;
  return claims.map((claim) => {
    const share = hasThrottles ? (state.throttles.get(claim.taskId)?.share ?? 1) : 1;
    return (claim.demand.cores * share) / cores;
  });
}

/** Estimates the slowdown that the other claims of the worker cause the claim at the position. */
function computeClaimSlowdown(
  effects: EffectCache,
  claims: readonly ClaimRow[],
  pressures: readonly number[],
  position: number,
  level: number,
): number {
  const victim = claims[position]?.taskKind ?? '';
  let currentSlowdown = 0;
  for (let at = 0; at < claims.length; at += 1) {
    const other = claims[at];
    if (other === undefined || at === position) continue;
    currentSlowdown += effects.get(victim, other.taskKind, level) * (pressures[at] ?? 0);
  }
  return currentSlowdown;
}

function computeLatencyCost(slowdown: number): number {
  return slowdown + EXCESS_SLOWDOWN_WEIGHT * Math.max(0, slowdown - TOLERATED_SLOWDOWN);
}
