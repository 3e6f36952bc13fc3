import { describe, expect, it } from 'vitest';
import type { EntryState } from '../../../src/model/entryState.ts';
import { createEntryState } from '../../../src/model/entryState.ts';
import type { AttemptReply } from '../../../src/model/request.ts';
import { getServiceLoad } from '../../../src/systems/admission/serviceLoad.ts';
import {
  getEndpointHealth,
  recordAttemptFailure,
  recordAttemptReply,
  recordAttemptSent,
  checkSilentEndpoints,
  removeStaleEndpointHealth,
} from '../../../src/systems/routing/endpointHealth.ts';
import { collectEndpointViews } from '../../../src/systems/routing/endpointView.ts';
import { buildEndpoint, ZONE } from '../requests/entryFixture.ts';

function createState(endpoints: number): EntryState {
  const state = createEntryState({ id: 'e', region: 'r', zone: ZONE, address: 'e' }, 'e');
  for (let index = 0; index < endpoints; index += 1)
    state.endpoints.set(buildEndpoint(`n${index}`, { roundTripMs: 100 }));
  state.serviceLoads.set({ ...getServiceLoad(state, 'kit'), roundTripMs: 100 });
  return state;
}

function receive(
  state: EntryState,
  nowMs: number,
  outcome: AttemptReply['outcome'],
  durationMs = 100,
  load?: AttemptReply['load'],
): void {
  const attempt = {
    id: 'a',
    requestId: 'q',
    endpointId: 'n0',
    agentBootId: 'n0',
    phase: 'sent' as const,
    sentMs: nowMs - durationMs,
    sends: 1,
  };
  recordAttemptReply(state, nowMs, attempt, { attemptId: 'a', outcome, load });
}

function buildResponse(status: number): AttemptReply['outcome'] {
  return { kind: 'response', response: { status, headers: [], body: new Uint8Array() } };
}

function buildRejection(kind: 'endpoint_busy' | 'endpoint_draining'): AttemptReply['outcome'] {
  return { kind: 'rejected', failure: { kind, message: '' } };
}

function recordFailures(state: EntryState, endpointId: string, times: number, nowMs = 0): void {
  for (let count = 0; count < times; count += 1) recordAttemptFailure(state, nowMs, endpointId);
}

describe('endpoint health', () => {
  describe('an endpoint that fails fast', () => {
    it('does not receive traffic after five consecutive failures', () => {
      const state = createState(4);
      for (let count = 0; count < 4; count += 1) receive(state, 10, buildResponse(503), 2);
      expect(state.endpoints.get('n0')!.ejectedUntilMs).toBe(0);
      receive(state, 10, buildResponse(503), 2);
      expect(state.endpoints.get('n0')!.ejectedUntilMs).toBe(2_010);
    });

    it('is not ejected for failures with a success between them', () => {
      const state = createState(4);
      recordFailures(state, 'n0', 4);
      receive(state, 0, buildResponse(200));
      recordFailures(state, 'n0', 4);
      expect(state.endpoints.get('n0')!.ejectedUntilMs).toBe(0);
    });

    it('is not readmitted after a failed probe, and the ejection doubles up to a maximum', () => {
      const state = createState(4);
      recordFailures(state, 'n0', 5);
      const ejectionsMs: number[] = [];
      for (let probe = 0; probe < 4; probe += 1) {
        const atMs = state.endpoints.get('n0')!.ejectedUntilMs;
        recordAttemptFailure(state, atMs, 'n0');
        ejectionsMs.push(state.endpoints.get('n0')!.ejectedUntilMs - atMs);
      }
      expect(ejectionsMs).toEqual([4_000, 8_000, 15_000, 15_000]);
    });

    it('is not ejected any longer after a successful probe', () => {
      const state = createState(4);
      recordFailures(state, 'n0', 5);
      receive(state, 2_000, buildResponse(200));
      expect(state.endpoints.get('n0')).toMatchObject({ ejectedUntilMs: 0, failuresInRow: 0 });
    });

    it('is not readmitted by a response to an attempt from before the ejection', () => {
      const state = createState(4);
      recordFailures(state, 'n0', 5);
      receive(state, 500, buildResponse(200));
      expect(state.endpoints.get('n0')!.ejectedUntilMs).toBe(2_000);
    });
  });

  describe('a slow endpoint', () => {
    it('is not left in use although it answers every request', () => {
      const state = createState(4);
      for (let count = 0; count < 8; count += 1) receive(state, 0, buildResponse(200), 1_000);
      expect(state.endpoints.get('n0')!.ejectedUntilMs).toBeGreaterThan(0);
    });

    it('is not readmitted by a slow probe', () => {
      const state = createState(4);
      state.endpoints.update('n0', { ejectedUntilMs: 2_000 });
      receive(state, 2_000, buildResponse(200), 1_000);
      expect(state.endpoints.get('n0')!.ejectedUntilMs).toBeGreaterThan(2_000);
    });
  });

  describe('a fault of the whole service', () => {
    it('does not eject more than half of the endpoints', () => {
      const state = createState(5);
      for (let index = 0; index < 5; index += 1) recordFailures(state, `n${index}`, 20);
      const ejected = state.endpoints.list().filter((endpoint) => endpoint.ejectedUntilMs > 0);
      expect(ejected).toHaveLength(2);
    });

    it('does not eject the only endpoint', () => {
      const state = createState(1);
      recordFailures(state, 'n0', 20);
      expect(state.endpoints.get('n0')!.ejectedUntilMs).toBe(0);
    });
  });

  describe('load signals', () => {
    it('do not omit the load of other entries', () => {
      const state = createState(2);
      state.endpoints.update('n0', { inFlight: 2 });
      for (let count = 0; count < 30; count += 1)
        receive(state, 0, buildResponse(200), 100, { running: 8, waiting: 2, latencyMs: 100 });
      expect(collectEndpointViews(state, 'kit', 0)[0]!.outstanding).toBeCloseTo(10, 1);
    });

    it('do not show capacity right after a busy rejection, and do not exclude the endpoint for good', () => {
      const state = createState(2);
      receive(state, 0, buildRejection('endpoint_busy'));
      expect(collectEndpointViews(state, 'kit', 0)[0]!.outstanding).toBe(16);
      expect(collectEndpointViews(state, 'kit', 1_000)[0]!.outstanding).toBe(0);
    });

    it('do not count a busy rejection as a failure', () => {
      const state = createState(2);
      for (let count = 0; count < 9; count += 1) receive(state, 0, buildRejection('endpoint_busy'));
      expect(state.endpoints.get('n0')).toMatchObject({ failuresInRow: 0, ejectedUntilMs: 0 });
    });

    it('do not offer an endpoint that has reported that it is draining', () => {
      const state = createState(2);
      receive(state, 0, buildRejection('endpoint_draining'));
      expect(collectEndpointViews(state, 'kit', 0).map((view) => view.row.id)).toEqual(['n1']);
    });
  });

  describe('endpoints that are added and removed', () => {
    it('do not leave the health of removed endpoints in memory', () => {
      const state = createState(2);
      for (let index = 0; index < 50; index += 1)
        state.endpointHealth.set(getEndpointHealth(state, `n${index}`));
      removeStaleEndpointHealth(state);
      expect(state.endpointHealth.list().map((row) => row.id)).toEqual(['n0', 'n1']);
    });
  });

  describe('a silent endpoint', () => {
    it('is not preferred until the deadline of its first attempts', () => {
      const state = createState(2);
      state.endpoints.update('n0', { inFlight: 3 });
      state.endpointHealth.set({ ...getEndpointHealth(state, 'n0'), silentSinceMs: 1 });
      expect(collectEndpointViews(state, 'kit', 300)[0]!.isSuspect).toBe(false);
      expect(collectEndpointViews(state, 'kit', 500)[0]!.isSuspect).toBe(true);
    });

    it('is not in use until the deadlines of its attempts, nor after a silent probe', () => {
      const state = createState(4);
      recordAttemptSent(state, 100, 'n0');
      checkSilentEndpoints(state, 899, 'kit');
      expect(state.endpoints.get('n0')!.ejectedUntilMs).toBe(0);
      checkSilentEndpoints(state, 900, 'kit');
      expect(state.endpoints.get('n0')!.ejectedUntilMs).toBe(2_900);
      state.endpoints.update('n0', { inFlight: 0 });
      recordAttemptSent(state, 3_000, 'n0');
      checkSilentEndpoints(state, 3_799, 'kit');
      expect(state.endpoints.get('n0')!.ejectedUntilMs).toBe(2_900);
      checkSilentEndpoints(state, 3_800, 'kit');
      expect(state.endpoints.get('n0')!.ejectedUntilMs).toBe(7_800);
    });

    it('is not ejected because its attempts were abandoned before a reply was due', () => {
      const state = createState(4);
      recordAttemptSent(state, 100, 'n0');
      state.endpoints.update('n0', { inFlight: 0 });
      checkSilentEndpoints(state, 5_000, 'kit');
      expect(state.endpoints.get('n0')!.ejectedUntilMs).toBe(0);
    });
  });
});
