import type { PoolConfig } from '../../model/configuration.ts';
import type { Resources } from '../../model/resources.ts';
import { computeFreeCoresBucket } from '../../model/placement.ts';
import type { TaskRow } from '../../model/task.ts';
import type { WorkerRow } from '../../model/worker.ts';
import { estimatePlacementCost } from '../interference/interferenceModel.ts';
import { findViolatedConstraint } from './placementConstraints.ts';
import type { PlacementPass } from './placementPass.ts';
import { getLargestCapacity, getSpread, listUsableZones } from './placementPass.ts';

/** Chooses a worker for a task among those that violate no constraint. */
export abstract class PlacementPolicy {
  abstract readonly name: string;
  abstract chooseWorker(
    pass: PlacementPass,
    pool: PoolConfig,
    task: TaskRow,
    demand: Resources,
  ): WorkerRow | undefined;
}

/** Chooses the first worker with capacity in table order. Baseline in benchmarks. */
export class FirstFitPlacement extends PlacementPolicy {
  override readonly name = 'first-fit';

  private constructor() {
    super();
  }

  static create(): FirstFitPlacement {
    return new FirstFitPlacement();
  }

  override chooseWorker(
    pass: PlacementPass,
    pool: PoolConfig,
    task: TaskRow,
    demand: Resources,
  ): WorkerRow | undefined {
    for (const worker of pass.state.workers.values()) {
      if (findViolatedConstraint(pass, pool, task, demand, worker) === undefined) return worker;
    }
    return undefined;
  }
}

/** Limit on scored candidates; more of them take time and improve the choice little. */
const MAX_CANDIDATES = 12;
/** Limit per bucket of free cores, so that the sample covers several load levels. */
const MAX_PER_BUCKET = 4;
const MAX_PER_ZONE = 2;
/** Checks per zone and bucket, in case constraints other than capacity exclude most workers. */
const MAX_CHECKS_PER_BUCKET = 24;
const SPREAD_WEIGHT = 0.2;
const FIT_WEIGHT = 0.05;

/** Scores a sample of workers by predicted interference, spread and fit. */
export class InterferenceAwarePlacement extends PlacementPolicy {
  override readonly name = 'interference-aware';

  private constructor() {
    super();
  }

  static create(): InterferenceAwarePlacement {
    return new InterferenceAwarePlacement();
  }

  override chooseWorker(
    pass: PlacementPass,
    pool: PoolConfig,
    task: TaskRow,
    demand: Resources,
  ): WorkerRow | undefined {
    let best: WorkerRow | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const worker of listCandidates(pass, pool, task, demand)) {
      const score = this.computeScore(pass, pool, task, demand, worker);
      if (score >= bestScore) continue;
      best = worker;
      bestScore = score;
    }
    return best;
  }

  private computeScore(
    pass: PlacementPass,
    pool: PoolConfig,
    task: TaskRow,
    demand: Resources,
    worker: WorkerRow,
  ): number {
    const freeCores = pass.state.placement.commitments.get(worker.id)?.freeCores ?? 0;
    const remainingShare = (freeCores - demand.cores) / Math.max(1, worker.capacity.cores);
    let score =
      FIT_WEIGHT * remainingShare +
      estimatePlacementCost(pass.state, pass.effects, task, demand, worker);
    if (task.service !== undefined) {
      const spread = getSpread(pass, pool, task.service);
      const inZone = spread.byLocation.get(worker.zone) ?? 0;
      const inRack = spread.byLocation.get(`${worker.zone}/${worker.rack}`) ?? 0;
      score += (SPREAD_WEIGHT * (inZone + inRack)) / Math.max(1, spread.replicas);
    }
    return score;
  }
}

/**
 * Returns a sample of the workers that satisfy all constraints. Alternates between the buckets with
 * the most and the fewest free cores, so that the sample contains idle and busy workers.
 */
function listCandidates(
  pass: PlacementPass,
  pool: PoolConfig,
  task: TaskRow,
  demand: Resources,
): WorkerRow[] {
  const candidates: WorkerRow[] = [];
  const zones = listUsableZones(pass, pool);
  const firstZone = zones.length < 2 ? 0 : pass.tick.random.takeInt(0, zones.length - 1);
  let low = computeFreeCoresBucket(demand.cores);
  let high = computeFreeCoresBucket(getLargestCapacity(pass, pool).cores / pool.maxWorkerShare);
  for (let step = 0; low <= high && candidates.length < MAX_CANDIDATES; step += 1) {
    const bucket = step % 2 === 0 ? high : low;
    if (step % 2 === 0) high -= 1;
    else low += 1;
    const bucketLimit = Math.min(MAX_CANDIDATES, candidates.length + MAX_PER_BUCKET);
    for (let offset = 0; offset < zones.length && candidates.length < bucketLimit; offset += 1) {
      const zone = zones[(firstZone + offset) % zones.length] ?? '';
      addCandidates(pass, pool, task, demand, `${zone}|${bucket}`, candidates);
    }
  }
  return candidates;
}

function addCandidates(
  pass: PlacementPass,
  pool: PoolConfig,
  task: TaskRow,
  demand: Resources,
  key: string,
  candidates: WorkerRow[],
): void {
  let added = 0;
  let checked = 0;
  for (const commitment of pass.state.placement.commitmentsByFreeCores.values(key)) {
    if (added >= MAX_PER_ZONE || checked >= MAX_CHECKS_PER_BUCKET) return;
    checked += 1;
    const worker = pass.state.workers.get(commitment.id);
    if (worker === undefined) continue;
    if (findViolatedConstraint(pass, pool, task, demand, worker) !== undefined) continue;
    candidates.push(worker);
    added += 1;
  }
}
