import { describe, expect, it } from 'vitest';
import { buildJobExplanation } from '../../../src/systems/scheduler/jobExplanation.ts';
import { createWorld, JOB, TASK } from '../../support/jobWorld.ts';

describe('reasons why a task waits', () => {
  describe('with a label that only a closed worker has', () => {
    it('do not hide why that worker accepts nothing', () => {
      const { world, entry } = createWorld(1, 2);
      const labelled = world.addAgent('labelled', { labels: ['large'] });
      world.behaveOn = (agent) => ({
        durationMs: 50,
        end: agent === labelled ? 'failed' : 'done',
      });
      world.run(1_000);
      world.submit(entry, JOB, [{ longRunning: true, requiredLabel: 'large' }]);
      world.run(1_000);
      expect(world.listStarts(TASK)).toHaveLength(3);
      const explanation = buildJobExplanation(entry.state, JOB, world.clock.now);
      if (explanation.kind !== 'job') throw new Error(`explained as ${explanation.kind}`);
      expect(explanation.steps[0]?.why).toContain(
        'no room: without the label large (2 workers); it has rejected or failed work (1 worker)',
      );
    });
  });
});
