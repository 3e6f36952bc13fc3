import { describe, expect, it } from 'vitest';
import { SeededRandom } from '../../../src/base/common/seededRandom.ts';
import type { EndpointRow } from '../../../src/model/endpoint.ts';
import type { EndpointView } from '../../../src/systems/routing/endpointView.ts';
import { LoadAwareRouting } from '../../../src/systems/routing/loadAwareRouting.ts';
import { buildEndpoint, ZONE } from '../requests/entryFixture.ts';

const NOW_MS = 10_000;

function buildView(
  id: string,
  outstanding: number,
  patch: Partial<EndpointRow> = {},
  isSuspect = false,
): EndpointView {
  const row = buildEndpoint(id, { inFlight: outstanding, roundTripMs: 100, ...patch });
  return { row, outstanding, isSuspect };
}

/** Counts how often each endpoint is chosen in 1,000 choices. */
function countChoices(
  candidates: readonly EndpointView[],
  request = { idempotent: true, triedEndpoints: [] as string[] },
): Record<string, number> {
  const random = SeededRandom.create(3);
  const routing = LoadAwareRouting.create();
  const counts: Record<string, number> = {};
  for (let choice = 0; choice < 1_000; choice += 1) {
    const id =
      routing.choose({ candidates, request, zone: ZONE, now: NOW_MS, random })?.row.id ?? 'none';
    counts[id] = (counts[id] ?? 0) + 1;
  }
  return counts;
}

describe('load-aware routing', () => {
  describe('several entries with the same view', () => {
    it('do not all choose the endpoint with the least load', () => {
      const counts = countChoices([0, 1, 1, 1, 1].map((load, at) => buildView(`n${at}`, load)));
      expect(counts.n0).toBeLessThan(500);
      expect(Object.keys(counts)).toHaveLength(5);
    });
  });

  describe('an endpoint with full slots and a full queue', () => {
    it('receives no more attempts, and the request waits', () => {
      expect(countChoices([buildView('full', 10), buildView('free', 9)])).toEqual({ free: 1_000 });
      expect(countChoices([buildView('full', 10)])).toEqual({ none: 1_000 });
    });
  });

  describe('zones', () => {
    it('do not cause cross-zone delay while the zone of the entry has capacity', () => {
      const far = buildView('far', 0, { zone: 'ulsan-b' });
      expect(countChoices([buildView('near', 4), far])).toEqual({ near: 1_000 });
    });

    it('do not fill up to the last slot while another zone is idle', () => {
      const far = buildView('far', 0, { zone: 'ulsan-b' });
      expect(countChoices([buildView('near', 7), far])).toEqual({ far: 1_000 });
    });
  });

  describe('endpoints that are used last', () => {
    it('do not receive attempts while suspect, if another endpoint is healthy', () => {
      const suspect = buildView('suspect', 0, {}, true);
      expect(countChoices([suspect, buildView('well', 9)])).toEqual({ well: 1_000 });
      expect(countChoices([suspect, buildView('well', 10)])).toEqual({ none: 1_000 });
    });

    it('do not stop the service when only suspect endpoints remain', () => {
      expect(countChoices([buildView('suspect', 0, {}, true)])).toEqual({ suspect: 1_000 });
    });

    it('do not receive a second attempt while another endpoint is untried', () => {
      const candidates = [buildView('tried', 0), buildView('untried', 7)];
      const request = { idempotent: true, triedEndpoints: ['tried'] };
      expect(countChoices(candidates, request)).toEqual({ untried: 1_000 });
    });

    it('do not block a request that has tried every endpoint', () => {
      const request = { idempotent: true, triedEndpoints: ['tried'] };
      expect(countChoices([buildView('tried', 0)], request)).toEqual({ tried: 1_000 });
    });
  });

  describe('ejected endpoints', () => {
    it('do not receive attempts before the end of the ejection', () => {
      const ejected = buildView('ejected', 0, { ejectedUntilMs: NOW_MS + 1 });
      expect(countChoices([ejected, buildView('well', 5)])).toEqual({ well: 1_000 });
    });

    it('do not receive a second probe while the first is in progress', () => {
      const due = { ejectedUntilMs: NOW_MS - 1 };
      const healthy = buildView('well', 5);
      expect(countChoices([buildView('due', 0, due), healthy])).toEqual({ due: 1_000 });
      expect(countChoices([buildView('due', 1, due), healthy])).toEqual({ well: 1_000 });
    });

    it('do not receive a non-idempotent probe while the probe is reserved for an idempotent request', () => {
      const request = { idempotent: false, triedEndpoints: [] };
      const due = buildView('due', 0, { ejectedUntilMs: NOW_MS - 999 });
      const overdue = buildView('due', 0, { ejectedUntilMs: NOW_MS - 1_000 });
      const healthy = buildView('well', 5);
      expect(countChoices([due, healthy], request)).toEqual({ well: 1_000 });
      expect(countChoices([overdue, healthy], request)).toEqual({ due: 1_000 });
    });

    it('do not stop the service when no other endpoint remains', () => {
      const ejected = buildView('ejected', 0, { ejectedUntilMs: NOW_MS + 1 });
      expect(countChoices([ejected])).toEqual({ ejected: 1_000 });
    });
  });
});
