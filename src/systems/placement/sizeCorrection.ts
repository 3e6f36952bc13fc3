import type { PoolConfig } from '../../model/configuration.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { Resources } from '../../model/resources.ts';
import type { TaskRow } from '../../model/task.ts';
import type { PlacementPass } from './placementPass.ts';
import { getLargestCapacity } from './placementPass.ts';

/** Samples required before the observed size is used. */
const MIN_SAMPLE_COUNT = 5;
const PEAK_DECAY = 0.98;
const ROUNDING_STEP_CORES = 0.25;

/**
 * Returns the demand with which a task is placed. A demand that is declared too small is raised to
 * the observed peak, up to the quota and the largest worker of the pool. A demand that is declared
 * too large stays: lowering it would commit more declared demand to a worker than its capacity.
 */
export function computePlacedDemand(
  pass: PlacementPass,
  pool: PoolConfig,
  task: TaskRow,
): Resources {
  const { placement } = pass.state;
  const usage = placement.kindUsage.get(`${task.team}/${task.taskKind}`);
  if (usage === undefined || usage.sampleCount < MIN_SAMPLE_COUNT) return task.demand;
  const { demand } = task;
  const factors = placement.sizeFactors.get(task.id);
  const cores = roundUpCores((demand.cores * usage.coreRatio) / (factors?.cores ?? 1));
  const memoryMb = Math.ceil((demand.memoryMb * usage.memoryRatio) / (factors?.memory ?? 1));
  if (cores <= demand.cores && memoryMb <= demand.memoryMb) return demand;
  const largest = getLargestCapacity(pass, pool);
  const limit = pool.quotas.find((quota) => quota.team === task.team)?.limit ?? largest;
  const maxCores = Math.min(largest.cores, limit.cores);
  const maxMemoryMb = Math.min(largest.memoryMb, limit.memoryMb);
  return {
    ...demand,
    cores: Math.max(demand.cores, Math.min(maxCores, cores)),
    memoryMb: Math.max(demand.memoryMb, Math.min(maxMemoryMb, memoryMb)),
  };
}

/** Records by which factors the row exceeds the declared demand, so that ratios stay comparable. */
export function recordSizeFactor(state: EntryState, task: TaskRow, placed: Resources): void {
  if (placed === task.demand) return;
  const { sizeFactors } = state.placement;
  const previous = sizeFactors.get(task.id);
  sizeFactors.set({
    id: task.id,
    cores: ((previous?.cores ?? 1) * placed.cores) / Math.max(0.01, task.demand.cores),
    memory: ((previous?.memory ?? 1) * placed.memoryMb) / Math.max(1, task.demand.memoryMb),
  });
}

function roundUpCores(cores: number): number {
  return Math.ceil(cores / ROUNDING_STEP_CORES) * ROUNDING_STEP_CORES;
}

/** Returns the declared run time corrected by the observed run times of the task kind. */
export function estimateRunSeconds(state: EntryState, task: TaskRow): number {
  const usage = state.placement.kindUsage.get(`${task.team}/${task.taskKind}`);
  return task.expectedSeconds * (usage?.runTimeRatio ?? 1);
}

/** Records an observed usage. Peaks decay slowly, so one outlier does not persist. */
export function recordUsage(
  state: EntryState,
  task: TaskRow,
  cores: number,
  memoryMb: number,
): void {
  const id = `${task.team}/${task.taskKind}`;
  const { kindUsage, sizeFactors } = state.placement;
  const previous = kindUsage.get(id);
  const factors = sizeFactors.get(task.id);
  const coreRatio = (cores / Math.max(0.01, task.demand.cores)) * (factors?.cores ?? 1);
  const memoryRatio = (memoryMb / Math.max(1, task.demand.memoryMb)) * (factors?.memory ?? 1);
  kindUsage.set({
    id,
    coreRatio: Math.max(coreRatio, (previous?.coreRatio ?? 0) * PEAK_DECAY),
    memoryRatio: Math.max(memoryRatio, (previous?.memoryRatio ?? 0) * PEAK_DECAY),
    sampleCount: (previous?.sampleCount ?? 0) + 1,
    runTimeRatio: previous?.runTimeRatio ?? 1,
  });
}

const RUN_TIME_GAIN = 0.2;

export function recordRunTime(state: EntryState, task: TaskRow, seconds: number): void {
  const id = `${task.team}/${task.taskKind}`;
  const previous = state.placement.kindUsage.get(id);
  const ratio = previous?.runTimeRatio ?? 1;
  const observed = seconds / task.expectedSeconds;
  state.placement.kindUsage.set({
    id,
    coreRatio: previous?.coreRatio ?? 0,
    memoryRatio: previous?.memoryRatio ?? 0,
    sampleCount: previous?.sampleCount ?? 0,
    runTimeRatio: ratio + RUN_TIME_GAIN * (observed - ratio),
  });
}
