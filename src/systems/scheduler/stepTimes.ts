import type { RunRow, TaskRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { formatStepKey } from './taskPlacementPolicy.ts';

/** A run that is expected to take this many times as long as the shortest of its step is slow. */
const SLOW_FACTOR = 3;
/** Tasks of one step differ by a third; a run is judged only when it has taken longer than that. */
const JUDGED_FACTOR = 1.4;
const FULL_PERCENT = 100;

/** Notes how long a run took that went well. */
export function recordStepTime(state: SchedulerState, task: TaskRow, tookMs: number): void {
  if (task.step.count < 2 || task.step.fills || task.step.longRunning) return;
  const id = formatStepKey(task);
  const shortestMs = Math.min(tookMs, state.stepTimes.get(id)?.shortestMs ?? tookMs);
  state.stepTimes.set({ id, shortestMs });
}

/** Whether a run lags so far behind its step that a fresh start elsewhere is sooner done. */
export function isSlowRun(state: SchedulerState, task: TaskRow, run: RunRow, now: number): boolean {
  const shortestMs = state.stepTimes.get(formatStepKey(task))?.shortestMs;
  if (shortestMs === undefined || run.percent === 0) return false;
  const elapsedMs = now - run.placedAt;
  const expectedMs = (elapsedMs * FULL_PERCENT) / run.percent;
  return elapsedMs > JUDGED_FACTOR * shortestMs && expectedMs > SLOW_FACTOR * shortestMs;
}
