import type { EntryState } from '../../model/entryState.ts';
import type { EndpointRow } from '../../model/endpoint.ts';
import { getServiceLoad } from '../admission/serviceLoad.ts';
import { getEndpointHealth } from './endpointHealth.ts';

/**
 * Time over which the weight of a load signal decays to 0, because other entries continue to send.
 */
const LOAD_SIGNAL_DECAY_MS = 1_000;
/** Time without confirmation after which an endpoint is suspect and used last. */
const SUSPECT_UNCONFIRMED_MS = 4_000;
/**
 * Time without a reply, in average round trips of the service, after which an endpoint is suspect
 * before its attempts time out.
 */
const SUSPECT_SILENCE_ROUND_TRIPS = 4;
const MIN_SUSPECT_SILENCE_MS = 100;

/** Routing input: an endpoint with its estimated load in the current tick. */
export interface EndpointView {
  row: EndpointRow;
  /** Estimated number of attempts at the endpoint, of this entry and of other entries. */
  outstanding: number;
  readonly isSuspect: boolean;
}

/** Lists the endpoints of a service that are not draining and whose zone is in service. */
export function collectEndpointViews(
  state: EntryState,
  service: string,
  nowMs: number,
): EndpointView[] {
  const { zonesOut } = state.configuration.current;
  const maxSilenceMs = Math.max(
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
      nowMs - silentSinceMs > maxSilenceMs;
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
