import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { UsageSampleRow } from '../../model/taskTables.ts';
import type { OccupancyRow } from '../../model/placement.ts';
import { formatRunId } from '../../model/run.ts';
import type { TaskRow } from '../../model/task.ts';
import { recordRunTime, recordUsage } from '../placement/sizeCorrection.ts';
import type { Neighbour } from './interferenceModel.ts';
import { computeLoadLevel, recordSlowdown } from './interferenceModel.ts';

/** Older samples are discarded because the occupancies of that time have been removed. */
const OCCUPANCY_RETENTION_MS = 60_000;
/** Limits the tick duration after a long pause. */
const MAX_SAMPLES_PER_TICK = 150;
/** Beyond this the oldest samples are discarded, because newer ones are more relevant. */
const MAX_QUEUED_SAMPLES = 1_000;
/** Limit on updates of the pair estimates, each of which iterates over the neighbours. */
const MAX_ESTIMATE_UPDATES_PER_TICK = 20;
/** Occupancies opened or closed in one tick; the others are recorded some milliseconds late. */
const MAX_OCCUPANCY_UPDATES_PER_TICK = 200;
const SLOWDOWN_GAIN = 0.3;

/**
 * Estimates sizes, run times and interference of task kinds from usage samples.
 * Reads `claims`, `runs`, `throttles`, `tasks`. Consumes `usageSamples`. Writes `occupancies`,
 * `kindUsage`, `pairEstimates`, `mitigations`.
 * Runs each tick over a bounded number of samples.
 */
export class UsageSystem extends System<EntryState> {
  override readonly name = 'usage';

  private constructor() {
    super();
  }

  static create(): UsageSystem {
    return new UsageSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    updateOccupancies(state, tick.now);
    if (state.placement.changedClaims.size > 0) tick.wakeAt(tick.now + 1);
    let handled = 0;
    let surplus = state.usageSamples.size - MAX_QUEUED_SAMPLES;
    if (surplus > 0) state.counters.add('usage_samples_dropped', {}, surplus);
    for (const sample of state.usageSamples.values()) {
      if (surplus > 0) {
        surplus -= 1;
        state.usageSamples.remove(sample.id);
        continue;
      }
      if (handled >= MAX_SAMPLES_PER_TICK) {
        tick.wakeAt(tick.now + 1);
        break;
      }
      handled += 1;
      state.usageSamples.remove(sample.id);
      const task = state.tasks.get(sample.taskId);
      if (task === undefined || sample.takenMs < tick.now - OCCUPANCY_RETENTION_MS) continue;
      recordUsage(state, task, sample.cores, sample.memoryMb);
      if (task.workClass === 'latency-critical') updateProtectedSlowdown(state, task.id, sample);
      if (handled <= MAX_ESTIMATE_UPDATES_PER_TICK) updatePairEstimates(state, tick, task, sample);
    }
  }
}

/** Opens an occupancy for each new claim and closes it when the claim is removed. */
function updateOccupancies(state: EntryState, nowMs: number): void {
  const { placement } = state;
  let handled = 0;
  for (const id of placement.changedClaims) {
    if (handled >= MAX_OCCUPANCY_UPDATES_PER_TICK) return;
    handled += 1;
    placement.changedClaims.delete(id);
    const claim = placement.claims.get(id);
    const occupancy = placement.occupancies.get(id);
    if (claim === undefined) {
      if (occupancy?.toMs === Number.POSITIVE_INFINITY) closeOccupancy(state, occupancy, nowMs);
      continue;
    }
    if (occupancy !== undefined) continue;
    const { taskId, taskKind, workerId } = claim;
    const cores = Math.max(1, state.workers.get(workerId)?.capacity.cores ?? 1);
    const throttleChanges = [{ fromMs: nowMs, share: state.throttles.get(taskId)?.share ?? 1 }];
    const relativeCores = claim.demand.cores / cores;
    placement.occupancies.set({
      ...{ id, workerId, taskId, taskKind, relativeCores, throttleChanges },
      fromMs: nowMs,
      toMs: Number.POSITIVE_INFINITY,
    });
  }
}

function closeOccupancy(state: EntryState, occupancy: OccupancyRow, nowMs: number): void {
  state.placement.occupancies.set({ ...occupancy, toMs: nowMs });
  for (const other of state.placement.occupanciesByWorker.list(occupancy.workerId)) {
    if (other.toMs < nowMs - OCCUPANCY_RETENTION_MS) state.placement.occupancies.remove(other.id);
  }
  const task = state.tasks.get(occupancy.taskId);
  const hasRunUninterrupted = task?.phase === 'finished' && task.incarnation === 1;
  if (hasRunUninterrupted) recordRunTime(state, task, (nowMs - occupancy.fromMs) / 1_000);
}

/** Sets the throttle of a task and records the change to match late samples. */
export function setThrottle(state: EntryState, taskId: string, share: number, nowMs: number): void {
  if (share >= 1) state.throttles.remove(taskId);
  else state.throttles.set({ id: taskId, share, sinceMs: nowMs });
  for (const claim of state.placement.claimsByTask.list(taskId)) {
    const occupancy = state.placement.occupancies.get(claim.id);
    if (occupancy === undefined) continue;
    const throttleChanges = [...occupancy.throttleChanges.slice(-7), { fromMs: nowMs, share }];
    state.placement.occupancies.set({ ...occupancy, throttleChanges });
  }
}

function updatePairEstimates(
  state: EntryState,
  tick: Tick,
  task: TaskRow,
  sample: UsageSampleRow,
): void {
  const ownOccupancy = state.placement.occupancies.get(
    formatRunId(sample.taskId, sample.incarnation),
  );
  if (ownOccupancy === undefined || sample.takenMs < ownOccupancy.fromMs) return;
  const neighbours: Neighbour[] = [];
  let load = ownOccupancy.relativeCores;
  for (const other of state.placement.occupanciesByWorker.values(ownOccupancy.workerId)) {
    if (other.id === ownOccupancy.id) continue;
    if (other.fromMs > sample.takenMs || other.toMs <= sample.takenMs) continue;
    const pressure = other.relativeCores * getShareAt(other, sample.takenMs);
    neighbours.push({ taskKind: other.taskKind, pressure });
    load += pressure;
  }
  const level = computeLoadLevel(load);
  recordSlowdown(state, task.taskKind, neighbours, level, sample.slowdown, tick.now);
}

function getShareAt(occupancy: OccupancyRow, atMs: number): number {
  let share = 1;
  for (const change of occupancy.throttleChanges) {
    if (change.fromMs <= atMs) share = change.share;
  }
  return share;
}

/** Smooths the slowdown of a protected task, so that one noisy sample starts no mitigation. */
function updateProtectedSlowdown(state: EntryState, taskId: string, sample: UsageSampleRow): void {
  const previous = state.placement.mitigations.get(taskId);
  const slowdown = previous?.slowdown ?? 1;
  state.placement.mitigations.set({
    id: taskId,
    slowdown: slowdown + SLOWDOWN_GAIN * (sample.slowdown - slowdown),
    sampleCount: (previous?.sampleCount ?? 0) + 1,
    isActive: previous?.isActive ?? false,
    changedMs: previous?.changedMs ?? Number.NEGATIVE_INFINITY,
  });
}
