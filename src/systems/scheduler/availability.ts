import type { TaskRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';

/** A task that lasts is at work when its worker reports this. */
const AT_WORK_PERCENT = 100;

/**
 * Whether a task may be stopped without more tasks of its step being away than the step allows. Steps
 * that end, or that name no bound, allow it always.
 */
export function canEvict(state: SchedulerState, task: TaskRow): boolean {
  const { step } = task;
  if (!step.longRunning || step.maxUnavailable === 0) return true;
  let away = 0;
  for (const other of state.tasksByJob.list(task.jobId)) {
    if (other.stepIndex !== task.stepIndex || other.occurrence !== task.occurrence) continue;
    if (other.id !== task.id && !isAtWork(state, other.id)) away += 1;
  }
  return away < step.maxUnavailable;
}

function isAtWork(state: SchedulerState, taskId: string): boolean {
  return state.runsByTask
    .list(taskId)
    .some(
      (run) =>
        run.phase === 'running' && run.stopReason === undefined && run.percent >= AT_WORK_PERCENT,
    );
}
