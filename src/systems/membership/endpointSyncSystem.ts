import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EndpointReport, EndpointRow } from '../../model/endpoint.ts';
import { endpointReportSchema } from '../../model/endpoint.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { EntryInfo } from '../../model/exchange.ts';
import type { PeerSyncRow, SyncedEndpoint } from '../../model/membership.ts';
import type { PeerCall } from '../../model/peer.ts';
import { ENDPOINT_SUSPECT_AFTER_MS } from './endpointHealth.ts';
import { mergeEndpoint, removeEndpoint } from './endpointMerge.ts';

const DELTA_SYNC_PERIOD_MS = 500;
const FULL_SYNC_PERIOD_MS = 5_000;
const CALL_TIMEOUT_MS = 1_000;
/**
 * Time after which an unchanged endpoint is confirmed again. With only the full list every 5 s,
 * peers would mark every endpoint as suspect after 4 s. When a home entry crashes, the age of the
 * peers' last confirmation (at most 2 s) plus the agent's exchange timeout (1.3 s) stays below 4 s.
 */
const RECONFIRM_PERIOD_MS = 1_000;

type SyncCall = Extract<PeerCall, { kind: 'sync' }>;

/**
 * Sends endpoint changes of the agents whose home entry is this entry to the other entries.
 * Reads `peerCall`, `peerReply`, `entries`, `homeAgents`, `endpoints`. Writes `peerSyncs`,
 * `endpoints`. Runs each tick, after the exchange system; sends each peer at most one sync per 500
 * ms.
 */
export class EndpointSyncSystem extends System<EntryState> {
  override readonly name = 'endpointSync';

  private constructor() {
    super();
  }

  static create(): EndpointSyncSystem {
    return new EndpointSyncSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    for (const { callId, call } of state.inbox.list('peerCall')) {
      if (call.kind === 'sync') this.receiveSync(state, tick, callId, call);
    }
    for (const { callId, reply } of state.inbox.list('peerReply')) {
      const peer = [...state.peerSyncs.values()].find((row) => row.pendingCallId === callId);
      if (peer === undefined) continue;
      if (reply?.kind === 'synced') {
        this.recordAcknowledgement(state, peer);
        state.entries.update(peer.id, { lastHeardMs: tick.now });
      } else {
        state.counters.add('sync_failures');
        state.peerSyncs.update(peer.id, { pendingCallId: undefined });
      }
    }
    for (const peer of state.peerSyncs.list()) {
      if (!state.entries.has(peer.id)) state.peerSyncs.remove(peer.id);
    }
    for (const entry of state.entries.values()) {
      if (entry.id !== state.self.info.id) this.sendChanges(state, tick, entry);
    }
  }

  /** Lists the endpoints of the agents whose home entry is this entry. */
  private listHomeEndpoints(state: EntryState, tick: Tick): EndpointRow[] {
    return [...state.endpoints.values()].filter((endpoint) =>
      this.isHomeOf(state, tick, endpoint.agentId),
    );
  }

  private isHomeOf(state: EntryState, tick: Tick, agentId: string): boolean {
    const agent = state.homeAgents.get(agentId);
    return agent !== undefined && tick.now - agent.lastExchangeMs < ENDPOINT_SUSPECT_AFTER_MS;
  }

  private sendChanges(state: EntryState, tick: Tick, entry: EntryInfo): void {
    const peer = this.getPeerSync(state, entry.id);
    if (peer.pendingCallId !== undefined) return;
    if (tick.now - peer.lastCheckMs < DELTA_SYNC_PERIOD_MS) {
      tick.wakeAt(peer.lastCheckMs + DELTA_SYNC_PERIOD_MS);
      return;
    }
    const homeEndpoints = this.listHomeEndpoints(state, tick);
    const full = tick.now - peer.lastFullSyncMs >= FULL_SYNC_PERIOD_MS;
    const changed = full
      ? homeEndpoints
      : homeEndpoints.filter((endpoint) => this.isChanged(peer, endpoint, tick));
    const removed = this.listRemoved(state, tick, peer);
    if (!full && changed.length === 0 && removed.length === 0) {
      state.peerSyncs.set({ ...peer, lastCheckMs: tick.now });
      tick.wakeAt(tick.now + DELTA_SYNC_PERIOD_MS);
      return;
    }
    this.sendSync(state, tick, peer, entry.address, { full, changed, removed });
  }

  private isChanged(peer: PeerSyncRow, endpoint: EndpointRow, tick: Tick): boolean {
    const acknowledged = peer.acknowledgedEndpoints.get(endpoint.id);
    return (
      acknowledged?.bootId !== endpoint.agentBootId ||
      acknowledged.version !== endpoint.version ||
      tick.now - acknowledged.sentMs >= RECONFIRM_PERIOD_MS
    );
  }

  /** Lists acknowledged endpoints that their agent no longer reports to this entry. */
  private listRemoved(state: EntryState, tick: Tick, peer: PeerSyncRow): string[] {
    return [...peer.acknowledgedEndpoints]
      .filter(
        ([id, acknowledged]) =>
          !state.endpoints.has(id) && this.isHomeOf(state, tick, acknowledged.agentId),
      )
      .map(([id]) => id);
  }

  private sendSync(
    state: EntryState,
    tick: Tick,
    peer: PeerSyncRow,
    address: string,
    changes: { full: boolean; changed: readonly EndpointRow[]; removed: string[] },
  ): void {
    const seq = peer.seq + 1;
    const callId = `${this.name}/${peer.id}/${seq}`;
    const pending = new Map<string, SyncedEndpoint>(
      changes.changed.map(({ id, agentId, agentBootId: bootId, version }) => [
        id,
        { agentId, bootId, version, sentMs: tick.now },
      ]),
    );
    state.peerSyncs.set({
      ...peer,
      seq,
      pendingCallId: callId,
      pendingEndpoints: pending,
      pendingRemovals: changes.removed,
      lastCheckMs: tick.now,
      lastFullSyncMs: changes.full ? tick.now : peer.lastFullSyncMs,
    });
    state.outbox.append({
      kind: 'callPeer',
      callId,
      address,
      timeoutMs: CALL_TIMEOUT_MS,
      call: {
        kind: 'sync',
        entryId: state.self.info.id,
        entryBootId: state.self.bootId,
        seq,
        full: changes.full,
        endpoints: changes.changed.map((endpoint) => ({
          report: this.buildReport(endpoint),
          ageMs: tick.now - endpoint.confirmedMs,
        })),
        removed: changes.removed,
        configRevision: state.configuration.current.revision,
      },
    });
  }

  /** Builds the agent's report from the row, without the fields that this entry adds. */
  private buildReport(endpoint: EndpointRow): EndpointReport {
    return endpointReportSchema.parse(endpoint);
  }

  private recordAcknowledgement(state: EntryState, peer: PeerSyncRow): void {
    const acknowledged = new Map([...peer.acknowledgedEndpoints, ...peer.pendingEndpoints]);
    for (const id of peer.pendingRemovals) {
      if (!peer.pendingEndpoints.has(id)) acknowledged.delete(id);
    }
    state.peerSyncs.update(peer.id, {
      acknowledgedEndpoints: acknowledged,
      pendingCallId: undefined,
    });
  }

  private receiveSync(state: EntryState, tick: Tick, callId: string, call: SyncCall): void {
    const peer = this.getPeerSync(state, call.entryId);
    const isStale = peer.receivedBootId === call.entryBootId && call.seq <= peer.receivedSeq;
    if (!isStale) {
      state.peerSyncs.set({
        ...peer,
        receivedBootId: call.entryBootId,
        receivedSeq: call.seq,
      });
      for (const { report, ageMs } of call.endpoints)
        mergeEndpoint(state, report, tick.now - ageMs);
      for (const id of call.removed) {
        const endpoint = state.endpoints.get(id);
        if (endpoint !== undefined && !this.isHomeOf(state, tick, endpoint.agentId))
          removeEndpoint(state, id, 'left');
      }
    }
    state.outbox.append({
      kind: 'answerPeer',
      callId,
      reply: {
        kind: 'synced',
        seq: call.seq,
        configRevision: state.configuration.current.revision,
      },
    });
  }

  private getPeerSync(state: EntryState, id: string): PeerSyncRow {
    return (
      state.peerSyncs.get(id) ?? {
        id,
        seq: 0,
        acknowledgedEndpoints: new Map<string, SyncedEndpoint>(),
        pendingCallId: undefined,
        pendingEndpoints: new Map<string, SyncedEndpoint>(),
        pendingRemovals: [],
        lastCheckMs: Number.NEGATIVE_INFINITY,
        lastFullSyncMs: Number.NEGATIVE_INFINITY,
        receivedBootId: '',
        receivedSeq: 0,
      }
    );
  }
}
