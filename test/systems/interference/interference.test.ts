import { describe, expect, it } from 'vitest';
import { createEntryState } from '../../../src/model/entryState.ts';
import type { EntryState } from '../../../src/model/entryState.ts';
import {
  estimateEffect,
  recordSlowdown,
} from '../../../src/systems/interference/interferenceModel.ts';
import { MITIGATION_INTERVAL_MS } from '../../../src/systems/interference/interferenceMitigationSystem.ts';
import {
  createBatchPool,
  createDemand,
  createFixture,
  createServicePool,
} from '../placement/placementFixture.ts';

function createState(): EntryState {
  return createEntryState({ id: 'e', address: '', region: 'r', zone: 'z' }, 'boot');
}

function recordMany(state: EntryState, effect: number, count: number, fromMs: number): void {
  for (let at = 0; at < count; at += 1) {
    const pressure = at % 2 === 0 ? 0.2 : 0.4;
    const neighbours = [{ taskKind: 'noisy', pressure }];
    recordSlowdown(state, 'kit', neighbours, 1, 1 + effect * pressure, fromMs + at * 1_000);
  }
}

describe('interference', () => {
  describe('estimates', () => {
    it('do not stay at the prior when samples show a different effect', () => {
      const state = createState();
      recordMany(state, 3, 40, 0);
      expect(estimateEffect(state, 'kit', 'noisy', 1)).toBeGreaterThan(2.5);
      expect(estimateEffect(state, 'kit', 'unseen', 1)).toBe(0.5);
    });

    it('do not stay at old values when the load shifts', () => {
      const state = createState();
      recordMany(state, 3, 100, 0);
      recordMany(state, 0.2, 40, 100_000);
      expect(estimateEffect(state, 'kit', 'noisy', 1)).toBeLessThan(0.6);
    });
  });

  describe('late samples', () => {
    it('are not attributed to tasks that started after the sample was taken', () => {
      const model = createFixture({ workers: 1 });
      model.submit({ id: 'victim', pool: 'batch', taskKind: 'kit' }, 1_000);
      model.runFor(5_000);
      const takenMs = model.clock.now;
      model.runFor(1_000);
      model.submit({ id: 'late', pool: 'batch', taskKind: 'late-kind' }, 1_000);
      model.runFor(1_000);
      model.state.usageSamples.set({
        ...{ id: 'x', workerId: 'w0', taskId: 'victim', incarnation: 1, ageMs: 2_000 },
        ...{ takenMs, cores: 1, memoryMb: 100, slowdown: 5 },
      });
      model.runFor(100);
      const pairs = [...model.state.placement.pairEstimates.values()].map((row) => row.id);
      expect(pairs.filter((id) => id.startsWith('kit/late-kind'))).toEqual([]);
    });
  });

  describe('steering', () => {
    const pools = [createServicePool(1, 'none'), createBatchPool()];

    it('does not throttle the protected service and does not evict before it throttles', () => {
      const effect = (victim: string, aggressor: string): number =>
        victim === 'kit' && aggressor === 'noisy' ? 3 : 0;
      const model = createFixture({ workers: 1, pools, effect });
      const noisy = { id: 'noisy', pool: 'batch', taskKind: 'noisy', demand: createDemand(5) };
      model.submit(noisy, 10_000);
      model.runFor(MITIGATION_INTERVAL_MS);
      expect(model.state.throttles.get('noisy')?.share).toBeLessThan(1);
      expect(model.state.counters.get('evictions')).toBe(0);
      expect([...model.state.throttles.values()].map((row) => row.id)).toEqual(['noisy']);
    });

    it('does not take a second step before the mitigation interval has passed', () => {
      const model = createFixture({ workers: 1, pools, effect: () => 6 });
      const noisy = { id: 'noisy', pool: 'batch', taskKind: 'noisy', demand: createDemand(5) };
      model.submit(noisy, 10_000);
      const times: number[] = [];
      let lastShare = 1;
      model.runFor(90_000, () => {
        const share = model.state.throttles.get('noisy')?.share ?? 1;
        if (share !== lastShare) times.push(model.clock.now);
        lastShare = share;
      });
      expect(times.length).toBeGreaterThan(1);
      for (let at = 1; at < times.length; at += 1)
        expect(times[at]! - times[at - 1]!).toBeGreaterThanOrEqual(MITIGATION_INTERVAL_MS - 100);
    });
  });
});
