import { describe, expect, it } from 'vitest';
import { createJobId, createWorld } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { EntryNode } from '../../support/worldNodes.ts';
import { writeWorldQueues } from '../../support/worldNodes.ts';

const URGENT = createJobId(1);
const BATCH = createJobId(2);

/**
 * Creates a world with an urgent queue at `/q/`, a queue for batch work and a full pool of batch
 * tasks.
 */
function createFullWorld(step: Record<string, unknown>): {
  world: SchedulerWorld;
  entry: EntryNode;
} {
  const { world, entry } = createWorld(1, 2);
  writeWorldQueues(world.store, 2, [{}, { name: 'batch', prefix: '/batch/', priority: 2 }]);
  world.behave = (task) => ({ durationMs: task.startsWith(BATCH) ? 10_000 : 500, end: 'done' });
  world.run(1_500);
  world.submit(entry, BATCH, [{ count: 8, cpuMillis: 2_000, ...step }], {}, { prefix: '/batch/' });
  world.run(1_000);
  return { world, entry };
}

function countRunning(world: SchedulerWorld, jobId: string): number {
  return world.agents
    .flatMap(({ runner }) => [...runner.running.keys()])
    .filter((task) => task.startsWith(jobId)).length;
}

describe('preemption', () => {
  describe('of work that saves its progress', () => {
    it('does not let an urgent job wait for batch work that saves its progress', () => {
      const { world, entry } = createFullWorld({ savesProgress: true });
      expect(countRunning(world, BATCH)).toBe(8);
      world.submit(entry, URGENT, [{ count: 1, cpuMillis: 3_000 }]);
      world.run(1_500);
      expect(world.listStarts(`${URGENT}.0.0.0`)).toHaveLength(1);
      expect(entry.state.counters.get('preemptions')).toBe(2);
    });

    it('does not lose the preempted work', () => {
      const { world, entry } = createFullWorld({ savesProgress: true });
      world.submit(entry, URGENT, [{ count: 1, cpuMillis: 3_000 }]);
      world.run(25_000);
      expect(entry.state.jobs.get(BATCH)?.phase).toBe('completed');
    });

    it.each([
      { name: 'long-running tasks', step: { longRunning: true } },
      { name: 'members of a gang', step: { gang: true } },
    ])('does not stop $name', ({ step }) => {
      const { world, entry } = createFullWorld(step);
      world.submit(entry, URGENT, [{ count: 1, cpuMillis: 3_000 }]);
      world.run(3_000);
      expect(countRunning(world, BATCH)).toBe(8);
    });
  });

  describe('of other work', () => {
    it('does not stop work with much progress that is not saved', () => {
      const { world, entry } = createFullWorld({});
      world.run(3_000);
      world.submit(entry, URGENT, [{ count: 1, cpuMillis: 3_000 }]);
      world.run(2_000);
      expect(countRunning(world, BATCH)).toBe(8);
    });

    it('does not stop anything for a queue of the same urgency, or where capacity is free', () => {
      const { world, entry } = createFullWorld({ savesProgress: true, cpuMillis: 1_000 });
      world.submit(entry, URGENT, [{ count: 1, cpuMillis: 3_000 }]);
      world.submit(
        entry,
        createJobId(3),
        [{ count: 9, cpuMillis: 1_000 }],
        {},
        { prefix: '/batch/' },
      );
      world.run(3_000);
      expect(entry.state.counters.get('preemptions')).toBe(0);
    });
  });
});
