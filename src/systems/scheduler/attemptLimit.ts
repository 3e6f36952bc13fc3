import type { TaskRow } from '../../model/scheduler/rows.ts';
import { formatStepKey } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { getFailureCarrier } from './gangs.ts';
import { setJobPhase } from './jobChanges.ts';
import { logEvent } from './storeCalls.ts';

/**
 * Counts a failed run against the attempts of its task. Several members of a gang may fail in one
 * run, which is one failed attempt of the gang.
 */
export function recordFailedRun(state: SchedulerState, task: TaskRow, run: number): void {
  const carrier = getFailureCarrier(state, task);
  const isGangRunCounted = task.step.gang && run <= carrier.lastFailedRun;
  // A copy of a completed task may fail before its stop arrives.
  if (task.phase === 'done' || isGangRunCounted) return;
  const failures = carrier.failures + 1;
  state.tasks.update(carrier.id, { failures, lastFailedRun: task.step.gang ? run : 0 });
  logEvent(state, 'info', 'attempt_failed', {
    task: task.id,
    run,
    failures,
    attempts: getAttempts(state, task) ?? 0,
  });
}

/**
 * Fails the job of a task that has used up the attempts of its queue, and returns whether it did.
 * The limit may change with the configuration, so it is applied at each failure and again before
 * each placement.
 */
export function applyAttemptLimit(state: SchedulerState, task: TaskRow): boolean {
  const job = state.jobs.get(task.jobId);
  if (job === undefined || !hasUsedAttempts(state, task)) return false;
  setJobPhase(state, job, 'failed');
  return true;
}

/** Explains which task or gang made a job fail; empty if the job failed under an earlier owner. */
export function explainFailedJob(state: SchedulerState, jobId: string): string[] {
  for (const task of state.tasksByJob.values(jobId)) {
    if (!hasUsedAttempts(state, task)) continue;
    const subject = task.step.gang ? `gang ${formatStepKey(task)}` : `task ${task.id}`;
    return [`${subject} has used its ${getAttempts(state, task) ?? 0} attempts`];
  }
  return [];
}

function hasUsedAttempts(state: SchedulerState, task: TaskRow): boolean {
  const attempts = getAttempts(state, task);
  if (task.phase === 'done' || task.step.longRunning || attempts === undefined) return false;
  return getFailureCarrier(state, task).failures >= attempts;
}

/**
 * Whether a task that has failed must not start again because its limit is unknown: its queue was
 * removed, and the job was accepted by a build that did not store the queue's parameters.
 */
export function isRetryBlocked(state: SchedulerState, task: TaskRow): boolean {
  if (task.step.longRunning || getAttempts(state, task) !== undefined) return false;
  return getFailureCarrier(state, task).failures > 0;
}

function getAttempts(state: SchedulerState, task: TaskRow): number | undefined {
  return state.jobs.get(task.jobId)?.terms?.attempts;
}
