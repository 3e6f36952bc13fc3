import type { AgentRecord } from '../../model/scheduler/jobRecord.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';

/** Adds an agent or takes over its new address. */
export function addAgent(state: SchedulerState, id: string, record: AgentRecord): void {
  const known = state.agents.get(id);
  if (known?.address === record.address) {
    // It registers when it starts, so a link that is waiting to be tried again can open now.
    if (known.link === 'closed')
      state.agents.update(id, { retryAt: Number.NEGATIVE_INFINITY, failures: 0 });
    return;
  }
  if (known !== undefined && known.link !== 'closed')
    state.outbox.append({ kind: 'closeAgent', agentId: id });
  state.agents.set({
    id,
    address: record.address,
    zone: record.zone,
    link: 'closed',
    retryAt: Number.NEGATIVE_INFINITY,
    failures: 0,
    workerKey: known?.workerKey,
    grantedAt: Number.NEGATIVE_INFINITY,
    heardAt: Number.NEGATIVE_INFINITY,
  });
}
