import type { JobProgress, SubmittedJob, TaskRecord } from '../../model/scheduler/jobRecord.ts';
import { isFinalPhase } from '../../model/scheduler/jobRecord.ts';
import type { JobRow, TaskRow } from '../../model/scheduler/rows.ts';
import { createRunRow, formatTaskId } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { updateJobTerms } from './queueTerms.ts';

/** Progress of a job as the store holds it, with its store version. */
export interface StoredProgress {
  readonly version: number;
  readonly progress: JobProgress;
}

/** Adds an accepted job to the tables, with its stored progress if there is any. */
export function addJob(
  state: SchedulerState,
  id: string,
  job: SubmittedJob,
  now: number,
  stored?: StoredProgress,
): JobRow {
  const phase = stored?.progress.phase ?? 'pending';
  const row: JobRow = {
    id,
    job,
    terms: stored?.progress.terms ?? job.terms,
    phase,
    isCancelRequested: false,
    change: stored === undefined ? 0 : 1,
    storedChange: stored === undefined ? 0 : 1,
    storeVersion: stored?.version ?? 0,
    phaseChange: 0,
    visiblePhase: phase,
    addedOccurrences: 0,
    openTaskCount: 0,
    acceptedAt: Math.min(now, job.acceptedAtMs - state.wallOffsetMs),
    endedAtWallMs: stored?.progress.endedAtMs,
  };
  state.jobs.set(row);
  state.statuses.set({ id, queue: job.queue, phase });
  state.changedStatuses.add(id);
  if (isFinalPhase(phase)) return row;
  updateJobTerms(state, row);
  if (row.terms?.advice !== undefined) state.operator.hasAdvice = true;
  addDueOccurrences(state, id, now, stored?.progress.tasks ?? {});
  state.jobsToAdvance.add(id);
  return state.jobs.get(id) ?? row;
}

/** Number of occurrences of a job; a job without a schedule has one. */
export function countOccurrences(job: SubmittedJob): number {
  return Math.max(1, job.spec.occurrences);
}

/**
 * Time at which an occurrence is due, on the owner's clock; a job without a schedule is due
 * immediately.
 */
export function computeDueAt(state: SchedulerState, job: SubmittedJob, occurrence: number): number {
  const { spec } = job;
  if (spec.occurrences === 0) return Number.NEGATIVE_INFINITY;
  return spec.startAtMs + occurrence * spec.intervalMs - state.wallOffsetMs;
}

/**
 * Adds the tasks of the occurrences that have become due, and of those for which an earlier owner
 * stored progress, because its wall clock may have been ahead.
 */
export function addDueOccurrences(
  state: SchedulerState,
  jobId: string,
  now: number,
  records: Readonly<Record<string, TaskRecord>> = {},
): void {
  const job = state.jobs.get(jobId);
  if (job === undefined) return;
  let { addedOccurrences, openTaskCount } = job;
  const lastRecorded = findLastRecorded(records);
  while (
    addedOccurrences < countOccurrences(job.job) &&
    (addedOccurrences <= lastRecorded || computeDueAt(state, job.job, addedOccurrences) <= now)
  ) {
    openTaskCount += addOccurrence(state, job, addedOccurrences, now, records);
    addedOccurrences += 1;
  }
  if (addedOccurrences === job.addedOccurrences) return;
  state.jobs.update(jobId, { addedOccurrences, openTaskCount });
  state.jobsToAdvance.add(jobId);
}

/** Latest occurrence in the task records; -1 without records. */
function findLastRecorded(records: Readonly<Record<string, TaskRecord>>): number {
  let last = -1;
  for (const key of Object.keys(records)) last = Math.max(last, Number.parseInt(key, 10));
  return last;
}

function addOccurrence(
  state: SchedulerState,
  job: JobRow,
  occurrence: number,
  now: number,
  records: Readonly<Record<string, TaskRecord>>,
): number {
  let openTaskCount = 0;
  for (const [stepIndex, step] of job.job.spec.steps.entries()) {
    for (let index = 0; index < step.count; index += 1) {
      const id = formatTaskId(job.id, occurrence, stepIndex, index);
      const record = records[`${occurrence}.${stepIndex}.${index}`];
      const isDone = record?.done === true;
      const openRuns = record?.open ?? [];
      const task: TaskRow = {
        id,
        jobId: job.id,
        occurrence,
        stepIndex,
        step,
        phase: isDone ? 'done' : openRuns.length > 0 ? 'active' : 'waiting',
        lastRun: record?.lastRun ?? 0,
        failures: record?.failures ?? 0,
        lastFailedRun: record?.failedRun ?? 0,
        checkpoint: record?.checkpoint ?? '',
        readyAt: now,
        avoidedWorkerIds: record?.avoided ?? [],
      };
      state.tasks.set(task);
      if (!isDone) openTaskCount += 1;
      // An earlier owner may have started these runs; the worker's lists or its lease decide.
      for (const { run, worker, leaseMs } of isDone ? [] : openRuns) {
        const longLeaseEndsAt = leaseMs === undefined ? undefined : now + leaseMs;
        state.runs.set(createRunRow(task, run, worker, 'unknown', 0, now, longLeaseEndsAt));
      }
    }
  }
  return openTaskCount;
}

/** Marks the tasks of a job whose earlier steps are done as ready. */
export function markReadyTasks(state: SchedulerState, job: JobRow, now: number): void {
  const tasks = state.tasksByJob.list(job.id);
  const openSteps = new Set<string>();
  for (const task of tasks)
    if (task.phase !== 'done') openSteps.add(`${task.occurrence}.${task.stepIndex}`);
  for (const task of tasks) {
    if (task.phase !== 'waiting') continue;
    if (task.step.after.some((step) => openSteps.has(`${task.occurrence}.${step}`))) continue;
    state.tasks.update(task.id, { phase: 'ready', readyAt: now });
  }
}
