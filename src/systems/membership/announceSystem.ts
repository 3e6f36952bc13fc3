import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { AgentState } from '../../model/agentState.ts';
import type { EndpointReport } from '../../model/endpoint.ts';
import type { ExchangeReply } from '../../model/exchange.ts';
import { buildWorkerReport } from '../worker/workerReport.ts';

const EXCHANGE_WAIT_MS = 1_000;
const EXCHANGE_TIMEOUT_MS = 3_000;
const MIN_EXCHANGE_GAP_MS = 100;
const RETRY_DELAY_MS = 500;

/**
 * Announces the endpoints beside the agent and learns the configuration.
 * Reads `endpointAnnounced`, `endpointLeaving`, `exchangeReply`. Writes `endpoints`, `links`, `config`.
 * Runs each turn; keeps one long poll open per link.
 */
export class AnnounceSystem extends System<AgentState> {
  override readonly name = 'announce';

  private constructor() {
    super();
  }

  static create(): AnnounceSystem {
    return new AnnounceSystem();
  }

  override run(state: AgentState, tick: Tick): void {
    for (const arrival of state.inbox.list('endpointAnnounced')) {
      const { announcement } = arrival;
      const id = `${state.self.id}/${announcement.name}`;
      const previous = state.endpoints.get(id);
      state.endpoints.set({
        ...announcement,
        id,
        draining: false,
        version: (previous?.version ?? 0) + 1,
        latencyMs: previous?.latencyMs ?? 0,
      });
    }
    for (const arrival of state.inbox.list('endpointLeaving')) {
      const endpoint = state.endpoints.get(`${state.self.id}/${arrival.name}`);
      if (endpoint !== undefined)
        state.endpoints.update(endpoint.id, { draining: true, version: endpoint.version + 1 });
    }
    for (const arrival of state.inbox.list('exchangeReply'))
      this.handleReply(state, tick, arrival.callId, arrival.reply);
    for (const address of state.self.seedAddresses) this.sendExchange(state, tick, address);
  }

  private handleReply(
    state: AgentState,
    tick: Tick,
    callId: string,
    reply: ExchangeReply | undefined,
  ): void {
    const link = [...state.links.values()].find((candidate) => candidate.pendingCallId === callId);
    if (link === undefined) return;
    const delayMs = reply === undefined ? RETRY_DELAY_MS : MIN_EXCHANGE_GAP_MS;
    state.links.update(link.id, {
      pendingCallId: undefined,
      nextSendMs: tick.now + delayMs,
      ...(reply === undefined ? {} : { lastReplyMs: tick.now }),
    });
    if (reply?.config !== undefined && reply.config.revision > (state.config?.revision ?? -1))
      state.config = reply.config;
    if (reply !== undefined && state.self.phase === 'starting') state.self.phase = 'serving';
  }

  private sendExchange(state: AgentState, tick: Tick, address: string): void {
    const link = state.links.get(address) ?? {
      id: address,
      seq: 0,
      pendingCallId: undefined,
      sentMs: 0,
      lastReplyMs: 0,
      nextSendMs: tick.now,
    };
    if (link.pendingCallId !== undefined) return;
    if (link.nextSendMs > tick.now) {
      tick.wakeAt(link.nextSendMs);
      return;
    }
    const seq = link.seq + 1;
    const callId = `exchange/${address}/${seq}`;
    state.links.set({ ...link, seq, pendingCallId: callId, sentMs: tick.now });
    const { self } = state;
    const worker = buildWorkerReport(state);
    state.outbox.append({
      kind: 'sendExchange',
      callId,
      address,
      timeoutMs: EXCHANGE_TIMEOUT_MS,
      request: {
        agentId: self.id,
        agentBootId: self.bootId,
        agentAddress: self.address,
        region: self.region,
        zone: self.zone,
        seq,
        waitMs: EXCHANGE_WAIT_MS,
        configRevision: state.config?.revision ?? -1,
        entriesDigest: 0,
        epoch: state.ownerEpoch,
        endpoints: this.listReports(state),
        ...(worker === undefined ? {} : { worker }),
      },
    });
  }

  private listReports(state: AgentState): EndpointReport[] {
    const { self } = state;
    return [...state.endpoints.values()].map((endpoint) => ({
      id: endpoint.id,
      service: endpoint.service,
      region: self.region,
      zone: self.zone,
      agentId: self.id,
      agentBootId: self.bootId,
      agentAddress: self.address,
      slots: endpoint.slots,
      connections: endpoint.connections,
      draining: endpoint.draining || self.phase === 'leaving',
      version: endpoint.version,
      load: { running: 0, waiting: 0, latencyMs: endpoint.latencyMs },
    }));
  }
}
