import type { EntryState } from '../../model/entryState.ts';
import type { EndpointHealthRow, EndpointRow, LoadSignal } from '../../model/endpoint.ts';
import type { AttemptReply, AttemptRow } from '../../model/request.ts';
import { getServiceLoad, recordServiceSuccess } from '../admission/serviceLoad.ts';

const EJECTION_FAILURE_COUNT = 5;
const INITIAL_EJECTION_MS = 2_000;
/** Limits how long a recovered endpoint remains unused. */
const MAX_EJECTION_MS = 15_000;
/**
 * Ejecting more than half of the endpoints would overload the others. So many unhealthy endpoints
 * indicate a fault of the whole service.
 */
const MAX_EJECTED_SHARE = 0.5;
const SLOW_ROUND_TRIP_FACTOR = 3;
const MIN_SLOW_SAMPLE_COUNT = 8;
const EJECTION_SILENCE_ROUND_TRIPS = 8;
const MIN_EJECTION_SILENCE_MS = 250;
const ROUND_TRIP_SMOOTHING_FACTOR = 0.2;
const LOAD_SMOOTHING_FACTOR = 0.3;
const MIN_STALE_ROW_COUNT = 16;
/** Successful responses after which earlier ejections no longer lengthen the next one. */
const STABLE_SAMPLE_COUNT = 100;

export function getEndpointHealth(state: EntryState, endpointId: string): EndpointHealthRow {
  return (
    state.endpointHealth.get(endpointId) ?? {
      id: endpointId,
      othersLoad: 0,
      loadMs: Number.NEGATIVE_INFINITY,
      silentSinceMs: 0,
      samples: 0,
      ejections: 0,
    }
  );
}

/** Removes the health of removed endpoints when such rows outnumber those of known endpoints. */
export function removeStaleEndpointHealth(state: EntryState): void {
  if (state.endpointHealth.size <= 2 * state.endpoints.size + MIN_STALE_ROW_COUNT) return;
  for (const { id } of state.endpointHealth.list())
    if (!state.endpoints.has(id)) state.endpointHealth.remove(id);
}

/** Records a sent attempt, so that missing replies are detected before the deadline. */
export function recordAttemptSent(state: EntryState, nowMs: number, endpointId: string): void {
  const endpoint = state.endpoints.update(endpointId, {
    inFlight: (state.endpoints.get(endpointId)?.inFlight ?? 0) + 1,
  });
  if (endpoint === undefined) return;
  const health = getEndpointHealth(state, endpointId);
  if (health.silentSinceMs === 0 || endpoint.inFlight === 1)
    state.endpointHealth.set({ ...health, silentSinceMs: nowMs });
}

/** Applies the outcome of an attempt to its endpoint; `inFlight` already excludes the attempt. */
export function recordAttemptReply(
  state: EntryState,
  nowMs: number,
  attempt: AttemptRow,
  reply: AttemptReply,
): void {
  const endpoint = state.endpoints.get(attempt.endpointId);
  if (endpoint === undefined) return;
  recordLoad(state, nowMs, endpoint, reply.load);
  const { outcome } = reply;
  if (outcome.kind === 'rejected' && outcome.failure.kind === 'endpoint_busy')
    recordBusyRejection(state, nowMs, endpoint);
  else if (outcome.kind === 'rejected' && outcome.failure.kind === 'endpoint_draining')
    state.endpoints.update(endpoint.id, { draining: true });
  else if (outcome.kind === 'response' && outcome.response.status < 500)
    recordAttemptSuccess(state, nowMs, endpoint, nowMs - attempt.sentMs);
  else recordAttemptFailure(state, nowMs, endpoint.id);
}

function recordLoad(
  state: EntryState,
  nowMs: number,
  endpoint: EndpointRow,
  load: LoadSignal | undefined,
): void {
  const health = getEndpointHealth(state, endpoint.id);
  const silentSinceMs = endpoint.inFlight > 0 ? nowMs : 0;
  if (load === undefined) {
    state.endpointHealth.set({ ...health, silentSinceMs });
    return;
  }
  const othersNow = Math.max(0, load.running + load.waiting - endpoint.inFlight);
  const othersLoad = health.othersLoad + LOAD_SMOOTHING_FACTOR * (othersNow - health.othersLoad);
  state.endpointHealth.set({ ...health, silentSinceMs, othersLoad, loadMs: nowMs });
}

/**
 * Updates the load after a busy rejection: all slots and the agent's queue of equal size are full.
 */
export function recordBusyRejection(state: EntryState, nowMs: number, endpoint: EndpointRow): void {
  const othersLoad = Math.max(0, 2 * endpoint.slots - endpoint.inFlight);
  state.endpointHealth.set({ ...getEndpointHealth(state, endpoint.id), othersLoad, loadMs: nowMs });
}

export function recordAttemptSuccess(
  state: EntryState,
  nowMs: number,
  endpoint: EndpointRow,
  durationMs: number,
): void {
  const service = recordServiceSuccess(state, endpoint.service, durationMs);
  // Ignores responses to attempts that were sent before the ejection.
  if (endpoint.ejectedUntilMs > nowMs) return;
  const isProbe = endpoint.ejectedUntilMs > 0;
  if (isProbe && durationMs > SLOW_ROUND_TRIP_FACTOR * service.roundTripMs) {
    startEjection(state, nowMs, endpoint, 'a probe was slow');
    return;
  }
  const health = getEndpointHealth(state, endpoint.id);
  const samples = isProbe ? 1 : health.samples + 1;
  const ejections = samples >= STABLE_SAMPLE_COUNT ? 0 : health.ejections;
  state.endpointHealth.set({ ...health, samples, ejections });
  const roundTripMs =
    isProbe || endpoint.roundTripMs === 0
      ? durationMs
      : endpoint.roundTripMs + ROUND_TRIP_SMOOTHING_FACTOR * (durationMs - endpoint.roundTripMs);
  state.endpoints.update(endpoint.id, { roundTripMs, failuresInRow: 0, ejectedUntilMs: 0 });
  const isSlow = roundTripMs > SLOW_ROUND_TRIP_FACTOR * service.roundTripMs;
  if (isSlow && samples >= MIN_SLOW_SAMPLE_COUNT)
    startEjection(state, nowMs, endpoint, 'responses are slow');
}

export function recordAttemptFailure(state: EntryState, nowMs: number, endpointId: string): void {
  const endpoint = state.endpoints.get(endpointId);
  if (endpoint === undefined) return;
  const failuresInRow = endpoint.failuresInRow + 1;
  state.endpoints.update(endpointId, { failuresInRow });
  const isProbe = endpoint.ejectedUntilMs > 0 && endpoint.ejectedUntilMs <= nowMs;
  if (isProbe) startEjection(state, nowMs, endpoint, 'a probe failed');
  else if (failuresInRow >= EJECTION_FAILURE_COUNT && endpoint.ejectedUntilMs === 0)
    startEjection(state, nowMs, endpoint, `${failuresInRow} consecutive attempts failed`);
}

/**
 * Ejects endpoints that have not replied for several round trips of the service, without waiting
 * for the deadlines of their attempts.
 */
export function checkSilentEndpoints(state: EntryState, nowMs: number, service: string): void {
  const { roundTripMs } = getServiceLoad(state, service);
  if (roundTripMs === 0) return;
  const maxSilenceMs = Math.max(
    MIN_EJECTION_SILENCE_MS,
    EJECTION_SILENCE_ROUND_TRIPS * roundTripMs,
  );
  for (const endpoint of state.endpointsByService.list(service)) {
    const health = getEndpointHealth(state, endpoint.id);
    const isSilent = health.silentSinceMs > 0 && nowMs - health.silentSinceMs >= maxSilenceMs;
    if (!isSilent || endpoint.inFlight === 0 || endpoint.ejectedUntilMs > nowMs) continue;
    state.endpointHealth.set({ ...health, silentSinceMs: nowMs });
    startEjection(state, nowMs, endpoint, 'no replies');
  }
}

function startEjection(
  state: EntryState,
  nowMs: number,
  endpoint: EndpointRow,
  reason: string,
): void {
  const serviceEndpoints = state.endpointsByService.list(endpoint.service);
  const ejectedCount = serviceEndpoints.filter(
    (other) => other.ejectedUntilMs > 0 && other.id !== endpoint.id,
  ).length;
  if (ejectedCount + 1 > serviceEndpoints.length * MAX_EJECTED_SHARE) {
    state.endpoints.update(endpoint.id, { ejectedUntilMs: 0 });
    return;
  }
  const health = getEndpointHealth(state, endpoint.id);
  const ejectionMs = Math.min(MAX_EJECTION_MS, INITIAL_EJECTION_MS * 2 ** health.ejections);
  state.endpointHealth.set({ ...health, samples: 0, ejections: health.ejections + 1 });
  state.endpoints.update(endpoint.id, { ejectedUntilMs: nowMs + ejectionMs });
  state.counters.add('endpoint_ejections', { service: endpoint.service });
  state.outbox.append({
    kind: 'log',
    level: 'warn',
    event: 'endpoint_ejected',
    fields: { endpoint: endpoint.id, reason, forMs: ejectionMs },
  });
}
