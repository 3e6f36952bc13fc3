import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { AgentState, LocalAttemptRow, LocalEndpointRow } from '../../model/agentState.ts';
import type { EndpointAnnouncement, EndpointReport, LoadSignal } from '../../model/endpoint.ts';

/**
 * Maintains the endpoints on the agent's instance and announces their changes.
 * Reads `endpointAnnounced`, `endpointLeaving`, `stopRequested`. Writes `endpoints`,
 * `announcementVersion`, the phase. Runs each tick, before the exchanges.
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
    for (const { announcement } of state.inbox.list('endpointAnnounced')) {
      const id = `${state.self.id}/${announcement.name}`;
      const previous = state.endpoints.get(id);
      // Endpoints repeat their announcement periodically in case the agent was replaced.
      if (previous !== undefined && isSameAnnouncement(previous, announcement)) continue;
      state.endpoints.set({
        ...announcement,
        id,
        draining: false,
        version: (previous?.version ?? 0) + 1,
        latencyMs: previous?.latencyMs ?? 0,
      });
      this.recordEndpointChange(state, 'endpoint_announced', id);
    }
    for (const arrival of state.inbox.list('endpointLeaving')) {
      const endpoint = state.endpoints.get(`${state.self.id}/${arrival.name}`);
      if (endpoint === undefined || endpoint.draining) continue;
      state.endpoints.update(endpoint.id, { draining: true, version: endpoint.version + 1 });
      this.recordEndpointChange(state, 'endpoint_leaving', endpoint.id);
    }
    if (state.inbox.list('stopRequested').length > 0) this.startLeaving(state, tick);
  }

  private startLeaving(state: AgentState, tick: Tick): void {
    if (state.self.phase === 'leaving' || state.self.phase === 'stopped') return;
    state.self.phase = 'leaving';
    state.self.stopRequestedMs = tick.now;
    state.announcementVersion += 1;
    for (const endpoint of state.endpoints.list())
      state.endpoints.update(endpoint.id, { draining: true, version: endpoint.version + 1 });
    state.outbox.append({ kind: 'log', level: 'info', event: 'agent_leaving', fields: {} });
  }

  private recordEndpointChange(state: AgentState, event: string, endpoint: string): void {
    state.announcementVersion += 1;
    state.outbox.append({ kind: 'log', level: 'info', event, fields: { endpoint } });
  }
}

function isSameAnnouncement(row: LocalEndpointRow, announcement: EndpointAnnouncement): boolean {
  return (
    !row.draining &&
    row.service === announcement.service &&
    row.origin === announcement.origin &&
    row.slots === announcement.slots &&
    row.connections === announcement.connections
  );
}

function countLoads(attempts: Iterable<LocalAttemptRow>): Map<string, LoadSignal> {
  const loads = new Map<string, LoadSignal>();
  for (const { endpointId, phase } of attempts) {
    if (phase === 'done') continue;
    const load = loads.get(endpointId) ?? { running: 0, waiting: 0, latencyMs: 0 };
    loads.set(endpointId, { ...load, [phase]: load[phase] + 1 });
  }
  return loads;
}

/** Builds the endpoint reports that the agent sends to its home entry. */
export function buildEndpointReports(state: AgentState): EndpointReport[] {
  const { self } = state;
  const loads = countLoads(state.attempts.values());
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
    draining: endpoint.draining,
    version: endpoint.version,
    load: {
      running: loads.get(endpoint.id)?.running ?? 0,
      waiting: loads.get(endpoint.id)?.waiting ?? 0,
      latencyMs: Math.round(endpoint.latencyMs * 10) / 10,
    },
  }));
}
