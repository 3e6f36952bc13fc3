import type { EntryState } from '../../model/entryState.ts';
import type { ClaimRow, PairEstimateRow } from '../../model/placement.ts';
import type { Resources } from '../../model/resources.ts';
import type { TaskRow } from '../../model/task.ts';
import type { WorkerRow } from '../../model/worker.ts';

/** A neighbour of a sampled task at the time of the sample. */
export interface Neighbour {
  readonly taskKind: string;
  /** Cores relative to the worker's, times its share of full speed. */
  readonly pressure: number;
}

/** Upper ends of the load levels, as the share of the worker's cores that is under way. */
const LOAD_LEVEL_LIMITS = [0.4, 0.75, Number.POSITIVE_INFINITY];
/** Slowdown per unit of pressure assumed for a pair that was never seen together. */
const PRIOR_EFFECT = 0.5;
const PRIOR_WEIGHT = 1;
const WEIGHT_HALF_LIFE_MS = 120_000;
const MAX_WEIGHT = 40;
const MIN_GAIN = 0.05;
const DRIFT_GAIN = 0.15;
/** A smoothed error above this is not noise: the load has shifted and old evidence is dropped. */
const DRIFT_LIMIT = 0.35;
const WEIGHT_AFTER_SHIFT = 1;

export function computeLoadLevel(load: number): number {
  return LOAD_LEVEL_LIMITS.findIndex((end) => load < end);
}

/** Estimated slowdown of the victim kind per unit of the aggressor's pressure. */
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
    const near = other === level ? undefined : pairEstimates.get(`${pair}/${other}`);
    if (near === undefined || near.weight <= priorWeight) continue;
    // Another level's estimate is a better guess than the general prior.
    prior = near.effect;
    priorWeight = PRIOR_WEIGHT + 1;
  }
  if (row === undefined) return prior;
  return (row.effect * row.weight + prior * priorWeight) / (row.weight + priorWeight);
}

/** Slowdown, beyond 1, that the neighbours are expected to cause. */
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
 * Corrects the estimates of the pairs that a sample shows together. The error is shared in
 * proportion to pressure (normalized least mean squares), with a gain that falls as evidence grows.
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
  const fade = 0.5 ** ((nowMs - previous.updatedMs) / WEIGHT_HALF_LIFE_MS);
  const drift = previous.drift + DRIFT_GAIN * (error - previous.drift);
  const hasShifted = Math.abs(drift) > DRIFT_LIMIT && previous.weight > WEIGHT_AFTER_SHIFT;
  const weight = hasShifted ? WEIGHT_AFTER_SHIFT : previous.weight * fade;
  const gain = Math.max(MIN_GAIN, 1 / (weight + 2));
  pairEstimates.set({
    id,
    effect: Math.max(0, previous.effect + gain * correction),
    weight: Math.min(MAX_WEIGHT, weight + 1),
    updatedMs: nowMs,
    drift: hasShifted ? 0 : drift,
  });
}

/** Estimates that the decisions of one turn share; a look-up is far cheaper than an estimate. */
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

/** Slowdown of a service up to which neighbours cost it next to nothing in latency. */
const TOLERATED_SLOWDOWN = 0.15;
/** Weight of slowdown beyond the tolerated one, and of any slowdown of batch work. */
const EXCESS_SLOWDOWN_WEIGHT = 20;
/**
 * Cost of opening a worker without services to one more service, and of using it for batch work.
 * Services on few workers, beside harmless batch work, leave the others to the noisy kinds.
 */
const FIRST_SERVICE_COST = 2;
const BATCH_WITHOUT_SERVICE_COST = 0.05;

/** Harm that placing the task on the worker is expected to do to it and to the tasks there. */
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
  let own = 0;
  let protectedCount = 0;
  for (let at = 0; at < claims.length; at += 1) {
    const claim = claims[at];
    if (claim === undefined) continue;
    own += effects.get(task.taskKind, claim.taskKind, level) * (pressures[at] ?? 0);
    const added = (effects.get(claim.taskKind, task.taskKind, level) * demand.cores) / cores;
    if (claim.workClass !== 'latency-critical') cost += added;
    else {
      protectedCount += 1;
      const present = computeClaimSlowdown(effects, claims, pressures, at, level);
      cost += computeLatencyCost(present + added) - computeLatencyCost(present);
    }
  }
  cost += isProtected ? computeLatencyCost(own) : own;
  if (protectedCount === 0) cost += isProtected ? FIRST_SERVICE_COST : BATCH_WITHOUT_SERVICE_COST;
  return cost;
}

/** Pressure of each claim: its cores relative to the worker's, times its share of full speed. */
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

/** Slowdown that the other claims of the worker cause the claim at the position. */
function computeClaimSlowdown(
  effects: EffectCache,
  claims: readonly ClaimRow[],
  pressures: readonly number[],
  position: number,
  level: number,
): number {
  const victim = claims[position]?.taskKind ?? '';
  let present = 0;
  for (let at = 0; at < claims.length; at += 1) {
    const other = claims[at];
    if (other === undefined || at === position) continue;
    present += effects.get(victim, other.taskKind, level) * (pressures[at] ?? 0);
  }
  return present;
}

function computeLatencyCost(slowdown: number): number {
  return slowdown + EXCESS_SLOWDOWN_WEIGHT * Math.max(0, slowdown - TOLERATED_SLOWDOWN);
}
