import { parseValue } from '../../base/common/parse.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { JobProgress, OpenRun, TaskRecord } from '../../model/scheduler/jobRecord.ts';
import {
  isFinalPhase,
  jobProgressSchema,
  PROGRESS_FORMAT,
  STORE_KEYS,
} from '../../model/scheduler/jobRecord.ts';
import { confirmOwnerKey } from '../../model/scheduler/ownership.ts';
import type { JobRow, RunRow, TaskRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import type { StoreEntry } from '../../model/store.ts';
import { OWNER_KEY_CHECK_INTERVAL_MS } from './ownershipTimes.ts';
import { resetToFollower } from './resetToFollower.ts';
import { listStoreReplies, logEvent, recordDuration, sendStoreCall } from './storeCalls.ts';

/**
 * The store accepts 32 entries in a transaction: a comparison and a value for each job, and the
 * owner key.
 */
export const MAX_JOBS_PER_COMMIT = 15;
/** Exceeds the answers of a slow store, which take up to 0.4 s. */
const COMMIT_TIMEOUT_MS = 1_000;
const RETRY_DELAY_MS = 60;
/**
 * Age at which an unanswered commit counts as lost once the store has answered a later call.
 * Answers take 10 ms, those of a slow store 130 ms.
 */
const LOST_ANSWER_TIMEOUT_MS = 300;
/**
 * Tasks of a job whose avoided workers are stored, up to three ids of about 40 bytes each. The
 * progress of a job with the most tasks fills the store's limit of 1 MB without them.
 */
const MAX_TASKS_WITH_AVOIDED_WORKERS = 500;

/**
 * Writes the progress of changed jobs to the store on the condition that the owner key is
 * unchanged, one transaction at a time. Reads `jobs`, `tasks` and `runs`; writes the stored change
 * of `jobs` and `statuses`. Runs after placement, so that the ends of a step and the starts that
 * follow share a write.
 */
export class CommitSystem extends System<SchedulerState> {
  override readonly name = 'commit';

  private constructor() {
    super();
  }

  static create(): CommitSystem {
    return new CommitSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'owner') return;
    this.receiveCommits(state, tick);
    this.discardLostCommit(state, tick);
    const { commit } = state;
    if (commit.callId !== '' || state.dirtyJobs.size === 0) return;
    if (tick.now < commit.retryAt) {
      tick.wakeAt(commit.retryAt);
      return;
    }
    this.sendCommit(state, tick.now);
  }

  private receiveCommits(state: SchedulerState, tick: Tick): void {
    const { commit } = state;
    for (const { callId, reply, sentAt } of listStoreReplies(state, 'commit')) {
      if (callId !== commit.callId) continue;
      recordDuration(state, 'commit_duration_ms', tick.now - sentAt, { result: reply.kind });
      const { jobs } = commit;
      commit.callId = '';
      commit.jobs = [];
      for (const { jobId } of jobs) state.dirtyJobs.add(jobId);
      if (reply.kind === 'written') {
        confirmOwnerKey(state.ownership, sentAt);
        state.ownership.checkAt = sentAt + OWNER_KEY_CHECK_INTERVAL_MS;
        for (const { jobId, change } of jobs)
          this.confirmChange(state, jobId, change, reply.version);
      } else if (reply.kind === 'mismatch') {
        this.resolveMismatch(state, reply.entries, tick.now);
      } else {
        commit.retryAt = tick.now + RETRY_DELAY_MS;
        state.counters.add('commit_failures', { kind: reply.kind });
      }
    }
  }

  /**
   * Stops waiting for a commit whose answer is lost, which is as safe as a timeout: if the commit
   * took effect, its repetition fails with a mismatch, which confirms the commit.
   */
  private discardLostCommit(state: SchedulerState, tick: Tick): void {
    const { commit } = state;
    if (commit.callId === '') return;
    for (const { callId, reply, sentAt } of state.inbox.list('storeReply')) {
      const isAnswer = reply.kind !== 'refused' && reply.kind !== 'unavailable';
      if (isAnswer && callId !== commit.callId && sentAt > commit.sentAt)
        commit.presumedLostAt = Math.min(
          commit.presumedLostAt,
          commit.sentAt + LOST_ANSWER_TIMEOUT_MS,
        );
    }
    if (tick.now < commit.presumedLostAt) {
      tick.wakeAt(commit.presumedLostAt);
      return;
    }
    logEvent(state, 'warn', 'commit_unanswered', { call: commit.callId, jobs: commit.jobs.length });
    state.counters.add('commit_failures', { kind: 'overtaken' });
    for (const { jobId } of commit.jobs) state.dirtyJobs.add(jobId);
    commit.callId = '';
    commit.jobs = [];
  }

  private confirmChange(
    state: SchedulerState,
    jobId: string,
    change: number,
    storeVersion: number,
  ): void {
    const job = state.jobs.get(jobId);
    if (job === undefined) return;
    const isPhaseStored = change >= job.phaseChange;
    const visiblePhase = isPhaseStored ? job.phase : job.visiblePhase;
    state.jobs.update(jobId, { storedChange: change, storeVersion, visiblePhase });
    if (change === job.change) state.dirtyJobs.delete(jobId);
    if (visiblePhase === job.visiblePhase) return;
    state.statuses.set({ id: jobId, queue: job.job.queue, phase: visiblePhase });
    state.changedStatuses.add(jobId);
  }

  /**
   * Handles the two causes of a mismatch: ownership is lost, or an earlier write without an answer
   * took effect.
   */
  private resolveMismatch(
    state: SchedulerState,
    entries: readonly StoreEntry[],
    now: number,
  ): void {
    const { ownership } = state;
    const owner = entries.find(({ key }) => key === STORE_KEYS.owner);
    if (owner?.version !== ownership.keyVersion) {
      resetToFollower(state, 'another owner or none is in the store', now);
      return;
    }
    for (const entry of entries) {
      if (entry.key === STORE_KEYS.owner) continue;
      const jobId = entry.key.slice(STORE_KEYS.progressPrefix.length);
      const job = state.jobs.get(jobId);
      if (job === undefined || job.storeVersion === entry.version) continue;
      const progress = parseValue(jobProgressSchema, entry.value).toMaybe().extract();
      if (progress?.epoch !== ownership.epoch) {
        resetToFollower(state, `job ${jobId} was changed by another owner`, now);
        return;
      }
      logEvent(state, 'info', 'commit_settled', { job: jobId, change: progress.change });
      this.confirmChange(state, jobId, progress.change, entry.version);
    }
  }

  private sendCommit(state: SchedulerState, now: number): void {
    const { commit, ownership } = state;
    const jobs: JobRow[] = [];
    for (const jobId of state.dirtyJobs) {
      state.dirtyJobs.delete(jobId);
      const job = state.jobs.get(jobId);
      if (job !== undefined) jobs.push(this.markEnded(state, job, now));
      if (jobs.length === MAX_JOBS_PER_COMMIT) break;
    }
    if (jobs.length === 0) return;
    commit.jobs = jobs.map((job) => ({
      jobId: job.id,
      change: job.change,
      storeVersion: job.storeVersion,
    }));
    commit.sentAt = now;
    commit.presumedLostAt = Number.POSITIVE_INFINITY;
    commit.callId = sendStoreCall(
      state,
      'commit',
      {
        op: 'transact',
        expected: [
          { key: STORE_KEYS.owner, version: ownership.keyVersion },
          ...jobs.map((job) => ({ key: STORE_KEYS.progress(job.id), version: job.storeVersion })),
        ],
        puts: jobs.map((job) => ({
          key: STORE_KEYS.progress(job.id),
          value: buildProgress(state, job, now),
        })),
        deletes: [],
      },
      COMMIT_TIMEOUT_MS,
    );
  }

  private markEnded(state: SchedulerState, job: JobRow, now: number): JobRow {
    if (!isFinalPhase(job.phase) || job.endedAtWallMs !== undefined) return job;
    const endedAtWallMs = Math.round(now + state.wallOffsetMs);
    return state.jobs.update(job.id, { endedAtWallMs }) ?? job;
  }
}

/**
 * Finds the checkpoint of a task's most advanced open run. Its worker may be lost together with the
 * owner that its reports reached.
 */
function findCheckpoint(task: TaskRow, runs: readonly RunRow[]): string {
  let mostAdvanced: RunRow | undefined;
  for (const run of runs)
    if (run.checkpoint !== '' && run.percent >= (mostAdvanced?.percent ?? 0)) mostAdvanced = run;
  return mostAdvanced?.checkpoint ?? task.checkpoint;
}

/**
 * Builds the stored progress of a job. For a final job it lists only the runs that may still be on
 * a worker.
 */
export function buildProgress(state: SchedulerState, job: JobRow, now: number): JobProgress {
  const tasks: Record<string, TaskRecord> = {};
  const isFinal = isFinalPhase(job.phase);
  let tasksWithAvoidedWorkers = 0;
  for (const task of state.tasksByJob.values(job.id)) {
    if (task.lastRun === 0) continue;
    const runs = state.runsByTask.list(task.id);
    const openRuns = runs.map((run) => buildOpenRun(run, now));
    if (isFinal && openRuns.length === 0) continue;
    const hasAvoidedWorkers =
      task.phase !== 'done' &&
      task.avoidedWorkerIds.length > 0 &&
      tasksWithAvoidedWorkers < MAX_TASKS_WITH_AVOIDED_WORKERS;
    if (hasAvoidedWorkers) tasksWithAvoidedWorkers += 1;
    const checkpoint = findCheckpoint(task, runs);
    tasks[task.id.slice(job.id.length + 1)] = {
      lastRun: task.lastRun,
      ...(task.failures === 0 ? {} : { failures: task.failures }),
      ...(task.lastFailedRun === 0 ? {} : { failedRun: task.lastFailedRun }),
      ...(task.phase === 'done' ? { done: true } : {}),
      ...(checkpoint === '' ? {} : { checkpoint }),
      ...(hasAvoidedWorkers ? { avoided: [...task.avoidedWorkerIds] } : {}),
      ...(openRuns.length === 0 ? {} : { open: openRuns }),
    };
  }
  return {
    format: PROGRESS_FORMAT,
    phase: job.phase,
    ...(job.terms === undefined || job.terms === job.job.terms ? {} : { terms: job.terms }),
    epoch: state.ownership.epoch,
    change: job.change,
    ...(job.endedAtWallMs === undefined ? {} : { endedAtMs: job.endedAtWallMs }),
    tasks,
  };
}

function buildOpenRun({ run, workerKey, longLeaseEndsAt }: RunRow, now: number): OpenRun {
  const leaseMs = Math.ceil(longLeaseEndsAt - now);
  return { run, worker: workerKey, ...(leaseMs > 0 ? { leaseMs } : {}) };
}
