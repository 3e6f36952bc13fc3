import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { checkCommitments } from '../../../src/systems/placement/commitmentCheck.ts';
import {
  createBatchPool,
  createDemand,
  createFixture,
  createServicePool,
} from './placementFixture.ts';

const event = fc.oneof(
  fc.record({
    kind: fc.constant('submit' as const),
    cores: fc.integer({ min: 1, max: 12 }),
    memoryMb: fc.integer({ min: 1, max: 6_000 }),
    team: fc.constantFrom('a', 'b', 'c'),
    workClass: fc.constantFrom('urgent' as const, 'ordinary' as const),
    seconds: fc.integer({ min: 1, max: 60 }),
    count: fc.integer({ min: 1, max: 12 }),
  }),
  fc.record({ kind: fc.constant('cancel' as const), at: fc.nat(40) }),
  fc.record({ kind: fc.constant('zones' as const), zones: fc.subarray(['za', 'zb', 'zc']) }),
  fc.record({ kind: fc.constant('lose' as const), worker: fc.nat(5) }),
  fc.record({ kind: fc.constant('return' as const), worker: fc.nat(5) }),
  fc.record({ kind: fc.constant('fail' as const), worker: fc.nat(5) }),
  fc.record({ kind: fc.constant('usage' as const), cores: fc.integer({ min: 1, max: 30 }) }),
);

describe('bounds under random events', () => {
  for (const seed of [11, 23, 47]) {
    it(`are not exceeded by any sequence of events (seed ${seed})`, () => {
      fc.assert(
        fc.property(fc.array(event, { minLength: 5, maxLength: 40 }), (events) => {
          const quotas = [
            { team: 'a', limit: createDemand(12, 20_000) },
            { team: 'b', limit: createDemand(30, 9_000) },
          ];
          const pools = [createBatchPool({ quotas }), createServicePool(4, 'zone')];
          const model = createFixture({ pools, seed });
          let next = 0;
          for (const item of events) {
            if (item.kind === 'submit') {
              for (let copy = 0; copy < item.count; copy += 1, next += 1) {
                const { team, workClass } = item;
                const demand = createDemand(item.cores, item.memoryMb);
                model.submit(
                  { id: `t${next}`, pool: 'batch', team, workClass, demand },
                  item.seconds,
                );
              }
            } else if (item.kind === 'cancel') model.stopJob(`t${item.at}`);
            else if (item.kind === 'zones') model.setZonesOut(item.zones);
            else if (item.kind === 'lose') model.lostWorkers.add(`w${item.worker}`);
            else if (item.kind === 'return') model.lostWorkers.delete(`w${item.worker}`);
            else if (item.kind === 'fail') model.failingWorkers.add(`w${item.worker}`);
            else
              model.state.placement.kindUsage.set({
                ...{
                  id: 'a/batch',
                  coreRatio: item.cores / 10,
                  memoryRatio: 1,
                  sampleCount: 9,
                  runTimeRatio: 1,
                },
              });
            const out = new Set(model.state.configuration.current.zonesOut);
            const before = new Map([...model.state.tasks.values()].map((row) => [row.id, row]));
            for (let step = 0; step < 9; step += 1) {
              model.runStep();
              expect(checkCommitments(model.state)).toEqual([]);
            }
            for (const { change } of model.state.pendingChanges.values()) {
              if (change.kind !== 'put' || change.task.phase !== 'assigned') continue;
              const isStart = before.get(change.task.id)?.incarnation !== change.task.incarnation;
              if (isStart) expect(out.has(change.task.zone ?? '')).toBe(false);
            }
          }
        }),
        { seed, numRuns: 25 },
      );
    });
  }
});
