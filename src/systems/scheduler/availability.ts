import type { RunRow, TaskRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { LEASE_MARGIN_MS } from './ownershipTimes.ts';

/** Progress that the worker of an available long-running task reports. */
const AVAILABLE_PERCENT = 100;

/**
 * Whether a task may be stopped without more tasks of its step being unavailable than the step
 * allows. Always true for steps that end or set no limit.
 */
export function canEvict(state: SchedulerState, task: TaskRow): boolean {
  const { step } = task;
  if (!step.longRunning || step.maxUnavailable === 0) return true;
  let unavailable = 0;
  for (const other of state.tasksByJob.list(task.jobId)) {
    if (other.stepIndex !== task.stepIndex || other.occurrence !== task.occurrence) continue;
    if (other.id !== task.id && !isAvailable(state, other.id)) unavailable += 1;
  }
  return unavailable < step.maxUnavailable;
}

function isAvailable(state: SchedulerState, taskId: string): boolean {
  return state.runsByTask
    .list(taskId)
    .some(
      (run) =>
        run.phase === 'running' &&
        run.stopReason === undefined &&
        run.percent >= AVAILABLE_PERCENT &&
        !isPossiblyStopping(state, run),
    );
}

/**
 * Whether an earlier owner may have stopped the run, which its worker lists until it ends. The first
 * list read under this owner's fence ends the stops of earlier owners; a run that is still listed
 * after the longest duration of a stop has not been stopped.
 */
function isPossiblyStopping({ workers, bounds }: SchedulerState, run: RunRow): boolean {
  if (run.startAttempts > 0) return false;
  const lastReportAt = workers.get(run.workerKey)?.lastReportAt ?? Number.NEGATIVE_INFINITY;
  return lastReportAt < run.progressAt + bounds.stopMs + LEASE_MARGIN_MS;
}
