import type { ServiceLoadRow } from '../../model/admission.ts';
import type { EntryState } from '../../model/entryState.ts';

const ROUND_TRIP_SMOOTHING = 0.02;
/** A burst of rejections belongs to one overload and lowers the limit once. */
const DECREASE_GAP_MS = 100;
const DECREASE_FACTOR = 0.9;

export function getServiceLoad(state: EntryState, service: string): ServiceLoadRow {
  const known = state.serviceLoads.get(service);
  if (known !== undefined) return known;
  const row: ServiceLoadRow = {
    id: service,
    roundTripMs: 0,
    virtualTime: 0,
    urgentInRow: 0,
    limit: 0,
    decreasedMs: Number.NEGATIVE_INFINITY,
  };
  state.serviceLoads.set(row);
  return row;
}

/** Learns the round trip and raises the concurrency limit by about one per limit's worth of answers. */
export function recordServiceSuccess(
  state: EntryState,
  service: string,
  durationMs: number,
): ServiceLoadRow {
  const load = getServiceLoad(state, service);
  const roundTripMs =
    load.roundTripMs === 0
      ? durationMs
      : load.roundTripMs + ROUND_TRIP_SMOOTHING * (durationMs - load.roundTripMs);
  const limit = load.limit === 0 ? 0 : load.limit + 1 / load.limit;
  const next = { ...load, roundTripMs, limit };
  state.serviceLoads.set(next);
  return next;
}

/** Lowers the concurrency limit after an agent had no room. */
export function recordServiceRejection(state: EntryState, service: string, nowMs: number): void {
  const load = getServiceLoad(state, service);
  if (nowMs - load.decreasedMs < DECREASE_GAP_MS) return;
  const inFlight = countInFlight(state, service);
  const limit = Math.max(1, (load.limit === 0 ? inFlight : load.limit) * DECREASE_FACTOR);
  state.serviceLoads.set({ ...load, limit, decreasedMs: nowMs });
}

/** Attempts of this entry in progress at all endpoints of the service. */
export function countInFlight(state: EntryState, service: string): number {
  let total = 0;
  for (const endpoint of state.endpointsByService.list(service)) total += endpoint.inFlight;
  return total;
}
