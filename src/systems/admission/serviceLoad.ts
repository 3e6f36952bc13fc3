import type { ServiceLoadRow } from '../../model/admission.ts';
import type { EntryState } from '../../model/entryState.ts';

const ROUND_TRIP_SMOOTHING_FACTOR = 0.02;

export function getServiceLoad(state: EntryState, service: string): ServiceLoadRow {
  const existing = state.serviceLoads.get(service);
  if (existing !== undefined) return existing;
  const row: ServiceLoadRow = {
    id: service,
    roundTripMs: 0,
    virtualTime: 0,
    urgentInRow: 0,
  };
  state.serviceLoads.set(row);
  return row;
}

/** Updates the smoothed round-trip time of the service after a successful attempt. */
export function recordServiceSuccess(
  state: EntryState,
  service: string,
  durationMs: number,
): ServiceLoadRow {
  const load = getServiceLoad(state, service);
  const roundTripMs =
    load.roundTripMs === 0
      ? durationMs
      : load.roundTripMs + ROUND_TRIP_SMOOTHING_FACTOR * (durationMs - load.roundTripMs);
  const next = { ...load, roundTripMs };
  state.serviceLoads.set(next);
  return next;
}
