import { describe, expect, it } from 'vitest';
import { createJobId, createWorld } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';

const SERVING = createJobId(1);
const TARGET_MS = 100;
const LARGE_JOBS = 10;
/** Three times the objective by the queue of the world, which is twice 2 s plus 0.5 s. */
const LATE_MS = 13_500;

/**
 * Creates two serving tasks with little slack on a large worker, and a small worker with capacity
 * for them.
 */
function createSpreadWorld(): SchedulerWorld {
  const { world, entry } = createWorld(1, 0);
  world.behave = (task) =>
    task.startsWith(SERVING)
      ? {
          durationMs: 0,
          end: 'done',
          isStalled: true,
          computeLatencyMs: (others) => TARGET_MS / Math.max(0.2, 1.6 - 0.5 * others),
        }
      : { durationMs: 2_000, end: 'done' };
  world.addAgent('large', { cpuMillis: 64_000 });
  world.run(2_000);
  const serving = { longRunning: true, mayMiss: 1, targetMs: TARGET_MS, image: 'serving' };
  world.submit(entry, SERVING, [{ count: 2, cpuMillis: 4_000, ...serving }]);
  world.run(2_000);
  world.addAgent('small', { cpuMillis: 10_000 });
  world.run(2_000);
  return world;
}

describe('serving tasks', () => {
  it('do not block large jobs by staying on a large worker while a small one has capacity', () => {
    const world = createSpreadWorld();
    const [entry] = world.entries;
    for (let index = 0; index < LARGE_JOBS; index += 1)
      world.submit(entry!, createJobId(10 + index), [
        { count: 2, cpuMillis: 7_000, fills: true, image: 'large' },
      ]);
    world.run(LATE_MS);
    const completed = [...entry!.state.jobs.values()].filter(({ phase }) => phase === 'completed');
    expect(completed).toHaveLength(LARGE_JOBS);
    const running = world.agents.flatMap(({ runner }) => runner.listRunning());
    expect(running.filter(({ task }) => task.startsWith(SERVING))).toHaveLength(2);
  });
});
