import { parseValue } from '../../base/common/parse.ts';
import type { AgentRecord } from '../../model/scheduler/jobRecord.ts';
import { agentIdSchema, agentRecordSchema, STORE_KEYS } from '../../model/scheduler/jobRecord.ts';
import { formatWorkerKey } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import type { StoreEntry } from '../../model/store.ts';
import { releaseRun } from './jobChanges.ts';
import { recordUnreadableEntry } from './unreadableEntries.ts';

/**
 * Applies an agent's stored record: its address, and the termination of its worker if the record
 * contains one. An unreadable record is left aside; an agent known from an earlier version stays.
 */
export function applyStoredAgent(state: SchedulerState, entry: StoreEntry, now: number): void {
  const id = entry.key.slice(STORE_KEYS.agentPrefix.length);
  const record = parseValue(agentRecordSchema, entry.value).toMaybe().extract();
  if (record === undefined || parseValue(agentIdSchema, id).isLeft()) {
    recordUnreadableEntry(state, 'agent_unreadable', entry, { agent: id });
    return;
  }
  addAgent(state, id, record);
  if (record.goneWorker === undefined) return;
  const { id: workerId, bornMs } = record.goneWorker;
  releaseRunsOfTerminatedWorker(state, formatWorkerKey(id, workerId, bornMs), now);
}

/**
 * Releases the runs of a worker incarnation that announced its end and refuses connections since
 * then.
 */
export function releaseRunsOfTerminatedWorker(
  state: SchedulerState,
  workerKey: string,
  now: number,
): void {
  for (const run of [...state.runsByWorker.list(workerKey)])
    if (run.phase !== 'placed') releaseRun(state, run, 'worker left', { now });
}

function addAgent(state: SchedulerState, id: string, record: AgentRecord): void {
  const previous = state.agents.get(id);
  if (previous?.address === record.address) {
    // The agent registers when it starts, so a link in backoff can be opened now.
    if (previous.link === 'closed')
      state.agents.update(id, { retryAt: Number.NEGATIVE_INFINITY, failures: 0 });
    return;
  }
  if (previous !== undefined && previous.link !== 'closed')
    state.outbox.append({ kind: 'closeAgent', agentId: id });
  state.agents.set({
    id,
    address: record.address,
    zone: record.zone,
    link: 'closed',
    retryAt: Number.NEGATIVE_INFINITY,
    failures: 0,
    openedAt: Number.NEGATIVE_INFINITY,
    workerKey: previous?.workerKey,
    grantedAt: Number.NEGATIVE_INFINITY,
    earlierLeasesEndAt: previous?.earlierLeasesEndAt ?? Number.POSITIVE_INFINITY,
    unconfirmedWorker: previous?.unconfirmedWorker,
    reportedLeaseMs: previous?.reportedLeaseMs,
    lastMessageAt: Number.NEGATIVE_INFINITY,
  });
}
