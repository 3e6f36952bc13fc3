import { describe, expect, it } from 'vitest';
import { checkCommitments } from '../../../src/systems/placement/commitmentCheck.ts';
import {
  createBatchPool,
  createDemand,
  createFixture,
  createServicePool,
  listAssigned,
} from './placementFixture.ts';

describe('placement', () => {
  describe('capacity of a worker', () => {
    it('is not exceeded when more tasks are queued than fit', () => {
      const model = createFixture({ workers: 2 });
      for (let at = 0; at < 20; at += 1)
        model.submit({ id: `t${at}`, pool: 'batch', demand: createDemand(3) }, 1_000);
      model.runFor(5_000);
      expect(listAssigned(model)).toHaveLength(6);
      expect(checkCommitments(model.state)).toEqual([]);
    });

    it('does not ignore a reported run without a row in the ledger', () => {
      const model = createFixture({ workers: 1 });
      model.state.runs.set({
        ...{ id: 'ghost#1', taskId: 'ghost', incarnation: 1, workerId: 'w0', phase: 'suspended' },
        ...{ checkpoint: undefined, throttle: 1, leaseUntilMs: 0, sinceMs: 0 },
      });
      model.submit({ id: 't', pool: 'batch' }, 10);
      model.runFor(2_000);
      expect(model.state.tasks.get('t')?.phase).toBe('queued');
      model.state.runs.remove('ghost#1');
      model.runFor(2_000);
      expect(model.state.tasks.get('t')?.phase).toBe('assigned');
    });

    it('is not used by a pool beyond its maximum share', () => {
      const model = createFixture({
        workers: 1,
        pools: [createBatchPool({ maxWorkerShare: 0.5 })],
      });
      for (let at = 0; at < 5; at += 1)
        model.submit({ id: `t${at}`, pool: 'batch', demand: createDemand(2) }, 1_000);
      model.runFor(5_000);
      expect(listAssigned(model)).toHaveLength(2);
    });

    it('does not leave a queued task without a wait reason or an assigned task with one', () => {
      const quotas = [{ team: 'team', limit: createDemand(5, 10_000) }];
      const model = createFixture({ pools: [createBatchPool({ quotas })] });
      for (let at = 0; at < 4; at += 1)
        model.submit({ id: `t${at}`, pool: 'batch', demand: createDemand(2) }, 1_000);
      model.runFor(5_000);
      const { tasks, waits } = model.state;
      const queued = tasks.list().filter((task) => task.phase === 'queued');
      expect(queued).toHaveLength(2);
      for (const task of queued) expect(waits.get(task.id)?.reason).toBeDefined();
      expect(waits.size).toBe(2);
    });

    it('does not let more than two tasks per second start on one worker', () => {
      const model = createFixture({ workers: 1 });
      for (let at = 0; at < 10; at += 1) model.submit({ id: `t${at}`, pool: 'batch' }, 1_000);
      model.runFor(1_000);
      expect(model.state.counters.get('placements')).toBe(2);
      model.runFor(2_000);
      expect(model.state.counters.get('placements')).toBeLessThanOrEqual(6);
    });
  });

  describe('order', () => {
    it('does not place an ordinary task before an urgent task', () => {
      const model = createFixture({ workers: 1 });
      model.submit({ id: 'ordinary', pool: 'batch', demand: createDemand(8) }, 1_000);
      const urgent = { id: 'urgent', pool: 'batch', demand: createDemand(8) };
      model.submit({ ...urgent, workClass: 'urgent' }, 1_000);
      model.runFor(1_000);
      expect(listAssigned(model)).toEqual(['urgent']);
    });

    it('does not let a team with many jobs starve another team', () => {
      const quotas = ['a', 'b'].map((team) => ({ team, limit: createDemand(20, 20_000) }));
      const model = createFixture({ workers: 2, pools: [createBatchPool({ quotas })] });
      for (let at = 0; at < 40; at += 1)
        model.submit({ id: `a${at}`, pool: 'batch', team: 'a', demand: createDemand(2) }, 1_000);
      for (let at = 0; at < 5; at += 1)
        model.submit({ id: `b${at}`, pool: 'batch', team: 'b', demand: createDemand(2) }, 1_000);
      model.runFor(8_000);
      expect(listAssigned(model).filter((id) => id.startsWith('b'))).toHaveLength(5);
    });

    it('does not exceed the quota of a team', () => {
      const quotas = [{ team: 'team', limit: createDemand(5, 10_000) }];
      const model = createFixture({ pools: [createBatchPool({ quotas })] });
      for (let at = 0; at < 10; at += 1)
        model.submit({ id: `t${at}`, pool: 'batch', demand: createDemand(2) }, 1_000);
      model.runFor(5_000);
      expect(listAssigned(model)).toHaveLength(2);
    });
  });

  describe('a job that fits no worker', () => {
    it('does not stay queued forever and does not fail without a reason', () => {
      const model = createFixture();
      model.submit({ id: 'huge', pool: 'batch', demand: createDemand(11) }, 10);
      model.runFor(1_000);
      const task = model.state.tasks.get('huge');
      expect(task?.phase).toBe('failed');
      expect(task?.failure?.kind).toBe('job_never_runs');
      expect(task?.failure?.message).toContain('11 cores');
    });

    it('does not fail before the workers have reported to a new owner', () => {
      const model = createFixture();
      model.state.duties.update('region-1', { takenMs: model.clock.now });
      model.submit({ id: 'huge', pool: 'batch', demand: createDemand(11) }, 10);
      model.runFor(10_000);
      expect(model.state.tasks.get('huge')?.phase).toBe('queued');
    });
  });

  describe('a shard that this entry does not own', () => {
    it('has no task placed by this entry', () => {
      const model = createFixture();
      model.state.duties.update('region-1', { phase: 'recovering' });
      model.submit({ id: 't', pool: 'batch' }, 10);
      model.runFor(2_000);
      expect(model.state.tasks.get('t')?.phase).toBe('queued');
    });
  });

  describe('preemption', () => {
    it('does not leave an urgent task queued while an ordinary task occupies the capacity', () => {
      const model = createFixture({ workers: 1 });
      model.submit({ id: 'long', pool: 'batch', demand: createDemand(10) }, 1_000);
      model.runFor(15_000);
      const urgent = { id: 'urgent', pool: 'batch', demand: createDemand(4) };
      model.submit({ ...urgent, workClass: 'urgent' }, 10);
      model.runFor(3_000);
      expect(model.state.tasks.get('urgent')?.phase).toBe('assigned');
      expect(model.state.tasks.get('long')?.phase).toBe('queued');
    });

    it('does not stop an expensive victim when a cheaper one frees enough capacity', () => {
      const model = createFixture({ workers: 1 });
      model.submit({ id: 'dear', pool: 'batch', demand: createDemand(6) }, 1_000);
      model.submit({ id: 'cheap', pool: 'batch', demand: createDemand(4) }, 1_000);
      model.runFor(15_000);
      const urgent = { id: 'urgent', pool: 'batch', demand: createDemand(3) };
      model.submit({ ...urgent, workClass: 'urgent' }, 10);
      model.runFor(3_000);
      expect(listAssigned(model).sort()).toEqual(['dear', 'urgent']);
    });

    it('does not stop a task of the same class or one that has just started', () => {
      const model = createFixture({ workers: 1 });
      model.submit({ id: 'a', pool: 'batch', demand: createDemand(10) }, 1_000);
      model.runFor(2_000);
      const urgent = { id: 'urgent', pool: 'batch', demand: createDemand(4) };
      model.submit({ ...urgent, workClass: 'urgent' }, 10);
      model.runFor(3_000);
      expect(model.state.tasks.get('a')?.phase).toBe('assigned');
      model.runFor(10_000);
      expect(model.state.counters.get('evictions')).toBe(1);
    });

    it('does not preempt for a team whose quota is exhausted', () => {
      const quotas = [{ team: 'poor', limit: createDemand(1, 10_000) }];
      const model = createFixture({ workers: 1, pools: [createBatchPool({ quotas })] });
      model.submit({ id: 'long', pool: 'batch', demand: createDemand(10) }, 1_000);
      model.runFor(15_000);
      const urgent = { id: 'urgent', pool: 'batch', team: 'poor', demand: createDemand(4) };
      model.submit({ ...urgent, workClass: 'urgent' }, 10);
      model.runFor(3_000);
      expect(model.state.counters.get('evictions')).toBe(0);
    });
  });

  describe('correction of declared sizes', () => {
    it('does not place a task with a demand below the observed usage of its kind', () => {
      const model = createFixture({ workers: 1 });
      const usage = { coreRatio: 4, memoryRatio: 1, sampleCount: 50, runTimeRatio: 1 };
      model.state.placement.kindUsage.set({ id: 'team/batch', ...usage });
      for (let at = 0; at < 5; at += 1) model.submit({ id: `t${at}`, pool: 'batch' }, 1_000);
      model.runFor(5_000);
      expect(listAssigned(model)).toHaveLength(2);
    });

    it('does not raise the demand of small jobs to that of large jobs of the same kind', () => {
      const model = createFixture({ workers: 1 });
      model.submit({ id: 'large', pool: 'batch', demand: createDemand(6) }, 30);
      model.runFor(40_000);
      model.submit({ id: 'small', pool: 'batch', demand: createDemand(1) }, 1_000);
      model.runFor(2_000);
      expect(model.state.tasks.get('small')?.demand.cores).toBe(1);
    });

    it('does not raise the demand again each time the task is placed', () => {
      const model = createFixture({ workers: 1 });
      const usage = { coreRatio: 2, memoryRatio: 1, sampleCount: 50, runTimeRatio: 1 };
      model.state.placement.kindUsage.set({ id: 'team/batch', ...usage });
      model.submit({ id: 't', pool: 'batch', demand: createDemand(2) }, 1_000);
      for (let round = 0; round < 3; round += 1) {
        model.runFor(3_000);
        const task = model.state.tasks.get('t')!;
        model.state.tasks.set({ ...task, stopReason: 'interference' });
      }
      model.runFor(5_000);
      expect(model.state.tasks.get('t')?.incarnation).toBeGreaterThan(2);
      expect(model.state.tasks.get('t')?.demand.cores).toBe(4);
    });

    it('does not raise a demand above the capacity of the largest worker', () => {
      const model = createFixture({ workers: 1 });
      const usage = { coreRatio: 400, memoryRatio: 1e6, sampleCount: 50, runTimeRatio: 1 };
      model.state.placement.kindUsage.set({ id: 'team/batch', ...usage });
      model.submit({ id: 't', pool: 'batch' }, 1_000);
      model.runFor(2_000);
      expect(listAssigned(model)).toEqual(['t']);
    });
  });

  describe('replicas', () => {
    it('do not stay below or above the configured number', () => {
      const model = createFixture({ pools: [createServicePool(5, 'zone')] });
      model.runFor(5_000);
      expect(listAssigned(model)).toHaveLength(5);
      model.setPools([createServicePool(2, 'zone')]);
      model.runFor(5_000);
      expect(listAssigned(model)).toHaveLength(2);
    });

    it('are not concentrated in one zone', () => {
      const model = createFixture({ pools: [createServicePool(6, 'zone')] });
      model.runFor(5_000);
      const zones = [...model.state.tasks.values()].map((task) => task.zone);
      for (const zone of ['za', 'zb', 'zc'])
        expect(zones.filter((other) => other === zone)).toHaveLength(2);
    });

    it('are not concentrated in one rack', () => {
      const model = createFixture({ pools: [createServicePool(6, 'rack')] });
      model.runFor(5_000);
      expect(new Set([...model.state.tasks.values()].map((task) => task.workerId)).size).toBe(6);
    });

    it('do not stay unreplaced beyond the detection time after the loss of a worker', () => {
      const model = createFixture({ pools: [createServicePool(3, 'zone')] });
      model.runFor(5_000);
      const lostWorker = [...model.state.tasks.values()][0]?.workerId ?? '';
      model.lostWorkers.add(lostWorker);
      model.runFor(20_000);
      const assigned = [...model.state.tasks.values()].filter((task) => task.phase === 'assigned');
      expect(assigned.filter((task) => task.stopReason === undefined)).toHaveLength(3);
      expect(
        assigned.filter((task) => task.stopReason === undefined && task.workerId === lostWorker),
      ).toEqual([]);
    });
  });
});
