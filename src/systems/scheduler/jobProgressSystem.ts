import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import { isFinalPhase } from '../../model/scheduler/jobRecord.ts';
import type { JobRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { setJobPhase } from './jobChanges.ts';
import { addDueOccurrences, computeDueAt, countOccurrences, markReadyTasks } from './jobTables.ts';
import { recordStepTimes } from './stepTimes.ts';
import { recordDuration } from './storeCalls.ts';
import { estimateObjectiveMs } from './taskOrder.ts';

/**
 * Advances jobs: adds the tasks of due occurrences, marks tasks of steps with completed
 * predecessors as ready and completes jobs. Reads `tasks`; writes `jobs` and `tasks`. Runs after
 * the ends are applied and before placement.
 */
export class JobProgressSystem extends System<SchedulerState> {
  override readonly name = 'progress';

  private constructor() {
    super();
  }

  static create(): JobProgressSystem {
    return new JobProgressSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'owner') return;
    for (const job of state.jobs.values()) {
      if (isFinalPhase(job.phase) || job.addedOccurrences >= countOccurrences(job.job)) continue;
      addDueOccurrences(state, job.id, tick.now);
      const dueAt = computeDueAt(state, job.job, state.jobs.get(job.id)?.addedOccurrences ?? 0);
      tick.wakeAt(Math.max(tick.now + 1, dueAt));
    }
    for (const jobId of [...state.jobsToAdvance]) {
      state.jobsToAdvance.delete(jobId);
      this.advanceJob(state, jobId, tick.now);
    }
  }

  private advanceJob(state: SchedulerState, jobId: string, now: number): void {
    const job = state.jobs.get(jobId);
    if (job === undefined || isFinalPhase(job.phase)) return;
    markReadyTasks(state, job, now);
    recordStepTimes(state, job, now);
    if (job.openTaskCount === 0 && job.addedOccurrences >= countOccurrences(job.job)) {
      setJobPhase(state, job, 'completed');
      this.recordCompletion(state, job, now);
    }
  }

  /**
   * Records the duration of a job. Scheduled jobs are excluded: their objective counts from each
   * due time.
   */
  private recordCompletion(state: SchedulerState, job: JobRow, now: number): void {
    if (job.job.spec.occurrences > 0) return;
    const { queue: name } = job.job;
    const objectiveMs = estimateObjectiveMs(job);
    const tookMs = now - job.acceptedAt;
    const objective = tookMs <= objectiveMs ? 'met' : 'missed';
    recordDuration(state, 'job_duration_ms', tookMs, { queue: name, objective });
  }
}
