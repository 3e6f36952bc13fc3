import { describe, expect, it } from 'vitest';
import { SeededRandom } from '../../../src/base/common/seededRandom.ts';
import { BudgetedRetry, ImmediateRetry } from '../../../src/systems/requests/retryPolicy.ts';
import { createFailure } from '../../../src/base/common/errors.ts';
import { buildFailure, OK } from '../fakeEndpoint.ts';
import { FakeNetwork } from '../fakeNetwork.ts';

function createNetwork(route: object = {}): FakeNetwork {
  const network = new FakeNetwork(7);
  network.addEntry('e1', route);
  for (const agent of ['a1', 'a2']) {
    network.addAgent(agent, 'boot-1');
    network.registerEndpoint('e1', agent);
  }
  return network;
}

describe('retries', () => {
  describe('after a rejection that proves "not run"', () => {
    it('are not withheld from a non-idempotent request', () => {
      const network = createNetwork();
      let calls = 0;
      network.endpointBehaviour = () => {
        calls += 1;
        return calls === 1
          ? { afterMs: 1, outcome: buildFailure(false) }
          : { afterMs: 1, outcome: { kind: 'response', response: OK } };
      };
      network.sendRequest('e1', 'r1');
      network.runFor(1_000);
      expect(network.answers.get('r1')).toEqual(OK);
      expect(network.entries.get('e1')!.state.counters.get('retries')).toBe(1);
    });

    it('do not exceed the attempts of the route, and the refusal does not say "unknown"', () => {
      const network = createNetwork({ maxAttempts: 2 });
      let calls = 0;
      network.endpointBehaviour = () => {
        calls += 1;
        return { afterMs: 1, outcome: buildFailure(false) };
      };
      network.sendRequest('e1', 'r1');
      network.runFor(1_000);
      expect(calls).toBe(2);
      expect(network.answers.get('r1')).toMatchObject({ kind: 'no_endpoint' });
    });
  });

  describe('after an attempt that may have run', () => {
    it('are not made for a non-idempotent request', () => {
      const network = createNetwork();
      network.endpointBehaviour = () => ({ afterMs: 1, outcome: buildFailure(true) });
      network.sendRequest('e1', 'r1');
      network.runFor(1_000);
      expect(network.runs.get('r1')).toBe(1);
      expect(network.answers.get('r1')).toMatchObject({ kind: 'endpoint_failed' });
    });

    it('do not report "not run" after a later rejection', () => {
      const network = createNetwork({ idempotent: true, maxAttempts: 2 });
      let calls = 0;
      network.endpointBehaviour = () => {
        calls += 1;
        return { afterMs: 1, outcome: buildFailure(calls === 1) };
      };
      const state = network.entries.get('e1')!.state;
      network.sendRequest('e1', 'r1');
      network.runFor(3);
      state.endpoints.clear();
      network.runFor(1_000);
      expect(network.answers.get('r1')).toMatchObject({ kind: 'outcome_unknown' });
    });
  });

  describe('after a response 503 with Retry-After', () => {
    const busyResponse = {
      status: 503,
      headers: [['Retry-After', '1'] as [string, string]],
      body: OK.body,
    };

    it('are not sent before the delay that the endpoint requested', () => {
      const network = createNetwork({ idempotent: true });
      const callTimesMs: number[] = [];
      network.endpointBehaviour = () => {
        callTimesMs.push(network.clock.now);
        const response = callTimesMs.length === 1 ? busyResponse : OK;
        return { afterMs: 1, outcome: { kind: 'response', response } };
      };
      network.sendRequest('e1', 'r1');
      network.runFor(3_000);
      expect(network.answers.get('r1')).toEqual(OK);
      expect(callTimesMs[1]! - callTimesMs[0]!).toBeGreaterThanOrEqual(1_000);
    });

    it('are not made for a non-idempotent request', () => {
      const network = createNetwork();
      network.endpointBehaviour = () => ({
        afterMs: 1,
        outcome: { kind: 'response', response: busyResponse },
      });
      network.sendRequest('e1', 'r1');
      network.runFor(3_000);
      expect(network.runs.get('r1')).toBe(1);
      expect(network.answers.get('r1')).toEqual(busyResponse);
    });
  });

  describe('during an outage', () => {
    it('do not multiply the load beyond 1.2 attempts per request', () => {
      const network = createNetwork({ idempotent: true });
      let attempts = 0;
      network.endpointBehaviour = () => {
        attempts += 1;
        return { afterMs: 1, outcome: buildFailure(true) };
      };
      for (let index = 0; index < 300; index += 1) {
        network.sendRequest('e1', `r${index}`);
        network.runFor(20);
      }
      network.runFor(5_000);
      expect(network.answers.size).toBe(300);
      expect(attempts / 300).toBeLessThanOrEqual(1.2);
      expect(network.entries.get('e1')!.state.counters.get('retries_refused')).toBeGreaterThan(0);
    });
  });

  describe('policies', () => {
    const random = SeededRandom.create(3);
    const query = { attempts: 1, tokens: 0, retryAfterMs: undefined, random };

    it('do not grant a retry from an empty budget', () => {
      expect(BudgetedRetry.create().choose(query)).toMatchObject({ isGranted: false });
      expect(ImmediateRetry.create().choose()).toEqual({ isGranted: true, delayMs: 0, cost: 0 });
    });

    it('do not delay a retry beyond the maximum backoff', () => {
      for (let attempts = 1; attempts < 12; attempts += 1) {
        const decision = BudgetedRetry.create().choose({ ...query, attempts, tokens: 5 });
        expect(decision.isGranted && decision.delayMs).toBeLessThanOrEqual(
          Math.min(250, 10 * 2 ** (attempts - 1)),
        );
      }
    });
  });
});

describe('replies of agents', () => {
  it('that are late, duplicate or for another attempt do not reach a caller', () => {
    const network = createNetwork();
    network.faults.duplicate = 0.999;
    network.sendRequest('e1', 'r1');
    network.runFor(1_000);
    const state = network.entries.get('e1')!.state;
    expect(network.answers.size).toBe(1);
    expect(network.runs.get('r1')).toBe(1);
    expect(state.counters.get('late_answers')).toBeGreaterThan(0);
    const outcome = { kind: 'rejected' as const, failure: createFailure('endpoint_busy', '') };
    network.sendToEntry('e1', {
      kind: 'attemptReply',
      attemptId: 'r9.1',
      reply: { attemptId: 'r8.1', outcome },
    });
    expect(state.counters.get('mismatched_answers')).toBe(1);
  });
});

describe('a caller that disconnects', () => {
  it('does not leave its attempt open or counted as in flight', () => {
    const network = createNetwork({ idempotent: true });
    network.endpointBehaviour = () => ({
      afterMs: 500,
      outcome: { kind: 'response', response: OK },
    });
    const state = network.entries.get('e1')!.state;
    network.sendRequest('e1', 'r1');
    network.runFor(10);
    network.sendToEntry('e1', { kind: 'callerGone', requestId: 'r1' });
    network.runFor(10);
    expect(state.requests.size + state.attempts.size).toBe(0);
    expect([...state.endpoints.values()].map(({ inFlight }) => inFlight)).toEqual([0, 0]);
    const abandoned = [...network.agents.values()].map(({ state: agent }) =>
      agent.counters.get('attempts_abandoned'),
    );
    expect(abandoned.reduce((sum, count) => sum + count)).toBe(1);
  });
});
