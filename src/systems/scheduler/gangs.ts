import type { TaskRow } from '../../model/scheduler/rows.ts';
import { formatStepKey, formatTaskId } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';

/** Lists the members of the gang that the task belongs to, in the order of their index. */
export function listGangMembers(state: SchedulerState, task: TaskRow): TaskRow[] {
  const stepKey = formatStepKey(task);
  return state.tasksByJob.list(task.jobId).filter((member) => formatStepKey(member) === stepKey);
}

/** Returns the task that carries the failed runs: the first member of a gang, or the task itself. */
export function getFailureCarrier(state: SchedulerState, task: TaskRow): TaskRow {
  if (!task.step.gang) return task;
  const { jobId, occurrence, stepIndex } = task;
  return state.tasks.get(formatTaskId(jobId, occurrence, stepIndex, 0)) ?? task;
}
