import type { RunRow } from '../../model/scheduler/rows.ts';
import type { PressureRow, SchedulerState } from '../../model/scheduler/schedulerState.ts';

/** Step of the estimate; samples are rough and conditions change within seconds. */
const LEARNING_RATE = 0.15;
/** Estimate of an image that has not been seen beside a serving task, in parts of the target. */
const UNKNOWN_PRESSURE = 0.1;
const UNKNOWN_BASE = 0.5;
const FULL_PERCENT = 100;
/** Samples of a dead or overloaded task say little about the figures in between. */
const MAX_SAMPLE = 3;

/**
 * How much filling tasks raise the tail latency of serving tasks, learnt per pair of images from
 * the figures that workers report: latency over target = base + sum of pressure x pace.
 */
export function learnPressure(
  state: SchedulerState,
  serving: RunRow,
  filling: readonly RunRow[],
): void {
  const sample = Math.min(MAX_SAMPLE, serving.load / serving.step.targetMs);
  if (sample === 0) return;
  const error = sample - estimatePressure(state, serving.step.image, filling);
  const norm = filling.reduce((sum, run) => sum + getPace(run) ** 2, 1);
  const step = (LEARNING_RATE * error) / norm;
  adjust(state, getRow(state, serving.step.image, ''), step);
  for (const run of filling)
    adjust(state, getRow(state, serving.step.image, run.step.image), step * getPace(run));
}

/** Expected tail latency of a serving image, relative to its target, beside some filling runs. */
export function estimatePressure(
  state: SchedulerState,
  servingImage: string,
  filling: readonly RunRow[],
): number {
  let pressure = getRow(state, servingImage, '').value;
  for (const run of filling)
    pressure += getRow(state, servingImage, run.step.image).value * getPace(run);
  return pressure;
}

/** What one task of the filling image adds at full pace. */
export function getPairPressure(
  state: SchedulerState,
  servingImage: string,
  fillingImage: string,
): number {
  return getRow(state, servingImage, fillingImage).value;
}

function getPace(run: RunRow): number {
  return run.pacePercent / FULL_PERCENT;
}

function getRow(state: SchedulerState, servingImage: string, fillingImage: string): PressureRow {
  const id = `${servingImage}|${fillingImage}`;
  return (
    state.pressures.get(id) ?? { id, value: fillingImage === '' ? UNKNOWN_BASE : UNKNOWN_PRESSURE }
  );
}

function adjust(state: SchedulerState, row: PressureRow, step: number): void {
  state.pressures.set({ id: row.id, value: Math.max(0, row.value + step) });
}
