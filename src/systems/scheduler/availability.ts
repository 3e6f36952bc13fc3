import type { TaskRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';

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
        run.phase === 'running' && run.stopReason === undefined && run.percent >= AVAILABLE_PERCENT,
    );
}
