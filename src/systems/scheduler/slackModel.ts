import type { RunRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState, SlackRow } from '../../model/scheduler/schedulerState.ts';

/** Step of the mean slack of an image; loads swing within seconds. */
const MEAN_SMOOTHING = 0.1;
/** Cost of a filling image that has not been seen beside a serving image. */
const INITIAL_COST = 0.2;
const INITIAL_COST_VARIANCE = 0.4 ** 2;
/** Costs change slowly; without it later samples would not count any more. */
const COST_DRIFT_VARIANCE = 0.02 ** 2;
/** Slack of a serving image that has not been seen alone. */
const INITIAL_BASE_SLACK = 2;
const INITIAL_LOAD_VARIANCE = 1;
/** In a trace of hanbit-sched scale-1 the slack of a job rises and falls by up to 0.3 between looks. */
const LOAD_DRIFT_VARIANCE = 0.3 ** 2;
/** Samples of tasks of one job at one time differ by about a twentieth. */
const SAMPLE_VARIANCE = 0.15 ** 2;
/** An idle task's slack says nothing about how it bears neighbours. */
const MAX_SLACK = 4;
const FULL_PACE_PERCENT = 100;

/** A serving task with the filling tasks of its worker. */
export interface SlackSample {
  readonly serving: RunRow;
  readonly bestEffort: readonly RunRow[];
}

/**
 * How much filling tasks cost serving tasks, learnt per pair of images from the figures that workers
 * report. The slack of a serving task is its latency target over its tail latency. Latency grows
 * without bound as a worker fills up, its inverse falls about evenly: slack = load - sum of cost x pace.
 * The load of a job's callers swings alike for all its tasks, so tasks without neighbours show how
 * much of a change comes from the load.
 */
export function updateSlackModel(state: SchedulerState, samples: readonly SlackSample[]): void {
  for (const load of state.servingLoads.values()) {
    const variance = load.variance + LOAD_DRIFT_VARIANCE;
    if (variance > INITIAL_LOAD_VARIANCE) state.servingLoads.remove(load.id);
    else state.servingLoads.update(load.id, { variance });
  }
  const ordered = samples
    .map((sample) => ({ sample, paces: collectPaces(sample.bestEffort) }))
    .sort((left, right) => left.paces.size - right.paces.size);
  for (const { sample, paces } of ordered) applySample(state, sample.serving, paces);
}

/** Splits the error of the expected slack by how uncertain the load and each cost are. */
function applySample(
  state: SchedulerState,
  serving: RunRow,
  paces: ReadonlyMap<string, number>,
): void {
  const sample = computeSlack(serving);
  if (sample === undefined) return;
  const { image } = serving.step;
  const loadId = `${serving.jobId}|${image}`;
  const load = state.servingLoads.get(loadId) ?? {
    id: loadId,
    slack: getBaseSlack(state, image),
    variance: INITIAL_LOAD_VARIANCE,
  };
  let expected = load.slack;
  let variance = load.variance + SAMPLE_VARIANCE;
  const costs = [...paces].map(([bestEffort, pace]) => ({
    row: getCostRow(state, image, bestEffort),
    pace,
  }));
  for (const { row, pace } of costs) {
    expected -= row.value * pace;
    variance += row.variance * pace ** 2;
  }
  // A slack at the upper bound only says that the expected one is not too low.
  if (sample >= MAX_SLACK && expected >= MAX_SLACK) return;
  const error = (sample - expected) / variance;
  const slack = load.slack + load.variance * error;
  state.servingLoads.set({
    id: loadId,
    slack,
    variance: load.variance * (1 - load.variance / variance),
  });
  const mean = getBaseSlack(state, image);
  setSlackRow(state, `${image}|`, mean + MEAN_SMOOTHING * (slack - mean), 0);
  for (const { row, pace } of costs) {
    const gain = (row.variance * pace) / variance;
    setSlackRow(
      state,
      row.id,
      Math.max(0, row.value - row.variance * pace * error),
      row.variance * (1 - gain * pace) + COST_DRIFT_VARIANCE,
    );
  }
}

/** Sum of the paces at work by image, in tasks at full pace. */
function collectPaces(bestEffort: readonly RunRow[]): Map<string, number> {
  const paces = new Map<string, number>();
  for (const { step, pacePercent } of bestEffort)
    if (pacePercent > 0)
      paces.set(step.image, (paces.get(step.image) ?? 0) + pacePercent / FULL_PACE_PERCENT);
  return paces;
}

/** Latency target over the reported tail latency; undefined while none is reported. */
export function computeSlack(run: RunRow): number | undefined {
  if (run.load === 0 || run.step.targetMs === 0) return undefined;
  return Math.min(MAX_SLACK, run.step.targetMs / run.load);
}

/** Expected slack of a serving image alone. */
export function getBaseSlack(state: SchedulerState, servingImage: string): number {
  return state.slacks.get(`${servingImage}|`)?.value ?? INITIAL_BASE_SLACK;
}

/** What one task of the filling image takes from the slack of a serving one at full pace. */
export function getPairCost(
  state: SchedulerState,
  servingImage: string,
  bestEffortImage: string,
): number {
  return getCostRow(state, servingImage, bestEffortImage).value;
}

function getCostRow(
  state: SchedulerState,
  servingImage: string,
  bestEffortImage: string,
): SlackRow {
  const id = `${servingImage}|${bestEffortImage}`;
  return state.slacks.get(id) ?? { id, value: INITIAL_COST, variance: INITIAL_COST_VARIANCE };
}

function setSlackRow(state: SchedulerState, id: string, value: number, variance: number): void {
  state.slacks.set({ id, value, variance });
}
