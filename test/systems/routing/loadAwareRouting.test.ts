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

/** Times that each endpoint is chosen out of 1,000. */
function countChoices(
  candidates: readonly EndpointView[],
  request = { idempotent: true, triedEndpoints: [] as string[] },
): Record<string, number> {
  const random = SeededRandom.create(3);
  const routing = LoadAwareRouting.create();
  const counts: Record<string, number> = {};
  for (let turn = 0; turn < 1_000; turn += 1) {
    const id =
      routing.choose({ candidates, request, zone: ZONE, now: NOW_MS, random })?.row.id ?? 'none';
    counts[id] = (counts[id] ?? 0) + 1;
  }
  return counts;
}

describe('load-aware routing', () => {
  describe('several entries with the same view', () => {
    it('does not make all of them choose the one endpoint with the least load', () => {
      const counts = countChoices([0, 1, 1, 1, 1].map((load, at) => buildView(`n${at}`, load)));
      expect(counts.n0).toBeLessThan(500);
      expect(Object.keys(counts)).toHaveLength(5);
    });
  });

  describe('an endpoint at slots plus the small queue', () => {
    it('gets no more attempts, and the request waits', () => {
      expect(countChoices([buildView('full', 10), buildView('free', 9)])).toEqual({ free: 1_000 });
      expect(countChoices([buildView('full', 10)])).toEqual({ none: 1_000 });
    });
  });

  describe('zones', () => {
    it('does not pay the delay between zones while the own zone has room', () => {
      const far = buildView('far', 0, { zone: 'ulsan-b' });
      expect(countChoices([buildView('near', 4), far])).toEqual({ near: 1_000 });
    });

    it('does not fill the own zone to its last slot while another zone is idle', () => {
      const far = buildView('far', 0, { zone: 'ulsan-b' });
      expect(countChoices([buildView('near', 7), far])).toEqual({ far: 1_000 });
    });
  });

  describe('endpoints that are used last', () => {
    it('gives a suspect endpoint nothing while another one is known to be well', () => {
      const suspect = buildView('suspect', 0, {}, true);
      expect(countChoices([suspect, buildView('well', 9)])).toEqual({ well: 1_000 });
      expect(countChoices([suspect, buildView('well', 10)])).toEqual({ none: 1_000 });
    });

    it('does not refuse service when only suspect endpoints are left', () => {
      expect(countChoices([buildView('suspect', 0, {}, true)])).toEqual({ suspect: 1_000 });
    });

    it('does not try an endpoint again while there is an untried one', () => {
      const candidates = [buildView('tried', 0), buildView('untried', 7)];
      const request = { idempotent: true, triedEndpoints: ['tried'] };
      expect(countChoices(candidates, request)).toEqual({ untried: 1_000 });
    });

    it('does not wait for ever when every endpoint has been tried', () => {
      const request = { idempotent: true, triedEndpoints: ['tried'] };
      expect(countChoices([buildView('tried', 0)], request)).toEqual({ tried: 1_000 });
    });
  });

  describe('ejected endpoints', () => {
    it('gives them nothing before the end of the ejection', () => {
      const ejected = buildView('ejected', 0, { ejectedUntilMs: NOW_MS + 1 });
      expect(countChoices([ejected, buildView('well', 5)])).toEqual({ well: 1_000 });
    });

    it('does not send a second trial while the first is in progress', () => {
      const due = { ejectedUntilMs: NOW_MS - 1 };
      const well = buildView('well', 5);
      expect(countChoices([buildView('due', 0, due), well])).toEqual({ due: 1_000 });
      expect(countChoices([buildView('due', 1, due), well])).toEqual({ well: 1_000 });
    });

    it('does not risk a non-idempotent request on a trial while an idempotent one may come', () => {
      const request = { idempotent: false, triedEndpoints: [] };
      const due = buildView('due', 0, { ejectedUntilMs: NOW_MS - 999 });
      const overdue = buildView('due', 0, { ejectedUntilMs: NOW_MS - 1_000 });
      const well = buildView('well', 5);
      expect(countChoices([due, well], request)).toEqual({ well: 1_000 });
      expect(countChoices([overdue, well], request)).toEqual({ due: 1_000 });
    });

    it('does not stop the service when all endpoints in use have left', () => {
      const ejected = buildView('ejected', 0, { ejectedUntilMs: NOW_MS + 1 });
      expect(countChoices([ejected])).toEqual({ ejected: 1_000 });
    });
  });
});
