import { describe, expect, it } from 'vitest';
import { checkCommitments } from '../../../src/systems/placement/commitmentCheck.ts';
import type { WorkerModel } from '../../../bench/workerModel.ts';
import {
  createBatchPool,
  createDemand,
  createFixture,
  createServicePool,
} from '../placement/placementFixture.ts';

function countAssigned(model: WorkerModel, zone: string): number {
  return [...model.state.tasks.values()].filter(
    (task) => task.phase === 'assigned' && task.zone === zone,
  ).length;
}

function createBusyModel(): WorkerModel {
  const model = createFixture({ pools: [createBatchPool(), createServicePool(3, 'zone')] });
  for (let at = 0; at < 24; at += 1)
    model.submit({ id: `t${at}`, pool: 'batch', demand: createDemand(1) }, 10_000);
  model.runFor(15_000);
  return model;
}

describe('zone evacuation', () => {
  describe('a zone that goes out of service', () => {
    it('does not keep any task', () => {
      const model = createBusyModel();
      expect(countAssigned(model, 'za')).toBeGreaterThan(0);
      model.setZonesOut(['za']);
      model.runFor(40_000);
      expect(countAssigned(model, 'za')).toBe(0);
      expect(checkCommitments(model.state)).toEqual([]);
    });

    it('does not have more than a quarter of its tasks checkpointed at a time', () => {
      const model = createBusyModel();
      const initialCount = countAssigned(model, 'za');
      model.setZonesOut(['za']);
      let maxStopping = 0;
      model.runFor(40_000, () => {
        const stopping = [...model.state.tasks.values()].filter(
          (task) => task.phase === 'assigned' && task.stopReason === 'zone-out',
        );
        maxStopping = Math.max(maxStopping, stopping.length);
      });
      expect(maxStopping).toBeGreaterThan(0);
      expect(maxStopping).toBeLessThanOrEqual(Math.max(1, Math.floor(initialCount / 4)));
    });

    it('does not lower the number of running replicas', () => {
      const model = createBusyModel();
      model.setZonesOut(['za']);
      let minRunning = 99;
      model.runFor(40_000, () => {
        const running = [...model.state.runs.values()].filter(
          (run) => run.phase === 'running' && model.state.tasks.get(run.taskId)?.service === 'kit',
        );
        minRunning = Math.min(minRunning, running.length);
      });
      expect(minRunning).toBeGreaterThanOrEqual(3);
      expect(countAssigned(model, 'za')).toBe(0);
    });

    it('does not move other tasks before the one with the least deadline slack', () => {
      const model = createFixture({ workers: 3 });
      for (let at = 0; at < 8; at += 1) {
        const deadlineSeconds = at === 5 ? 200 : 5_000;
        const task = { id: `t${at}`, pool: 'batch', demand: createDemand(1), deadlineSeconds };
        model.submit({ ...task, expectedSeconds: 100 }, 10_000);
      }
      model.runFor(8_000);
      const zone = model.state.tasks.get('t5')?.zone ?? '';
      model.setZonesOut([zone]);
      model.runFor(100);
      const firstStopped = [...model.state.pendingChanges.values()].map((row) => row.id);
      expect(firstStopped).toEqual(['t5']);
    });
  });

  describe('a zone that returns to service', () => {
    it('does not cause evictions', () => {
      const model = createBusyModel();
      model.setZonesOut(['za']);
      model.runFor(40_000);
      const evictionsBefore = model.state.counters.get('evictions');
      model.setZonesOut([]);
      model.runFor(30_000);
      expect(model.state.counters.get('evictions')).toBe(evictionsBefore);
    });
  });

  describe('consecutive changes', () => {
    it('do not lose tasks when a zone returns during its evacuation and another one goes out', () => {
      const model = createBusyModel();
      for (const zones of [['za'], [], ['zb'], ['zb', 'za'], ['za'], []]) {
        model.setZonesOut(zones);
        model.runFor(1_700);
        expect(checkCommitments(model.state)).toEqual([]);
      }
      model.runFor(30_000);
      const batch = [...model.state.tasks.values()].filter((task) => task.service === undefined);
      expect(batch.filter((task) => task.phase === 'assigned')).toHaveLength(24);
    });
  });
});
