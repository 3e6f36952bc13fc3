import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { AgentRow, WorkerRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { canGrantLeases } from './earlierGrants.ts';
import { computeLeaseDuration, MAX_REPORT_AGE_MS, RUN_LEASE_MS } from './ownershipTimes.ts';
import { logEvent } from './storeCalls.ts';

const INITIAL_RETRY_DELAY_MS = 250;
/** Upper bound of the backoff for an unreachable agent. */
const MAX_RETRY_DELAY_MS = 2_000;
const GRANT_INTERVAL_MS = 700;
/**
 * Most links that are being opened at one time. Records of instances that are gone take the whole
 * handshake timeout each, and must not use up the file descriptors of a small entry.
 */
const MAX_OPENING_LINKS = 256;
/** Agents report at least every 1 s; a link without messages for this time is reopened. */
const LINK_SILENCE_TIMEOUT_MS = 2_500;

/**
 * Maintains the owner's link to every agent and grants run leases. Reads links and `workers`;
 * writes `agents` and the lease ends of `workers`. Runs after starts and stops are sent.
 */
export class AgentLinkSystem extends System<SchedulerState> {
  override readonly name = 'agentLink';

  private constructor() {
    super();
  }

  static create(): AgentLinkSystem {
    return new AgentLinkSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'owner') return;
    for (const { agentId, isOpen } of state.inbox.list('agentLink')) {
      this.receiveLink(state, agentId, isOpen, tick.now);
      // Commands follow in the next tick, after the first message on the link.
      if (isOpen) tick.wakeAt(tick.now + 1);
    }
    const agents = state.agents.list();
    let openingCount = agents.filter(({ link }) => link === 'opening').length;
    for (const agent of agents) {
      if (agent.link === 'open') this.updateLink(state, agent, tick);
      else if (agent.link === 'closed' && openingCount < MAX_OPENING_LINKS)
        openingCount += this.openLink(state, agent, tick) ? 1 : 0;
    }
  }

  private receiveLink(state: SchedulerState, agentId: string, isOpen: boolean, now: number): void {
    const agent = state.agents.get(agentId);
    if (agent === undefined) return;
    // Only the first failure is logged, not each failed attempt to reopen the link.
    if (isOpen) logEvent(state, 'info', 'agent_linked', { agent: agentId, tries: agent.failures });
    else if (agent.link === 'open' || agent.failures === 0)
      logEvent(state, 'warn', 'agent_unlinked', { agent: agentId, link: agent.link });
    if (isOpen) {
      state.agents.update(agentId, {
        link: 'open',
        openedAt: now,
        lastMessageAt: now,
      });
      const worker = state.workers.get(agent.workerKey ?? '');
      state.outbox.append({
        kind: 'orderAgent',
        agentId,
        command: {
          kind: 'hello',
          epoch: state.ownership.epoch,
          agent: agentId,
          longestLeaseMs: state.bounds.holdMaxMs,
          ...(worker === undefined ? {} : { worker: worker.identity }),
        },
      });
      return;
    }
    const delayMs = Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** agent.failures);
    state.agents.update(agentId, {
      link: 'closed',
      retryAt: now + delayMs,
      failures: agent.failures + 1,
    });
  }

  /** Opens the link to an agent unless its backoff lasts. */
  private openLink(state: SchedulerState, agent: AgentRow, tick: Tick): boolean {
    if (tick.now < agent.retryAt) {
      tick.wakeAt(agent.retryAt);
      return false;
    }
    state.agents.update(agent.id, { link: 'opening' });
    state.outbox.append({ kind: 'openAgent', agentId: agent.id, address: agent.address });
    return true;
  }

  private updateLink(state: SchedulerState, agent: AgentRow, tick: Tick): void {
    if (tick.now - agent.lastMessageAt > LINK_SILENCE_TIMEOUT_MS) {
      logEvent(state, 'warn', 'agent_unlinked', { agent: agent.id, link: 'silent' });
      state.outbox.append({ kind: 'closeAgent', agentId: agent.id });
      state.agents.update(agent.id, { link: 'closed', retryAt: tick.now });
      tick.wakeAt(tick.now);
      return;
    }
    const worker = state.workers.get(agent.workerKey ?? '');
    const isDue = tick.now >= agent.grantedAt + GRANT_INTERVAL_MS;
    if (worker !== undefined && this.canGrant(state, worker, tick.now)) {
      const acknowledgedEnd = findLastStoredEnd(state, worker);
      if (isDue || acknowledgedEnd > worker.acknowledgedEnd)
        this.sendGrant(state, agent, worker, acknowledgedEnd, tick);
    } else if (isDue) {
      state.agents.update(agent.id, { grantedAt: tick.now });
      const command = { kind: 'heartbeat' as const };
      state.outbox.append({ kind: 'orderAgent', agentId: agent.id, command });
    }
    tick.wakeAt(
      Math.max(
        tick.now + 1,
        (state.agents.get(agent.id)?.grantedAt ?? tick.now) + GRANT_INTERVAL_MS,
      ),
    );
  }

  private canGrant(state: SchedulerState, worker: WorkerRow, now: number): boolean {
    const isFresh = now - worker.lastReportAt < MAX_REPORT_AGE_MS;
    return isFresh && worker.hasFencedReport && canGrantLeases(state, now);
  }

  private sendGrant(
    state: SchedulerState,
    agent: AgentRow,
    worker: WorkerRow,
    acknowledgedEnd: number,
    tick: Tick,
  ): void {
    state.agents.update(agent.id, { grantedAt: tick.now });
    const leaseMs = getRunLeaseMs(state);
    state.workers.update(worker.id, {
      acknowledgedEnd,
      pendingAcknowledgements: worker.pendingAcknowledgements.filter(
        (end) => end.number > acknowledgedEnd,
      ),
      leaseEndsAt: Math.max(
        worker.leaseEndsAt,
        worker.lastReportAt + computeLeaseDuration(leaseMs),
      ),
    });
    state.outbox.append({
      kind: 'orderAgent',
      agentId: agent.id,
      command: {
        kind: 'grant',
        bornMs: worker.identity.bornMs,
        leaseUntilMs: Math.floor(worker.clockMs + leaseMs),
        lastSeen: acknowledgedEnd,
      },
    });
  }
}

/** Length of the run leases that the owner grants, counted from the worker's clock reading. */
export function getRunLeaseMs(state: SchedulerState): number {
  return Math.min(RUN_LEASE_MS, state.bounds.holdMaxMs);
}

/** Highest number up to which the job changes caused by all ends are stored. */
function findLastStoredEnd(state: SchedulerState, worker: WorkerRow): number {
  let { acknowledgedEnd } = worker;
  for (const end of worker.pendingAcknowledgements) {
    const job = state.jobs.get(end.jobId);
    if (job !== undefined && job.storedChange < end.change) break;
    acknowledgedEnd = Math.max(acknowledgedEnd, end.number);
  }
  return acknowledgedEnd;
}
