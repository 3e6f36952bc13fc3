import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EndpointReport } from '../../model/endpoint.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { HeldExchangeRow } from '../../model/heldExchange.ts';
import type { ExchangeRequest } from '../../model/exchange.ts';
import { findWorkerShard } from '../shardOwnership/shards.ts';
import { ENDPOINT_REMOVE_AFTER_MS } from './endpointHealth.ts';
import { mergeEndpoint, removeEndpoint } from './endpointMerge.ts';

/** Upper bound of the long poll that an agent can request. */
const MAX_LONG_POLL_MS = 5_000;
const SWEEP_PERIOD_MS = 500;
const SWEEP_ID = 'exchange.sweep';

/**
 * Answers the exchanges of agents and maintains the endpoint table.
 * Reads `exchange`, the configuration, `entries`, `duties`, `ownerAnswers`. Writes `endpoints`,
 * `homeAgents`, `heldExchanges`. Runs each tick, after the configuration systems.
 */
export class ExchangeSystem extends System<EntryState> {
  override readonly name = 'exchange';

  private constructor() {
    super();
  }

  static create(): ExchangeSystem {
    return new ExchangeSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    for (const arrival of state.inbox.list('exchange'))
      this.receiveExchange(state, tick, arrival.callId, arrival.request);
    for (const due of state.dueAnswers.list('due')) {
      const held = state.heldExchanges.get(due.id);
      if (held !== undefined) this.answer(state, held);
    }
    this.answerDueExchanges(state, tick);
    this.removeUnconfirmed(state, tick);
  }

  /**
   * Answers held exchanges that have an update or have reached their deadline. Scans the table only
   * when the configuration or the entry list has changed or the earliest deadline has passed.
   */
  private answerDueExchanges(state: EntryState, tick: Tick): void {
    const { exchangeScan: scan, registration } = state;
    const { revision } = state.configuration.current;
    const isUnchanged =
      scan.revision === revision && scan.entriesDigest === registration.entriesDigest;
    if (!isUnchanged || scan.nextAnswerDeadlineMs <= tick.now) {
      scan.revision = revision;
      scan.entriesDigest = registration.entriesDigest;
      scan.nextAnswerDeadlineMs = Number.POSITIVE_INFINITY;
      for (const held of state.heldExchanges.values()) {
        if (this.hasUpdate(state, held) || held.answerDeadlineMs <= tick.now)
          this.answer(state, held);
        else scan.nextAnswerDeadlineMs = Math.min(scan.nextAnswerDeadlineMs, held.answerDeadlineMs);
      }
    }
    tick.wakeAt(scan.nextAnswerDeadlineMs);
  }

  private hasUpdate(state: EntryState, held: HeldExchangeRow): boolean {
    const { entriesDigest: digest } = state.registration;
    const isOlder = held.configRevision < state.configuration.current.revision;
    return isOlder || (digest !== 0 && held.entriesDigest !== digest);
  }

  /**
   * Removes endpoints and agents without a recent confirmation. Runs every 500 ms instead of each
   * tick because it visits every endpoint.
   */
  private removeUnconfirmed(state: EntryState, tick: Tick): void {
    const last = state.calls.get(SWEEP_ID)?.sentMs;
    if (last !== undefined && tick.now - last < SWEEP_PERIOD_MS) {
      if (state.endpoints.size > 0) tick.wakeAt(last + SWEEP_PERIOD_MS);
      return;
    }
    state.calls.set({
      id: SWEEP_ID,
      system: this.name,
      purpose: 'period',
      subject: '',
      sentMs: tick.now,
    });
    if (state.endpoints.size > 0) tick.wakeAt(tick.now + SWEEP_PERIOD_MS);
    for (const endpoint of state.endpoints.list()) {
      if (tick.now - endpoint.confirmedMs >= ENDPOINT_REMOVE_AFTER_MS)
        removeEndpoint(state, endpoint.id, 'silent');
    }
    for (const agent of state.homeAgents.list()) {
      if (tick.now - agent.lastExchangeMs >= ENDPOINT_REMOVE_AFTER_MS)
        state.homeAgents.remove(agent.id);
    }
  }

  private receiveExchange(
    state: EntryState,
    tick: Tick,
    callId: string,
    request: ExchangeRequest,
  ): void {
    state.counters.add('exchanges');
    // An agent that sends a newer exchange no longer waits for the older answer.
    for (const older of state.heldExchangesByAgent.list(request.agentId)) {
      if (older.seq < request.seq) this.answer(state, older);
    }
    if (request.endpoints !== undefined && this.isNewest(state, request)) {
      state.homeAgents.set({
        id: request.agentId,
        bootId: request.agentBootId,
        seq: request.seq,
        lastExchangeMs: tick.now,
      });
      this.mergeEndpoints(state, tick, request.agentId, request.endpoints);
    }
    const held: HeldExchangeRow = {
      id: callId,
      agentId: request.agentId,
      region: request.region,
      zone: request.zone,
      answerDeadlineMs: tick.now + Math.min(request.waitMs, MAX_LONG_POLL_MS),
      configRevision: request.configRevision,
      entriesDigest: request.entriesDigest,
      seq: request.seq,
      workerId: request.workerId,
      worker: request.worker,
    };
    state.heldExchanges.set(held);
    if (this.hasUpdate(state, held) || held.answerDeadlineMs <= tick.now) this.answer(state, held);
    const { exchangeScan } = state;
    exchangeScan.nextAnswerDeadlineMs = Math.min(
      exchangeScan.nextAnswerDeadlineMs,
      held.answerDeadlineMs,
    );
  }

  /**
   * Returns whether the exchange is newer than the last one; an older one is answered but not
   * applied.
   */
  private isNewest(state: EntryState, request: ExchangeRequest): boolean {
    const agent = state.homeAgents.get(request.agentId);
    if (agent?.bootId !== request.agentBootId || request.seq > agent.seq) return true;
    state.counters.add('stale_exchanges');
    return false;
  }

  private mergeEndpoints(
    state: EntryState,
    tick: Tick,
    agentId: string,
    reports: readonly EndpointReport[],
  ): void {
    const reported = new Set(reports.map((report) => report.id));
    for (const endpoint of state.endpointsByAgent.list(agentId)) {
      if (!reported.has(endpoint.id)) removeEndpoint(state, endpoint.id, 'left');
    }
    for (const report of reports) mergeEndpoint(state, report, tick.now);
  }

  private findOwnerAddress(state: EntryState, held: HeldExchangeRow): string | undefined {
    const { workerId, region, zone } = held;
    if (workerId === undefined) return undefined;
    const shard = findWorkerShard(state.configuration.current, workerId, region, zone);
    return shard === undefined ? undefined : state.duties.get(shard)?.ownerAddress;
  }

  private answer(state: EntryState, held: HeldExchangeRow): void {
    const { entriesDigest: digest } = state.registration;
    state.heldExchanges.remove(held.id);
    const { revision, zonesOut } = state.configuration.current;
    const isNewer = revision > held.configRevision;
    const owner = state.ownerAnswers.remove(held.id)?.owner;
    const ownerAddress = this.findOwnerAddress(state, held);
    const entries = [...state.entries.values()].map(({ id, region, zone, address }) => ({
      id,
      region,
      zone,
      address,
    }));
    state.outbox.append({
      kind: 'answerExchange',
      callId: held.id,
      reply: {
        seq: held.seq,
        ...(isNewer ? { config: { revision, zonesOut } } : {}),
        ...(digest === 0 || digest === held.entriesDigest ? {} : { entries }),
        ...(ownerAddress === undefined ? {} : { ownerAddress }),
        ...(owner === undefined ? {} : { owner }),
      },
    });
  }
}
