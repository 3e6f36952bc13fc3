import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import { isFinalPhase, STORE_KEYS } from '../../model/scheduler/jobRecord.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { listStoreReplies, sendStoreCall } from './storeCalls.ts';

const SWEEP_INTERVAL_MS = 5_000;
/** Each job has three keys; a transaction accepts 32 entries, one of them the owner key. */
const MAX_JOBS_PER_SWEEP = 10;
const CALL_TIMEOUT_MS = 2_000;
/**
 * Lists and entry messages that were read before a deletion arrive within this time; each page of a
 * list takes up to 2 s.
 */
const DELETED_JOB_RETENTION_MS = 60_000;

/**
 * Removes final jobs: their tasks once none of their runs is open, and the rest when the time for
 * which their status must stay readable is over and the store has deleted them. Reads and writes
 * `jobs`, `tasks`, `advice`, `advisedSteps`, `moves`, `statuses`, `changedStatuses` and
 * `deletedJobs`. Runs after the status updates.
 */
export class RetentionSystem extends System<SchedulerState> {
  override readonly name = 'retention';

  private constructor() {
    super();
  }

  static create(): RetentionSystem {
    return new RetentionSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'owner') return;
    this.receiveDeletion(state, tick.now);
    if (tick.now < state.timers.retentionAt) return;
    state.timers.retentionAt = tick.now + SWEEP_INTERVAL_MS;
    tick.wakeAt(state.timers.retentionAt);
    for (const [id, { at }] of state.deletedJobs)
      if (tick.now - at > DELETED_JOB_RETENTION_MS) state.deletedJobs.delete(id);
    const expired: string[] = [];
    const wallMs = tick.now + state.wallOffsetMs;
    for (const job of state.jobs.list()) {
      if (!isFinalPhase(job.phase) || state.dirtyJobs.has(job.id)) continue;
      if (state.runsByJob.count(job.id) > 0) continue;
      for (const task of state.tasksByJob.list(job.id)) state.tasks.remove(task.id);
      state.stepTimes.delete(job.id);
      for (const row of state.adviceByJob.list(job.id)) state.advice.remove(row.id);
      for (const row of state.advisedStepsByJob.list(job.id)) state.advisedSteps.remove(row.id);
      const isExpired = wallMs - (job.endedAtWallMs ?? wallMs) > 2_000 * state.bounds.statusSeconds;
      if (isExpired && expired.length < MAX_JOBS_PER_SWEEP) expired.push(job.id);
    }
    if (expired.length > 0 && state.deletion.callId === '') this.requestDeletion(state, expired);
  }

  /**
   * Removes jobs only once the store has deleted them; otherwise they would be added again as new
   * ones.
   */
  private receiveDeletion(state: SchedulerState, now: number): void {
    const { deletion } = state;
    for (const { callId, reply } of listStoreReplies(state, 'forget')) {
      if (callId !== deletion.callId) continue;
      deletion.callId = '';
      if (reply.kind !== 'written') continue;
      for (const id of deletion.jobIds) {
        state.deletedJobs.set(id, { version: reply.version, at: now });
        state.jobs.remove(id);
        for (const move of state.movesByJob.list(id)) state.moves.remove(move.id);
        state.statuses.remove(id);
        state.changedStatuses.add(id);
      }
    }
  }

  private requestDeletion(state: SchedulerState, jobIds: readonly string[]): void {
    state.deletion.jobIds = jobIds;
    state.deletion.callId = sendStoreCall(
      state,
      'forget',
      {
        op: 'transact',
        expected: [{ key: STORE_KEYS.owner, version: state.ownership.keyVersion }],
        puts: [],
        deletes: jobIds.flatMap((id) => [
          STORE_KEYS.job(id),
          STORE_KEYS.cancel(id),
          STORE_KEYS.progress(id),
        ]),
      },
      CALL_TIMEOUT_MS,
    );
  }
}
