import type { JobRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { recordDuration } from './storeCalls.ts';

/** Upper bound of the steps of a job, so that one number identifies a step of an occurrence. */
const MAX_STEPS = 1_000;

/**
 * Tracks when steps become ready and records their duration once all their tasks are done. The
 * objective of a step is `stretch` times the submitter's estimate, plus the latency objective. Not
 * recorded are long-running steps, which have no end, and steps that an earlier owner started,
 * whose start is unknown.
 */
export function recordStepTimes(state: SchedulerState, job: JobRow, now: number): void {
  const open = new Set<number>();
  const ready = new Set<number>();
  const started = new Set<number>();
  for (const task of state.tasksByJob.list(job.id)) {
    if (task.step.longRunning) continue;
    const key = task.occurrence * MAX_STEPS + task.stepIndex;
    if (task.phase !== 'done') open.add(key);
    if (task.phase === 'ready') ready.add(key);
    if (task.lastRun > 0) started.add(key);
  }
  const readyTimes = state.stepTimes.get(job.id) ?? new Map<number, number>();
  for (const key of ready) if (!started.has(key) && !readyTimes.has(key)) readyTimes.set(key, now);
  for (const [key, readyAt] of readyTimes) {
    if (open.has(key)) continue;
    readyTimes.delete(key);
    recordStep(state, job, key % MAX_STEPS, now - readyAt);
  }
  if (readyTimes.size > 0) state.stepTimes.set(job.id, readyTimes);
  else state.stepTimes.delete(job.id);
}

function recordStep(state: SchedulerState, job: JobRow, stepIndex: number, tookMs: number): void {
  const { queue: name, spec } = job.job;
  const objectiveMs =
    (spec.steps[stepIndex]?.estimatedMs ?? 0) * (job.terms?.stretch ?? 1) +
    (job.terms?.latencyObjectiveMs ?? 0);
  recordDuration(state, 'step_duration_ms', tookMs, {
    queue: name,
    objective: tookMs <= objectiveMs ? 'met' : 'missed',
  });
}
