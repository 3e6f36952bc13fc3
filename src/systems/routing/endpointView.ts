import type { EntryState } from '../../model/entryState.ts';
import type { EndpointRow } from '../../model/endpoint.ts';
import { getServiceLoad } from '../admission/serviceLoad.ts';
import { getEndpointHealth } from './endpointHealth.ts';

/** Load signals lose weight over this time, because other entries keep choosing. */
const LOAD_SIGNAL_DECAY_MS = 1_000;
/** An endpoint that its agent has not confirmed for this long is used last. */
const SUSPECT_UNCONFIRMED_MS = 4_000;
/** No answer for this many usual round trips makes an endpoint suspect before its attempts time out. */
const SUSPECT_SILENCE_ROUND_TRIPS = 4;
const MIN_SUSPECT_SILENCE_MS = 100;

/** An endpoint as a routing policy sees it in one turn. */
export interface EndpointView {
  row: EndpointRow;
  /** Estimated attempts there: own ones, and those of other entries. */
  outstanding: number;
  readonly isSuspect: boolean;
}

/** Endpoints of a service that may take attempts at all: in service and not leaving. */
export function collectEndpointViews(
  state: EntryState,
  service: string,
  nowMs: number,
): EndpointView[] {
  const { zonesOut } = state.configuration.current;
  const silentMs = Math.max(
    MIN_SUSPECT_SILENCE_MS,
    SUSPECT_SILENCE_ROUND_TRIPS * getServiceLoad(state, service).roundTripMs,
  );
  const views: EndpointView[] = [];
  for (const row of state.endpointsByService.list(service)) {
    if (row.draining || zonesOut.includes(row.zone)) continue;
    const { silentSinceMs } = getEndpointHealth(state, row.id);
    const isSilent =
      row.roundTripMs > 0 &&
      row.inFlight > 0 &&
      silentSinceMs > 0 &&
      nowMs - silentSinceMs > silentMs;
    const isSuspect = isSilent || nowMs - row.confirmedMs >= SUSPECT_UNCONFIRMED_MS;
    views.push({ row, outstanding: estimateOutstanding(state, row, nowMs), isSuspect });
  }
  return views;
}

function estimateOutstanding(state: EntryState, row: EndpointRow, nowMs: number): number {
  const health = getEndpointHealth(state, row.id);
  const ageMs = nowMs - health.loadMs;
  if (ageMs < LOAD_SIGNAL_DECAY_MS)
    return row.inFlight + health.othersLoad * (1 - ageMs / LOAD_SIGNAL_DECAY_MS);
  return Math.max(row.inFlight, row.load.running + row.load.waiting);
}
