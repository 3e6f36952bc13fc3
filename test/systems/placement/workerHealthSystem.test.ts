import { describe, expect, it } from 'vitest';
import { createDemand, createFixture } from './placementFixture.ts';

describe('worker health', () => {
  describe('a worker that fails every task', () => {
    it('does not fail more than five starts before its quarantine', () => {
      const model = createFixture();
      model.failingWorkers.add('w0');
      for (let at = 0; at < 40; at += 1)
        model.submit({ id: `t${at}`, pool: 'batch', demand: createDemand(1) }, 1_000);
      model.runFor(9_000);
      const worker = model.state.workers.get('w0');
      expect(worker?.setAsideUntilMs).toBeGreaterThan(model.clock.now);
      expect(model.failedStarts).toBeLessThanOrEqual(5);
      expect([...model.state.tasks.values()].filter((task) => task.phase === 'failed')).toEqual([]);
    });

    it('does not get several tasks at once on probation and is not retried without backoff', () => {
      const model = createFixture({ workers: 2 });
      model.failingWorkers.add('w0');
      for (let at = 0; at < 60; at += 1)
        model.submit({ id: `t${at}`, pool: 'batch', demand: createDemand(1) }, 1_000);
      model.runFor(60_000);
      expect(model.state.placement.health.get('w0')?.backoffMs).toBeGreaterThanOrEqual(40_000);
      expect(model.failedStarts).toBeLessThanOrEqual(9);
    });

    it('does not stay in quarantine after a successful start on probation', () => {
      const model = createFixture({ workers: 2 });
      model.failingWorkers.add('w0');
      for (let at = 0; at < 60; at += 1)
        model.submit({ id: `t${at}`, pool: 'batch', demand: createDemand(1) }, 1_000);
      model.runFor(8_000);
      expect(model.state.placement.health.get('w0')?.isOnProbation).toBe(true);
      model.failingWorkers.clear();
      model.runFor(40_000);
      expect(model.state.placement.health.has('w0')).toBe(false);
      expect(model.state.workers.get('w0')?.setAsideUntilMs).toBe(0);
    });
  });

  describe('a job that fails on every worker', () => {
    it('is not started on more than three workers and puts none of them on probation', () => {
      const model = createFixture();
      model.failingTasks.add('bad');
      model.submit({ id: 'bad', pool: 'batch' }, 10);
      model.runFor(20_000);
      expect(model.state.tasks.get('bad')?.phase).toBe('failed');
      expect(model.failedStarts).toBe(3);
      expect([...model.state.placement.health.values()].filter((row) => row.isOnProbation)).toEqual(
        [],
      );
    });

    it('does not stay queued forever in a pool with fewer than three workers', () => {
      const model = createFixture({ workers: 2 });
      model.failingTasks.add('bad');
      model.submit({ id: 'bad', pool: 'batch' }, 10);
      model.runFor(20_000);
      expect(model.state.tasks.get('bad')?.phase).toBe('failed');
      expect(model.failedStarts).toBe(3);
    });

    it('does not exclude the only worker of a pool after its starts failed temporarily', () => {
      const model = createFixture({ workers: 1 });
      model.failingWorkers.add('w0');
      model.submit({ id: 'good', pool: 'batch' }, 10);
      model.runFor(1_500);
      expect(model.failedStarts).toBeGreaterThan(0);
      model.failingWorkers.clear();
      model.runFor(20_000);
      expect(model.state.tasks.get('good')?.phase).toBe('finished');
    });
  });
});
