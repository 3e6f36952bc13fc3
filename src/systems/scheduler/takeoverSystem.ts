import { parseValue } from '../../base/common/parse.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import {
  jobIdSchema,
  jobProgressSchema,
  STORE_KEYS,
  submittedJobSchema,
} from '../../model/scheduler/jobRecord.ts';
import type { JobProgress } from '../../model/scheduler/jobRecord.ts';
import type { JobSpec } from '../../model/scheduler/jobSpec.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import type { StoreEntry } from '../../model/store.ts';
import { applyStoredAgent } from './agentTables.ts';
import { applyCancel } from './jobChanges.ts';
import type { StoredProgress } from './jobTables.ts';
import { addJob } from './jobTables.ts';
import { updateProgressFormat } from './progressFormat.ts';
import { listStoreReplies, logEvent, sendStoreCall } from './storeCalls.ts';
import { recordUnreadableEntry } from './unreadableEntries.ts';

/** A page of a slow store takes up to 0.4 s plus the transfer of its bytes. */
const PAGE_TIMEOUT_MS = 1_000;

const EMPTY_PROGRESS: JobProgress = { phase: 'pending', epoch: 0, change: 0, tasks: {} };

/**
 * Loads the tables of a new owner from the store: jobs, cancellations, agents and job progress.
 * Reads store replies; writes `jobs`, `tasks`, `runs` and `agents`. Runs after the ownership
 * system.
 */
export class TakeoverSystem extends System<SchedulerState> {
  override readonly name = 'takeover';

  private constructor() {
    super();
  }

  static create(): TakeoverSystem {
    return new TakeoverSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'loading') return;
    this.receivePages(state);
    const { load } = state;
    if (load.prefixes.length === 0) this.buildTables(state, tick);
    else if (load.callId === '') this.sendPage(state);
  }

  private receivePages(state: SchedulerState): void {
    const { load } = state;
    for (const { callId, reply } of listStoreReplies(state, 'load')) {
      if (callId !== load.callId) continue;
      load.callId = '';
      if (reply.kind !== 'page') continue;
      for (const entry of reply.entries) load.entries.set(entry.key, entry);
      const isFirstIntakePage = load.prefixes[0] === STORE_KEYS.intake && load.after === undefined;
      // The watch starts from the version of the first page and repeats every later change.
      if (isFirstIntakePage) load.version = reply.version;
      load.after = reply.hasMore ? reply.entries.at(-1)?.key : undefined;
      if (load.after === undefined) load.prefixes = load.prefixes.slice(1);
    }
  }

  private sendPage(state: SchedulerState): void {
    const { load } = state;
    const [prefix = ''] = load.prefixes;
    load.callId = sendStoreCall(
      state,
      'load',
      {
        op: 'listPage',
        prefix,
        ...(load.after === undefined ? {} : { after: load.after }),
      },
      PAGE_TIMEOUT_MS,
    );
  }

  private buildTables(state: SchedulerState, tick: Tick): void {
    const { load, ownership } = state;
    ownership.role = 'owner';
    ownership.loadedAt = tick.now;
    for (const entry of this.listEntries(state, STORE_KEYS.jobPrefix))
      this.loadJob(state, entry, tick.now);
    for (const { key } of this.listEntries(state, STORE_KEYS.cancelPrefix))
      applyCancel(state, key.slice(STORE_KEYS.cancelPrefix.length));
    for (const entry of this.listEntries(state, STORE_KEYS.agentPrefix))
      applyStoredAgent(state, entry, tick.now);
    load.entries.clear();
    state.intake.storeVersion = load.version;
    state.intake.watchAt = tick.now;
    state.intake.isWatching = false;
    for (const peer of state.peers) state.newPeers.add(peer);
    logEvent(state, 'info', 'owner_ready', {
      epoch: ownership.epoch,
      jobs: state.jobs.size,
      openRuns: state.runs.size,
      agents: state.agents.size,
      tookMs: Math.round(tick.now - ownership.confirmedAt),
    });
  }

  private listEntries(state: SchedulerState, prefix: string): StoreEntry[] {
    return [...state.load.entries]
      .filter(([key]) => key.startsWith(prefix))
      .map(([key, { value, version }]) => ({ key, value, version }));
  }

  private loadJob(state: SchedulerState, entry: StoreEntry, now: number): void {
    const id = entry.key.slice(STORE_KEYS.jobPrefix.length);
    const job = parseValue(submittedJobSchema, entry.value).toMaybe().extract();
    if (job === undefined || parseValue(jobIdSchema, id).isLeft()) {
      recordUnreadableEntry(state, 'job_unreadable', entry, { job: id });
      return;
    }
    addJob(state, id, job, now, this.findProgress(state, id, job.spec));
  }

  private findProgress(
    state: SchedulerState,
    id: string,
    spec: JobSpec,
  ): StoredProgress | undefined {
    const entry = state.load.entries.get(STORE_KEYS.progress(id));
    if (entry === undefined) return undefined;
    const progress = parseValue(jobProgressSchema, entry.value).toMaybe().extract();
    if (progress === undefined) {
      const { version } = entry;
      const key = STORE_KEYS.progress(id);
      recordUnreadableEntry(state, 'progress_unreadable', { key, version }, { job: id });
      // The next write must expect this version to replace the value; otherwise no write of the job
      // succeeds.
      return { version: entry.version, progress: EMPTY_PROGRESS };
    }
    return { version: entry.version, progress: updateProgressFormat(progress, spec) };
  }
}
