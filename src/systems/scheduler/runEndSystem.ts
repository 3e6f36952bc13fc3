import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import { isFinalPhase } from '../../model/scheduler/jobRecord.ts';
import type { ReportedEnd, RunRow, TaskRow } from '../../model/scheduler/rows.ts';
import { formatRunId } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { applyAttemptLimit, recordFailedRun } from './attemptLimit.ts';
import { listGangMembers } from './gangs.ts';
import { recordJobChange, recordJobStart, releaseRun, requestStop } from './jobChanges.ts';
import { recordMove } from './moves.ts';
import { logEvent, recordDuration } from './storeCalls.ts';
import { clearBackoff, recordFailure } from './workerBackoff.ts';

/**
 * Applies each run end that workers list once. Reads the reported ends; writes `tasks`, `runs` and
 * `jobs`, and records which change must be stored before an end is acknowledged. Runs after the
 * reports and before placement.
 */
export class RunEndSystem extends System<SchedulerState> {
  override readonly name = 'end';

  private constructor() {
    super();
  }

  static create(): RunEndSystem {
    return new RunEndSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    for (const reportedEnd of state.reportedEnds.splice(0))
      this.applyEnd(state, reportedEnd, tick.now);
  }

  private applyEnd(state: SchedulerState, { workerKey, end }: ReportedEnd, now: number): void {
    const run = state.runs.get(formatRunId(end.task, end.run));
    const task = state.tasks.get(end.task);
    logEvent(state, 'info', 'run_ended', {
      task: end.task,
      run: end.run,
      how: end.how,
      worker: workerKey,
      known: run !== undefined,
    });
    state.counters.add('run_ends', { how: end.how });
    if (run !== undefined)
      recordDuration(state, 'run_duration_ms', now - run.placedAt, { how: end.how });
    const cause = { workerKey, taskId: end.task, run: end.run };
    if (end.how === 'done') clearBackoff(state, cause);
    else if (end.how === 'failed') recordFailure(state, cause, run, now);
    if (task !== undefined) {
      recordJobStart(state, task.jobId, now);
      if (end.how === 'done') this.applyDone(state, task, run, now);
      else if (run?.workerKey === workerKey) this.applyUnfinished(state, task, run, end, now);
    }
    this.recordPendingAcknowledgement(state, workerKey, end.number, task?.jobId ?? '');
  }

  private applyDone(
    state: SchedulerState,
    task: TaskRow,
    run: RunRow | undefined,
    now: number,
  ): void {
    if (run !== undefined) state.runs.remove(run.id);
    const otherRuns = state.runsByTask.list(task.id);
    // The end of an abandoned run counts only while no other run replaces it.
    if (run === undefined && otherRuns.length > 0 && !task.step.speculative) return;
    if (task.step.longRunning) {
      if (run !== undefined) {
        state.tasks.update(task.id, { phase: 'ready', readyAt: now });
        recordMove(state, run, 'it ended although its task is long-running', now, 'release');
      }
      recordJobChange(state, task.jobId);
      return;
    }
    for (const other of otherRuns) requestStop(state, other, 'another copy is done');
    this.markDone(state, task);
    if (!task.step.gang) return;
    // The end of one member completes all members of a gang.
    for (const member of listGangMembers(state, task)) this.markDone(state, member);
  }

  private markDone(state: SchedulerState, task: TaskRow): void {
    if (state.tasks.get(task.id)?.phase === 'done') return;
    state.tasks.update(task.id, { phase: 'done' });
    recordJobChange(state, task.jobId);
    const job = state.jobs.get(task.jobId);
    if (job !== undefined) state.jobs.update(job.id, { openTaskCount: job.openTaskCount - 1 });
  }

  private applyUnfinished(
    state: SchedulerState,
    task: TaskRow,
    run: RunRow,
    end: ReportedEnd['end'],
    now: number,
  ): void {
    const failed = end.how === 'failed';
    releaseRun(state, run, end.how, {
      isListed: true,
      checkpoint: end.checkpoint,
      failed,
      now,
    });
    const job = state.jobs.get(task.jobId);
    if (!failed || job === undefined || isFinalPhase(job.phase)) return;
    recordFailedRun(state, state.tasks.get(task.id) ?? task, run.run);
    applyAttemptLimit(state, state.tasks.get(task.id) ?? task);
  }

  private recordPendingAcknowledgement(
    state: SchedulerState,
    workerKey: string,
    number: number,
    jobId: string,
  ): void {
    const worker = state.workers.get(workerKey);
    if (worker === undefined) return;
    const change = state.jobs.get(jobId)?.change ?? 0;
    const pendingAcknowledgements = [...worker.pendingAcknowledgements, { number, jobId, change }];
    pendingAcknowledgements.sort((left, right) => left.number - right.number);
    state.workers.update(workerKey, { pendingAcknowledgements });
  }
}
