import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EndpointReport } from '../../model/endpoint.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { ExchangeRequest } from '../../model/exchange.ts';

/** An endpoint whose agent has been silent for this long is removed. */
const ENDPOINT_REMOVE_MS = 10_000;

/**
 * Answers exchanges of agents and keeps the endpoint table.
 * Reads `exchange`, the configuration, `entries`, `ownerAnswers`. Writes `endpoints`, `heldExchanges`.
 * Runs each turn.
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
      this.receive(state, tick, arrival.callId, arrival.request);
    for (const held of state.heldExchanges.list()) {
      const hasNews = held.configRevision < state.configuration.current.revision;
      const isDue = state.ownerAnswers.get(held.id)?.isDue === true;
      if (hasNews || isDue || held.answerByMs <= tick.now) this.answer(state, held.id);
      else tick.wakeAt(held.answerByMs);
    }
    for (const endpoint of state.endpoints.list()) {
      if (tick.now - endpoint.confirmedMs >= ENDPOINT_REMOVE_MS)
        state.endpoints.remove(endpoint.id);
    }
  }

  private receive(state: EntryState, tick: Tick, callId: string, request: ExchangeRequest): void {
    if (request.endpoints !== undefined)
      this.mergeEndpoints(state, tick, request.agentId, request.endpoints);
    state.heldExchanges.set({
      id: callId,
      agentId: request.agentId,
      answerByMs: tick.now + request.waitMs,
      configRevision: request.configRevision,
      entriesDigest: request.entriesDigest,
      seq: request.seq,
      worker: request.worker,
    });
  }

  private mergeEndpoints(
    state: EntryState,
    tick: Tick,
    agentId: string,
    reports: readonly EndpointReport[],
  ): void {
    const reported = new Set(reports.map((report) => report.id));
    for (const endpoint of state.endpoints.list()) {
      if (endpoint.agentId === agentId && !reported.has(endpoint.id))
        state.endpoints.remove(endpoint.id);
    }
    for (const report of reports) {
      const previous = state.endpoints.get(report.id);
      state.endpoints.set({
        inFlight: previous?.inFlight ?? 0,
        roundTripMs: previous?.roundTripMs ?? 0,
        failuresInRow: previous?.failuresInRow ?? 0,
        ejectedUntilMs: previous?.ejectedUntilMs ?? 0,
        ...report,
        confirmedMs: tick.now,
      });
    }
  }

  private answer(state: EntryState, callId: string): void {
    const held = state.heldExchanges.remove(callId);
    if (held === undefined) return;
    const { revision, zonesOut } = state.configuration.current;
    const isNewer = revision > held.configRevision;
    const owner = state.ownerAnswers.remove(callId)?.owner;
    state.outbox.append({
      kind: 'answerExchange',
      callId,
      reply: {
        seq: held.seq,
        ...(isNewer ? { config: { revision, zonesOut } } : {}),
        ...(owner === undefined ? {} : { owner }),
      },
    });
  }
}
