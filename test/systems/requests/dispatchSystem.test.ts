import { describe, expect, it } from 'vitest';
import { DeadlineAdmission } from '../../../src/systems/admission/deadlineAdmission.ts';
import { AttemptReplySystem } from '../../../src/systems/requests/attemptReplySystem.ts';
import { DispatchSystem } from '../../../src/systems/requests/dispatchSystem.ts';
import { BudgetedRetry } from '../../../src/systems/requests/retryPolicy.ts';
import { LoadAwareRouting } from '../../../src/systems/routing/loadAwareRouting.ts';
import type { RouteConfig } from '../../../src/model/configuration.ts';
import { buildEndpoint, buildRequest, buildRoute, EntryFixture } from './entryFixture.ts';

function createFixture(routes?: readonly RouteConfig[]): EntryFixture {
  const dispatch = DispatchSystem.create(LoadAwareRouting.create(), DeadlineAdmission.create());
  return EntryFixture.create([AttemptReplySystem.create(BudgetedRetry.create()), dispatch], routes);
}

/** Adds an endpoint without capacity. */
function addFullEndpoint(fixture: EntryFixture): void {
  fixture.state.endpoints.set(buildEndpoint('n0', { inFlight: 10 }));
}

/** Frees one place at the endpoint and runs a tick, the given number of times. */
function releaseSlots(fixture: EntryFixture, times: number): void {
  for (let count = 0; count < times; count += 1) {
    fixture.state.endpoints.update('n0', { inFlight: 9 });
    fixture.run();
  }
}

describe('dispatch', () => {
  describe('refusals that say "not run"', () => {
    it('are not sent for a request that may have run', () => {
      const fixture = createFixture();
      addFullEndpoint(fixture);
      fixture.state.requests.set(
        buildRequest('q', { mayHaveRun: true, attempts: 1, deadlineMs: 0 }),
      );
      fixture.run();
      expect(fixture.listRefusals()).toEqual(['q outcome_unknown']);
    });

    it('are not derived from the last of several attempts', () => {
      const fixture = createFixture();
      addFullEndpoint(fixture);
      const lastFailure = { kind: 'endpoint_busy', message: '' } as const;
      fixture.state.requests.set(
        buildRequest('q', { mayHaveRun: true, attempts: 2, deadlineMs: 0, lastFailure }),
      );
      fixture.run();
      expect(fixture.listRefusals()).toEqual(['q outcome_unknown']);
    });

    it('are not omitted when the service has no endpoint', () => {
      const fixture = createFixture();
      fixture.state.requests.set(buildRequest('q'));
      fixture.run();
      expect(fixture.listRefusals()).toEqual(['q no_endpoint']);
    });

    it('are not sent after the deadline when the first request of the queue is too late', () => {
      const fixture = createFixture();
      addFullEndpoint(fixture);
      fixture.state.requests.set(buildRequest('q', { deadlineMs: 50 }));
      expect(fixture.run()).toBeLessThanOrEqual(50);
      fixture.clock.advance(50);
      fixture.run();
      expect(fixture.listRefusals()).toEqual(['q deadline_exceeded_before_run']);
      expect(fixture.listSent()).toEqual([]);
    });
  });

  describe('a queue at its maximum length', () => {
    it('does not grow: the newest request is refused immediately', () => {
      const fixture = createFixture([buildRoute({ maxQueue: 2 })]);
      addFullEndpoint(fixture);
      for (const id of ['a', 'b', 'c']) fixture.state.requests.set(buildRequest(id));
      fixture.run();
      expect(fixture.listRefusals()).toEqual(['c queue_full']);
    });

    it('does not refuse requests of a burst that free slots run in the same tick', () => {
      const fixture = createFixture([buildRoute({ maxQueue: 8 })]);
      fixture.state.endpoints.set(buildEndpoint('n0', { inFlight: 0 }));
      for (let at = 0; at < 8; at += 1) fixture.state.requests.set(buildRequest(`q${at}`));
      fixture.run();
      expect(fixture.listSent()).toHaveLength(8);
    });
  });

  describe('order between queues', () => {
    it('does not starve ordinary requests behind urgent ones', () => {
      const urgent = buildRoute({ name: 'urgent', priority: 'urgent' });
      const fixture = createFixture([buildRoute(), urgent]);
      addFullEndpoint(fixture);
      for (let at = 0; at < 20; at += 1) {
        fixture.state.requests.set(buildRequest(`o${at}`));
        const patch = { route: 'urgent', priority: 'urgent' } as const;
        fixture.state.requests.set(buildRequest(`u${at}`, patch));
      }
      releaseSlots(fixture, 10);
      const sent = fixture.listSent();
      expect(sent.filter((id) => id.startsWith('u'))).toHaveLength(8);
      expect(sent.filter((id) => id.startsWith('o'))).toHaveLength(2);
      expect(sent[0]).toBe('u0');
    });

    it('does not serve a route beyond its weight', () => {
      const heavy = buildRoute({ name: 'heavy', weight: 3 });
      const fixture = createFixture([buildRoute(), heavy]);
      addFullEndpoint(fixture);
      for (let at = 0; at < 40; at += 1) {
        fixture.state.requests.set(buildRequest(`l${at}`));
        fixture.state.requests.set(buildRequest(`h${at}`, { route: 'heavy' }));
      }
      releaseSlots(fixture, 40);
      expect(fixture.listSent().filter((id) => id.startsWith('h'))).toHaveLength(30);
    });

    it('does not give every slot to a route after an idle period', () => {
      const fixture = createFixture([buildRoute(), buildRoute({ name: 'late' })]);
      addFullEndpoint(fixture);
      for (let at = 0; at < 100; at += 1) fixture.state.requests.set(buildRequest(`a${at}`));
      releaseSlots(fixture, 50);
      for (let at = 0; at < 20; at += 1)
        fixture.state.requests.set(buildRequest(`b${at}`, { route: 'late' }));
      fixture.run();
      releaseSlots(fixture, 10);
      const late = fixture.listSent().filter((id) => id.startsWith('b')).length;
      expect(late).toBeGreaterThanOrEqual(4);
      expect(late).toBeLessThanOrEqual(6);
    });

    it('does not reorder the requests of one queue', () => {
      const fixture = createFixture();
      addFullEndpoint(fixture);
      for (const id of ['a', 'b', 'c']) fixture.state.requests.set(buildRequest(id));
      fixture.run();
      fixture.state.requests.update('a', { notBeforeMs: 1 });
      releaseSlots(fixture, 3);
      expect(fixture.listSent()).toEqual(['a', 'b', 'c']);
    });
  });

  describe('waking', () => {
    it('does not occur before the deadline while replies are outstanding', () => {
      const fixture = createFixture();
      addFullEndpoint(fixture);
      fixture.state.requests.set(buildRequest('q'));
      expect(fixture.run()).toBe(2_000);
    });

    it('does not occur later than the end of an ejection while requests wait', () => {
      const fixture = createFixture();
      addFullEndpoint(fixture);
      fixture.state.endpoints.set(buildEndpoint('n1', { ejectedUntilMs: 700 }));
      fixture.state.requests.set(buildRequest('q'));
      expect(fixture.run()).toBe(700);
    });

    it('does not wait for a reply when only the load of other entries blocks requests', () => {
      const fixture = createFixture();
      fixture.state.endpoints.set(
        buildEndpoint('n0', { load: { running: 8, waiting: 8, latencyMs: 1 } }),
      );
      fixture.state.requests.set(buildRequest('q'));
      expect(fixture.run()).toBe(50);
    });
  });

  describe('a tick with thousands of queued requests', () => {
    it('does not read each of them', () => {
      const fixture = createFixture([buildRoute({ maxQueue: 100_000 })]);
      addFullEndpoint(fixture);
      for (let at = 0; at < 5_000; at += 1) fixture.state.requests.set(buildRequest(`q${at}`));
      fixture.run();
      let reads = 0;
      const { requests } = fixture.state;
      const values = requests.values.bind(requests);
      requests.values = () => {
        reads += requests.size;
        return values();
      };
      const getFirst = fixture.state.queuedRequests.getFirst.bind(fixture.state.queuedRequests);
      fixture.state.queuedRequests.getFirst = (key) => {
        reads += 1;
        return getFirst(key);
      };
      fixture.state.queuedRequests.list = () => {
        throw new Error('a tick must not copy a whole queue');
      };
      releaseSlots(fixture, 10);
      expect(fixture.listSent()).toHaveLength(10);
      expect(reads).toBeLessThanOrEqual(30);
    });
  });
});
