import { createFailure } from '../../base/common/errors.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EndpointRow } from '../../model/endpoint.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { RequestRow } from '../../model/request.ts';
import type { RoutingPolicy } from '../routing/routingPolicy.ts';
import { closeWithFailure } from './refuse.ts';

/**
 * Sends queued requests to endpoints.
 * Reads `requests`, `endpoints`, the configuration. Writes `requests`, `attempts`, `endpoints`.
 * Runs each turn, after intake and replies.
 */
export class DispatchSystem extends System<EntryState> {
  override readonly name = 'dispatch';

  private constructor(private readonly routing: RoutingPolicy) {
    super();
  }

  static create(routing: RoutingPolicy): DispatchSystem {
    return new DispatchSystem(routing);
  }

  override run(state: EntryState, tick: Tick): void {
    for (const request of state.requests.list()) {
      if (request.phase === 'queued') this.dispatch(state, tick, request);
    }
  }

  private dispatch(state: EntryState, tick: Tick, request: RequestRow): void {
    const candidates = this.listCandidates(state, request);
    const endpoint =
      candidates.length === 0
        ? undefined
        : this.routing.choose({ candidates, zone: state.self.info.zone, random: tick.random });
    if (endpoint === undefined) {
      closeWithFailure(
        state,
        request.id,
        createFailure('no_endpoint', `no endpoint of service ${request.service} is available`),
      );
      return;
    }
    this.send(state, tick, request, endpoint);
  }

  private listCandidates(state: EntryState, request: RequestRow): EndpointRow[] {
    const zonesOut = state.configuration.current.zonesOut;
    return [...state.endpoints.values()].filter(
      (endpoint) =>
        endpoint.service === request.service &&
        !endpoint.draining &&
        !zonesOut.includes(endpoint.zone),
    );
  }

  private send(state: EntryState, tick: Tick, request: RequestRow, endpoint: EndpointRow): void {
    const attemptId = `${request.id}.${request.attempts + 1}`;
    const route = state.configuration.current.routes.find(
      (candidate) => candidate.name === request.route,
    );
    state.attempts.set({
      id: attemptId,
      requestId: request.id,
      endpointId: endpoint.id,
      agentBootId: endpoint.agentBootId,
      phase: 'sent',
      sentMs: tick.now,
      sends: 1,
    });
    state.requests.update(request.id, {
      phase: 'dispatched',
      attempts: request.attempts + 1,
      mayHaveRun: true,
    });
    state.endpoints.update(endpoint.id, { inFlight: endpoint.inFlight + 1 });
    state.outbox.append({
      kind: 'sendAttempt',
      address: endpoint.agentAddress,
      message: {
        attemptId,
        requestId: request.id,
        endpointId: endpoint.id,
        agentBootId: endpoint.agentBootId,
        remainingMs: request.deadlineMs - tick.now,
        method: request.request.method,
        path: request.request.path,
        headers: request.request.headers,
        body: request.request.body,
        maxResponseBytes: route?.maxResponseBytes ?? 0,
      },
    });
  }
}
