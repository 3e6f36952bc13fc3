import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { checkCommitments } from '../../../src/systems/placement/commitmentCheck.ts';
import {
  createBatchPool,
  createDemand,
  createFixture,
  createServicePool,
} from './placementFixture.ts';

const eventArbitrary = fc.oneof(
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

describe('placement constraints under random events', () => {
  for (const seed of [11, 23, 47]) {
    it(`are not violated by any sequence of events (seed ${seed})`, () => {
      fc.assert(
        fc.property(fc.array(eventArbitrary, { minLength: 5, maxLength: 40 }), (events) => {
          const quotas = [
            { team: 'a', limit: createDemand(12, 20_000) },
            { team: 'b', limit: createDemand(30, 9_000) },
          ];
          const pools = [createBatchPool({ quotas }), createServicePool(4, 'zone')];
          const model = createFixture({ pools, seed });
          let nextTaskNumber = 0;
          for (const event of events) {
            if (event.kind === 'submit') {
              for (let copy = 0; copy < event.count; copy += 1, nextTaskNumber += 1) {
                const { team, workClass } = event;
                const demand = createDemand(event.cores, event.memoryMb);
                model.submit(
                  { id: `t${nextTaskNumber}`, pool: 'batch', team, workClass, demand },
                  event.seconds,
                );
              }
            } else if (event.kind === 'cancel') model.stopJob(`t${event.at}`);
            else if (event.kind === 'zones') model.setZonesOut(event.zones);
            else if (event.kind === 'lose') model.lostWorkers.add(`w${event.worker}`);
            else if (event.kind === 'return') model.lostWorkers.delete(`w${event.worker}`);
            else if (event.kind === 'fail') model.failingWorkers.add(`w${event.worker}`);
            else
              model.state.placement.kindUsage.set({
                ...{
                  id: 'a/batch',
                  coreRatio: event.cores / 10,
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
