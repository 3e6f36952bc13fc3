import { isFinalPhase } from '../../model/scheduler/jobRecord.ts';
import type { JobPhase } from '../../model/scheduler/jobRecord.ts';
import type { JobRow, RunRow, TaskRow } from '../../model/scheduler/rows.ts';
import { parseWorkerKey } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { listGangMembers } from './gangs.ts';
import { recordMove } from './moves.ts';
import { logEvent, recordDuration } from './storeCalls.ts';

/** Workers that a task avoids after failures; more would leave small pools without a candidate. */
const MAX_AVOIDED_WORKERS = 3;

/**
 * Records that the job's progress differs from the stored progress, and returns the number of the
 * change.
 */
export function recordJobChange(state: SchedulerState, jobId: string): number {
  const job = state.jobs.get(jobId);
  if (job === undefined) return 0;
  const change = job.change + 1;
  state.jobs.update(jobId, { change });
  state.dirtyJobs.add(jobId);
  state.jobsToAdvance.add(jobId);
  return change;
}

/** Sets the phase of a job; callers see it once the change is stored. */
export function setJobPhase(state: SchedulerState, job: JobRow, phase: JobPhase): void {
  const change = recordJobChange(state, job.id);
  const isFinal = isFinalPhase(phase);
  state.jobs.update(job.id, { phase, phaseChange: change });
  logEvent(state, 'info', 'job_phase', { job: job.id, from: job.phase, to: phase, change });
  if (!isFinal) return;
  for (const task of state.tasksByJob.list(job.id))
    if (task.phase === 'ready') state.tasks.update(task.id, { phase: 'waiting' });
  for (const run of state.runsByJob.list(job.id)) requestStop(state, run, `job ${phase}`);
}

/**
 * Records that a worker has started a task of the job. Until a worker has answered a start or has
 * listed the run or its end, the job is pending: starts are rejected, lost and executed late.
 */
export function recordJobStart(state: SchedulerState, jobId: string, now: number): void {
  const job = state.jobs.get(jobId);
  if (job?.phase !== 'pending') return;
  setJobPhase(state, job, 'running');
  recordDuration(state, 'job_first_start_duration_ms', now - job.acceptedAt);
}

/** Cancels a job at its owner unless the job is final. */
export function applyCancel(state: SchedulerState, jobId: string): void {
  const job = state.jobs.get(jobId);
  if (job === undefined || job.isCancelRequested) return;
  state.jobs.update(jobId, { isCancelRequested: true });
  if (job.phase === 'pending' || job.phase === 'running') setJobPhase(state, job, 'cancelled');
}

/** Requests the stop of a run, or releases it immediately if its start was never sent. */
export function requestStop(state: SchedulerState, run: RunRow, reason: string): void {
  if (run.stopReason !== undefined) return;
  if (run.phase === 'placed') {
    releaseRun(state, run, reason);
    return;
  }
  state.runs.update(run.id, { stopReason: reason });
}

/**
 * Removes a run that is certainly no longer on its worker, and marks its task as ready unless the
 * task is done or has another run.
 */
export function releaseRun(
  state: SchedulerState,
  run: RunRow,
  reason: string,
  outcome: {
    /**
     * Whether the worker listed the run's end; a release without a listed end is logged as a
     * warning.
     */
    readonly isListed?: boolean;
    readonly checkpoint?: string;
    readonly failed?: boolean;
    readonly now?: number;
  } = {},
): void {
  state.runs.remove(run.id);
  const task = state.tasks.get(run.taskId);
  if (task === undefined) return;
  recordJobChange(state, run.jobId);
  const checkpoint = outcome.checkpoint ?? run.checkpoint;
  if (outcome.failed === true)
    recordAvoidedWorker(state, task, parseWorkerKey(run.workerKey).workerId);
  const jobPhase = state.jobs.get(run.jobId)?.phase ?? 'cancelled';
  const isReady =
    task.phase === 'active' && !isFinalPhase(jobPhase) && state.runsByTask.count(task.id) === 0;
  state.tasks.update(task.id, {
    checkpoint: checkpoint === '' ? task.checkpoint : checkpoint,
    phase: isReady ? 'ready' : task.phase,
    readyAt: isReady && outcome.now !== undefined ? outcome.now : task.readyAt,
  });
  const fullReason = run.stopReason === undefined ? reason : `${run.stopReason} (${reason})`;
  recordMove(state, run, fullReason, outcome.now ?? run.placedAt, 'release');
  state.counters.add('runs_released', { reason });
  logEvent(state, outcome.isListed === true ? 'info' : 'warn', 'run_released', {
    task: run.taskId,
    run: run.run,
    worker: run.workerKey,
    phase: run.phase,
    reason,
    epoch: state.ownership.epoch,
  });
  if (run.step.gang) stopGang(state, run, reason);
}

/** Records a worker that the next runs of the task, or of all members of its gang, avoid. */
function recordAvoidedWorker(state: SchedulerState, task: TaskRow, workerId: string): void {
  if (task.avoidedWorkerIds.at(-1) === workerId) return;
  for (const { id, avoidedWorkerIds } of task.step.gang ? listGangMembers(state, task) : [task])
    state.tasks.update(id, {
      avoidedWorkerIds: [
        ...avoidedWorkerIds.filter((avoided) => avoided !== workerId),
        workerId,
      ].slice(-MAX_AVOIDED_WORKERS),
    });
}

/** Stops the other members of a gang, which cannot continue without the released one. */
function stopGang(state: SchedulerState, run: RunRow, reason: string): void {
  const task = state.tasks.get(run.taskId);
  if (task === undefined || task.phase === 'done') return;
  for (const other of state.runsByJob.list(run.jobId)) {
    const otherTask = state.tasks.get(other.taskId);
    if (otherTask?.stepIndex === task.stepIndex && otherTask.occurrence === task.occurrence)
      requestStop(state, other, `gang: ${reason}`);
  }
}
