import type { TaskRow } from '../../model/scheduler/rows.ts';
import { formatStepKey } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { setJobPhase } from './jobChanges.ts';

/**
 * Fails the job of a task that has used up the attempts of its queue, and returns whether it did.
 * The limit is unknown until the queue's configuration is loaded, so it is applied at each failure
 * and again before each placement.
 */
export function applyAttemptLimit(state: SchedulerState, task: TaskRow): boolean {
  const job = state.jobs.get(task.jobId);
  if (task.step.longRunning || job === undefined) return false;
  const attempts = state.operator.queues.get(job.job.queue)?.attempts;
  if (attempts === undefined || countFailures(state, task) < attempts) return false;
  setJobPhase(state, job, 'failed');
  return true;
}

/** Counts the failures of a task, or of all members of its gang, which share their attempts. */
function countFailures(state: SchedulerState, task: TaskRow): number {
  if (!task.step.gang) return task.failures;
  const stepKey = formatStepKey(task);
  let failures = 0;
  for (const member of state.tasksByJob.list(task.jobId))
    if (formatStepKey(member) === stepKey) failures += member.failures;
  return failures;
}
