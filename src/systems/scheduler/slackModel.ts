import type { RunRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState, SlackRow } from '../../model/scheduler/schedulerState.ts';

/** Smoothing factor of the mean slack of an image; loads change within seconds. */
const MEAN_SMOOTHING = 0.1;
/** Cost of a best-effort image without samples beside a serving image. */
const INITIAL_COST = 0.2;
const INITIAL_COST_VARIANCE = 0.4 ** 2;
/** Costs change slowly; without this drift later samples would lose all weight. */
const COST_DRIFT_VARIANCE = 0.02 ** 2;
/** Slack of a serving image without samples. */
const INITIAL_BASE_SLACK = 2;
const INITIAL_LOAD_VARIANCE = 1;
/** The slack of a job changes by up to 0.3 between evaluations. */
const LOAD_DRIFT_VARIANCE = 0.3 ** 2;
/** Simultaneous samples of the tasks of one job differ by about a twentieth. */
const SAMPLE_VARIANCE = 0.15 ** 2;
/** Upper bound of a sample; the slack of an idle task says nothing about the cost of neighbors. */
const MAX_SLACK = 4;
const FULL_PACE_PERCENT = 100;

/** A serving task with the best-effort tasks of its worker. */
export interface SlackSample {
  readonly serving: RunRow;
  readonly bestEffort: readonly RunRow[];
}

/**
 * Updates the estimates of how much slack best-effort tasks cost serving tasks, per pair of images,
 * from the figures that workers report. The slack of a serving task is its latency target over its
 * tail latency. Latency grows without bound as a worker fills up, while its inverse falls about
 * linearly: slack = load - sum of cost x pace. The load of a job's callers changes alike for all
 * its tasks, so tasks without neighbors show how much of a change comes from the load.
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

/** Splits the error of the expected slack over the load and the costs by their variances. */
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
  // A sample at the upper bound does not contradict an expected slack above the bound.
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

/** Sums the paces above zero by image, in tasks at full pace. */
function collectPaces(bestEffort: readonly RunRow[]): Map<string, number> {
  const paces = new Map<string, number>();
  for (const { step, pacePercent } of bestEffort)
    if (pacePercent > 0)
      paces.set(step.image, (paces.get(step.image) ?? 0) + pacePercent / FULL_PACE_PERCENT);
  return paces;
}

/** Computes the latency target over the reported tail latency; undefined while none is reported. */
export function computeSlack(run: RunRow): number | undefined {
  if (run.load === 0 || run.step.targetMs === 0) return undefined;
  return Math.min(MAX_SLACK, run.step.targetMs / run.load);
}

/** Returns the expected slack of a serving image without best-effort tasks beside it. */
export function getBaseSlack(state: SchedulerState, servingImage: string): number {
  return state.slacks.get(`${servingImage}|`)?.value ?? INITIAL_BASE_SLACK;
}

/**
 * Returns the slack that one task of the best-effort image at full pace costs the serving image.
 */
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
