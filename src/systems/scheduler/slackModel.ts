import type { RunRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState, SlackRow } from '../../model/scheduler/schedulerState.ts';

/** Step of the estimate; samples are rough and loads swing within seconds. */
const LEARNING_RATE = 0.1;
/** Cost of a filling image that has not been seen beside a serving image. */
const UNKNOWN_COST = 0.2;
/** Slack of a serving image that has not been seen alone. */
const UNKNOWN_BASE = 2;
/** An idle task's slack says nothing about how it bears neighbours. */
const MAX_SLACK = 4;
const FULL_PERCENT = 100;

/**
 * How much filling tasks cost serving tasks, learnt per pair of images from the figures that workers
 * report. The slack of a serving task is its latency target over its tail latency. Latency grows
 * without bound as a worker fills up, its inverse falls about evenly: slack = base - sum of cost x pace.
 */
export function learnSlack(
  state: SchedulerState,
  serving: RunRow,
  filling: readonly RunRow[],
): void {
  const sample = computeSlack(serving);
  if (sample === undefined) return;
  const { image } = serving.step;
  let estimate = getBaseSlack(state, image);
  let norm = 1;
  for (const run of filling) {
    const pace = run.pacePercent / FULL_PERCENT;
    estimate -= getPairCost(state, image, run.step.image) * pace;
    norm += pace ** 2;
  }
  const step = (LEARNING_RATE * (sample - estimate)) / norm;
  setRow(state, image, '', getBaseSlack(state, image) + step);
  for (const run of filling) {
    const cost = getPairCost(state, image, run.step.image);
    const pace = run.pacePercent / FULL_PERCENT;
    setRow(state, image, run.step.image, Math.max(0, cost - step * pace));
  }
}

/** Latency target over the reported tail latency; undefined while none is reported. */
export function computeSlack(run: RunRow): number | undefined {
  if (run.load === 0 || run.step.targetMs === 0) return undefined;
  return Math.min(MAX_SLACK, run.step.targetMs / run.load);
}

/** Expected slack of a serving image alone. */
export function getBaseSlack(state: SchedulerState, servingImage: string): number {
  return state.slacks.get(`${servingImage}|`)?.value ?? UNKNOWN_BASE;
}

/** What one task of the filling image takes from the slack of a serving one at full pace. */
export function getPairCost(
  state: SchedulerState,
  servingImage: string,
  fillingImage: string,
): number {
  return state.slacks.get(`${servingImage}|${fillingImage}`)?.value ?? UNKNOWN_COST;
}

function setRow(
  state: SchedulerState,
  servingImage: string,
  fillingImage: string,
  value: number,
): void {
  const row: SlackRow = { id: `${servingImage}|${fillingImage}`, value };
  state.slacks.set(row);
}
