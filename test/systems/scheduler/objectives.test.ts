import { describe, expect, it } from 'vitest';
import { createJobId, createWorld } from '../../support/jobWorld.ts';
import { writeWorldQueues } from '../../support/worldNodes.ts';

describe('objectives of queues', () => {
  describe('of different queues', () => {
    it('does not judge a job by the stretch or the latency objective of another queue', () => {
      const { world, entry } = createWorld(1, 4);
      writeWorldQueues(world.store, 2, [
        { name: 'short', prefix: '/short/', stretch: 1, latencyObjectiveMs: 100 },
        { name: 'stretched', prefix: '/stretched/', stretch: 5, latencyObjectiveMs: 100 },
        { name: 'patient', prefix: '/patient/', stretch: 1, latencyObjectiveMs: 5_000 },
      ]);
      world.run(1_500);
      world.behave = () => ({ durationMs: 2_000, end: 'done' });
      for (const [index, name] of ['short', 'stretched', 'patient'].entries())
        world.submit(
          entry,
          createJobId(index + 1),
          [{ count: 2, estimatedMs: 1_000 }],
          {},
          {
            prefix: `/${name}/`,
          },
        );
      world.run(5_000);
      const outcomes = world.durations
        .filter(({ name }) => name === 'job_duration_ms')
        .map(({ labels }) => `${labels.queue}: ${labels.objective}`);
      expect(outcomes.sort()).toEqual(['patient: met', 'short: missed', 'stretched: met']);
    });
  });

  describe('of jobs with parallel steps', () => {
    it('does not add up the estimates of parallel steps', () => {
      const { world, entry } = createWorld(1, 4);
      world.behave = () => ({ durationMs: 2_000, end: 'done' });
      const step = { count: 1, estimatedMs: 500 };
      world.submit(entry, createJobId(1), [step, step, step, step]);
      world.submit(entry, createJobId(2), [step, { ...step, after: [0] }, { ...step, after: [1] }]);
      world.run(9_000);
      const outcomes = world.durations
        .filter(({ name }) => name === 'job_duration_ms')
        .map(({ labels, durationMs }) => [labels.objective, Math.floor(durationMs / 1_000)]);
      // Stretch 2 plus 500 ms: 1.5 s for parallel steps, 3.5 s for three sequential ones.
      expect(outcomes).toEqual([
        ['missed', 2],
        ['missed', 6],
      ]);
    });
  });
});
