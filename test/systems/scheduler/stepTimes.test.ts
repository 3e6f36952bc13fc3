import { describe, expect, it } from 'vitest';
import { createWorld, JOB } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';

function listStepTimes(world: SchedulerWorld): { objective: string; ms: number }[] {
  return world.durations
    .filter(({ name }) => name === 'step_duration_ms')
    .map(({ labels, durationMs }) => ({ objective: labels.objective ?? '', ms: durationMs }));
}

describe('times of steps', () => {
  describe('against their objective', () => {
    it('does not count earlier steps in the duration of a step', () => {
      const { world, entry } = createWorld(1, 2);
      const step = { count: 2, estimatedMs: 1_000 };
      world.submit(entry, JOB, [step, { ...step, after: [0] }]);
      world.run(6_000);
      const times = listStepTimes(world);
      expect(times.map(({ objective }) => objective)).toEqual(['met', 'met']);
      for (const { ms } of times) {
        expect(ms).toBeGreaterThanOrEqual(1_000);
        expect(ms).toBeLessThan(1_500);
      }
    });

    it('does not record a step as in time that waited for capacity', () => {
      const { world, entry } = createWorld(1, 1);
      world.submit(entry, JOB, [{ count: 8, cpuMillis: 3_000, estimatedMs: 1_000 }]);
      world.run(10_000);
      expect(listStepTimes(world)).toMatchObject([{ objective: 'missed' }]);
    });
  });

  describe('with lost start times', () => {
    it('does not record a step as short that an earlier owner started', () => {
      const { world } = createWorld(2, 2);
      world.behave = () => ({ durationMs: 4_000, end: 'done' });
      world.submit(world.owner!, JOB, [{ count: 2, estimatedMs: 4_000 }]);
      world.run(2_000);
      world.kill(world.owner!);
      world.run(12_000);
      expect(world.owner?.state.jobs.get(JOB)?.phase).toBe('completed');
      expect(listStepTimes(world)).toEqual([]);
    });

    it('does not keep start times of jobs that have ended', () => {
      const { world, entry } = createWorld(1, 1);
      world.behave = () => ({ durationMs: 60_000, end: 'done' });
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(500);
      expect(entry.state.stepTimes.size).toBe(1);
      world.call(entry, JOB, { kind: 'cancel' });
      world.run(12_000);
      expect(entry.state.stepTimes.size).toBe(0);
    });
  });
});
