import { parseValue } from '../../base/common/parse.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import { jobIdSchema, STORE_KEYS, submittedJobSchema } from '../../model/scheduler/jobRecord.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { applyStoredAgent } from './agentTables.ts';
import { applyCancel } from './jobChanges.ts';
import { addJob } from './jobTables.ts';
import { listStoreReplies, logEvent, sendStoreCall } from './storeCalls.ts';
import { recordUnreadableEntry } from './unreadableEntries.ts';

/** Short, because only the timeout that follows it reveals a dead connection. */
const WATCH_WAIT_MS = 2_000;
const WATCH_TIMEOUT_MS = 2_500;
const LIST_TIMEOUT_MS = 2_000;
const RETRY_DELAY_MS = 200;

/** Value of a key in the store at a version; undefined for a deleted key. */
interface StoredValue {
  readonly value?: unknown;
  readonly version: number;
}

/**
 * Adds accepted jobs, cancellations and agents to the owner's tables from messages of the entries,
 * from a watch, and from a full list when the store no longer has the history of changes. Reads
 * store replies and entry messages; writes `jobs`, `tasks` and `agents`. Runs after the call
 * system.
 */
export class IntakeSystem extends System<SchedulerState> {
  override readonly name = 'intake';

  private constructor() {
    super();
  }

  static create(): IntakeSystem {
    return new IntakeSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'owner') return;
    for (const { message } of state.inbox.list('peerHint')) {
      if (message.kind === 'jobStored')
        this.addStoredJob(
          state,
          message.id,
          { value: message.job, version: message.version },
          tick.now,
          'hint',
        );
      else if (message.kind === 'cancelStored') applyCancel(state, message.id);
    }
    for (const message of state.entryMessages.splice(0)) {
      if (message.kind === 'jobStored')
        this.addStoredJob(
          state,
          message.id,
          { value: message.job, version: message.version },
          tick.now,
          'own',
        );
      else if (message.kind === 'cancelStored') applyCancel(state, message.id);
    }
    this.receiveWatch(state, tick.now);
    this.receiveList(state, tick.now);
    this.sendCalls(state, tick);
  }

  private receiveWatch(state: SchedulerState, now: number): void {
    const { intake } = state;
    for (const { reply } of listStoreReplies(state, 'intakeWatch')) {
      intake.isWatching = false;
      intake.watchAt = now;
      if (reply.kind === 'changes') {
        for (const change of reply.changes)
          this.applyStoredEntry(state, change.key, change, now, 'watch');
        intake.storeVersion = reply.version;
      } else if (reply.kind === 'historyLost') {
        intake.listAt = now;
        intake.watchAt = now + RETRY_DELAY_MS;
      } else {
        intake.watchAt = now + RETRY_DELAY_MS;
      }
    }
  }

  private receiveList(state: SchedulerState, now: number): void {
    const { intake, load } = state;
    for (const { callId, reply } of listStoreReplies(state, 'intakeList')) {
      if (callId !== load.callId) continue;
      load.callId = '';
      if (reply.kind !== 'page') {
        intake.listAt = now + RETRY_DELAY_MS;
        continue;
      }
      if (load.after === undefined) {
        load.version = reply.version;
        load.entries.clear();
      }
      for (const entry of reply.entries) load.entries.set(entry.key, entry);
      load.after = reply.hasMore ? reply.entries.at(-1)?.key : undefined;
      if (load.after !== undefined) {
        intake.listAt = now;
        continue;
      }
      this.applyList(state, now);
      intake.listAt = Number.POSITIVE_INFINITY;
      intake.storeVersion = Math.max(intake.storeVersion, load.version);
    }
  }

  /**
   * Applies jobs before cancellations: lists return cancellations first, and one of an unknown job
   * has no effect.
   */
  private applyList(state: SchedulerState, now: number): void {
    const { entries } = state.load;
    for (const isJob of [true, false])
      for (const [key, entry] of entries)
        if (key.startsWith(STORE_KEYS.jobPrefix) === isJob)
          this.applyStoredEntry(state, key, entry, now, 'list');
    entries.clear();
  }

  private sendCalls(state: SchedulerState, tick: Tick): void {
    const { intake, load } = state;
    if (!intake.isWatching && tick.now >= intake.watchAt) {
      intake.isWatching = true;
      sendStoreCall(
        state,
        'intakeWatch',
        {
          op: 'watchPrefix',
          prefix: STORE_KEYS.intake,
          newerThan: intake.storeVersion,
          waitMs: WATCH_WAIT_MS,
        },
        WATCH_TIMEOUT_MS,
      );
    }
    if (load.callId === '' && tick.now >= intake.listAt) {
      load.callId = sendStoreCall(
        state,
        'intakeList',
        {
          op: 'listPage',
          prefix: STORE_KEYS.intake,
          ...(load.after === undefined ? {} : { after: load.after }),
        },
        LIST_TIMEOUT_MS,
      );
    }
    tick.wakeAt(intake.isWatching ? intake.listAt : Math.min(intake.watchAt, intake.listAt));
  }

  private applyStoredEntry(
    state: SchedulerState,
    key: string,
    stored: StoredValue,
    now: number,
    source: string,
  ): void {
    const { value } = stored;
    if (value === undefined) return;
    // The prefixes of jobs, cancellations and agents have the same length.
    const id = key.slice(STORE_KEYS.jobPrefix.length);
    if (key.startsWith(STORE_KEYS.cancelPrefix)) {
      applyCancel(state, id);
    } else if (key.startsWith(STORE_KEYS.agentPrefix)) {
      applyStoredAgent(state, { key, value, version: stored.version }, now);
    } else if (key.startsWith(STORE_KEYS.jobPrefix) && !state.jobs.has(id)) {
      this.addStoredJob(state, id, stored, now, source);
    }
  }

  private addStoredJob(
    state: SchedulerState,
    id: string,
    { value, version }: StoredValue,
    now: number,
    source: string,
  ): void {
    if (state.jobs.has(id)) return;
    // A value that was read before the job was deleted may arrive after the deletion.
    if (version <= (state.deletedJobs.get(id)?.version ?? 0)) return;
    const job = parseValue(submittedJobSchema, value).toMaybe().extract();
    if (job === undefined || parseValue(jobIdSchema, id).isLeft()) {
      recordUnreadableEntry(
        state,
        'job_unreadable',
        { key: STORE_KEYS.job(id), version },
        { job: id },
      );
      return;
    }
    addJob(state, id, job, now);
    logEvent(state, 'info', 'job_known', { job: id, queue: job.queue, source });
  }
}
