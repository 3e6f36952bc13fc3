import { describe, expect, it } from 'vitest';
import { ManualClock } from '../../src/base/common/clock.ts';
import type { RunBehaviour } from '../../src/standins/memoryRunner.ts';
import { MemoryRunner } from '../../src/standins/memoryRunner.ts';

function createRunner(behaviour: RunBehaviour): { clock: ManualClock; runner: MemoryRunner } {
  const clock = ManualClock.create(0);
  return { clock, runner: MemoryRunner.create(clock, 1, () => behaviour) };
}

function start(runner: MemoryRunner, run: number, checkpoint = ''): void {
  const task = 'j.0.0.0';
  const leaseUntilMs = 1e6;
  runner.handle({
    op: 'start',
    task,
    run,
    payload: '',
    fence: 1,
    leaseUntilMs,
    checkpoint,
    ticket: '',
  });
}

describe('MemoryRunner', () => {
  describe('checkpoints', () => {
    const SAVING: RunBehaviour = { durationMs: 4_000, end: 'done', checkpointIntervalMs: 500 };

    it('does not save more work than the task has completed', () => {
      const { clock, runner } = createRunner(SAVING);
      start(runner, 1);
      expect(runner.listRunning()).toMatchObject([{ checkpoint: '' }]);
      clock.advance(1_250);
      expect(runner.listRunning()).toMatchObject([{ checkpoint: '1000', percent: 31 }]);
      runner.handle({ op: 'stop', task: 'j.0.0.0', run: 1, fence: 1 });
      expect(runner.ended).toMatchObject([{ how: 'stopped', checkpoint: '1250' }]);
    });

    it('does not repeat saved work, or lose it before the next checkpoint', () => {
      const { clock, runner } = createRunner(SAVING);
      start(runner, 1, '1250');
      expect(runner.listRunning()).toMatchObject([{ checkpoint: '1250', percent: 31 }]);
      clock.advance(2_750);
      runner.advance();
      expect(runner.ended).toMatchObject([{ run: 1, how: 'done' }]);
    });

    it('does not write checkpoints for a task without a checkpoint interval', () => {
      const { clock, runner } = createRunner({ durationMs: 4_000, end: 'done' });
      start(runner, 1);
      clock.advance(1_250);
      runner.handle({ op: 'stop', task: 'j.0.0.0', run: 1, fence: 1 });
      expect(runner.ended).toMatchObject([{ how: 'stopped', checkpoint: '' }]);
    });
  });
});
