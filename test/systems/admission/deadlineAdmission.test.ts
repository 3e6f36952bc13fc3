import { describe, expect, it } from 'vitest';
import type { QueueRow, ServiceLoadRow } from '../../../src/model/admission.ts';
import { createEntryState } from '../../../src/model/entryState.ts';
import { DeadlineAdmission } from '../../../src/systems/admission/deadlineAdmission.ts';
import { FifoAdmission } from '../../../src/systems/admission/admissionPolicy.ts';
import { getQueue, recordDispatch } from '../../../src/systems/admission/queues.ts';
import { getServiceLoad } from '../../../src/systems/admission/serviceLoad.ts';
import { buildRequest, buildRoute, ZONE } from '../requests/entryFixture.ts';

function createState() {
  const state = createEntryState({ id: 'e', region: 'r', zone: ZONE, address: 'e' }, 'e');
  state.configuration.current = { ...state.configuration.current, routes: [buildRoute()] };
  return state;
}

function buildQueue(patch: Partial<QueueRow> = {}): QueueRow {
  return { ...getQueue(createState(), buildRequest('q')), ...patch };
}

function buildLoad(patch: Partial<ServiceLoadRow> = {}): ServiceLoadRow {
  return { ...getServiceLoad(createState(), 'kit'), roundTripMs: 100, ...patch };
}

describe('deadline admission', () => {
  const admission = DeadlineAdmission.create();
  const request = buildRequest('q');
  const load = buildLoad();

  describe('a request whose expected wait exceeds its deadline', () => {
    it('is not queued until it expires', () => {
      const queue = buildQueue({ intervalMs: 10 });
      const refusal = admission.findRefusal({ queue, length: 180, request, load, now: 0 });
      expect(refusal?.kind).toBe('deadline_exceeded_before_run');
    });

    it('is not refused while enough time remains to run it', () => {
      const queue = buildQueue({ intervalMs: 10 });
      const patientAdmission = DeadlineAdmission.create({ maxWaitShare: 1 });
      expect(
        patientAdmission.findRefusal({ queue, length: 179, request, load, now: 0 }),
      ).toBeUndefined();
    });
  });

  describe('a queue that stays full under overload', () => {
    it('does not hold requests that would wait for more than half of the time until the deadline', () => {
      const queue = buildQueue({ intervalMs: 10 });
      const findRefusal = (length: number) =>
        admission.findRefusal({ queue, length, request, load, now: 0 })?.kind;
      expect(findRefusal(100)).toBeUndefined();
      expect(findRefusal(101)).toBe('queue_full');
    });
  });

  describe('a wait estimate from a long outage', () => {
    it('does not refuse requests after the outage while the queue is empty', () => {
      const queue = buildQueue({ intervalMs: 60_000 });
      expect(admission.findRefusal({ queue, length: 0, request, load, now: 0 })).toBeUndefined();
      expect(admission.findRefusal({ queue, length: 1, request, load, now: 0 })).toBeDefined();
    });

    it('does not persist when dispatches leave no request waiting', () => {
      const state = createState();
      const queue = getQueue(state, request);
      state.queues.update(queue.id, { intervalMs: 60_000 });
      for (let count = 0; count < 40; count += 1) {
        const served = state.queues.get(queue.id)!;
        recordDispatch(state, { queue: served, oldestRequest: request, length: 1 }, false, count);
      }
      expect(state.queues.get(queue.id)!.intervalMs).toBeLessThan(10);
    });
  });

  describe('a service whose responses take longer than the deadline', () => {
    it('does not make every request too late', () => {
      const slowService = buildLoad({ roundTripMs: 5_000 });
      expect(admission.isTooLate(request, slowService, 0)).toBe(false);
      expect(admission.isTooLate(request, slowService, 1_000)).toBe(true);
    });
  });

  describe('a changed configuration', () => {
    it('does not leave the old queue length and weight in force', () => {
      const state = createState();
      getQueue(state, request);
      const routes = [buildRoute({ maxQueue: 3, weight: 5 })];
      state.configuration.current = { ...state.configuration.current, revision: 1, routes };
      expect(getQueue(state, request)).toMatchObject({ maxQueue: 3, weight: 5 });
    });

    it('does not retain the queues of removed routes', () => {
      const state = createState();
      getQueue(state, request);
      const routes = [buildRoute({ name: 'other' })];
      state.configuration.current = { ...state.configuration.current, revision: 1, routes };
      getQueue(state, buildRequest('q2', { route: 'other' }));
      expect(state.queues.list().map((queue) => queue.route)).toEqual(['other']);
    });
  });
});

describe('FIFO admission', () => {
  it('does not serve a newer request of another route before the oldest', () => {
    const older = {
      queue: buildQueue(),
      oldestRequest: buildRequest('old', { receivedMs: 1 }),
      length: 1,
    };
    const newer = {
      queue: buildQueue(),
      oldestRequest: buildRequest('new', { receivedMs: 2 }),
      length: 1,
    };
    expect(FifoAdmission.create().chooseQueue([newer, older])).toBe(older);
  });
});
