import { performance } from 'node:perf_hooks';
import { describe, expect, it, vi } from 'vitest';
import { createJobId, createWorld } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { EntryNode } from '../../support/worldNodes.ts';
import { writeWorldQueues } from '../../support/worldNodes.ts';

const WORKERS = 12;
const JOBS = 10;
const REPETITIONS = 3;
const BEST_EFFORT_JOBS = 24;

/**
 * Creates a pool full of batch work that cannot free enough capacity for the urgent jobs waiting
 * for it.
 */
function createBacklog(tasksPerJob: number): { world: SchedulerWorld; entry: EntryNode } {
  const { world, entry } = createWorld(1, WORKERS);
  writeWorldQueues(world.store, 2, [{}, { name: 'batch', prefix: '/batch/', priority: 2 }]);
  world.behave = () => ({ durationMs: 600_000, end: 'done' });
  world.run(1_500);
  const batch = { count: 8 * WORKERS, cpuMillis: 1_000, savesProgress: true };
  world.submit(entry, createJobId(1), [batch], {}, { prefix: '/batch/' });
  world.run(1_000);
  for (let index = 0; index < JOBS; index += 1)
    world.submit(entry, createJobId(10 + index), [{ count: tasksPerJob, cpuMillis: 6_000 }]);
  world.run(1_000);
  return { world, entry };
}

/**
 * Measures the duration of the owner's ticks in 1 s; the minimum of several, as the host may be
 * busy.
 */
function measureTicks({ world, entry }: { world: SchedulerWorld; entry: EntryNode }): number {
  const { loop } = entry;
  let elapsedMs = 0;
  const runTick = loop.runTick.bind(loop);
  loop.runTick = () => {
    const startedAt = performance.now();
    const wakeAt = runTick();
    elapsedMs += performance.now() - startedAt;
    return wakeAt;
  };
  let minMs = Number.POSITIVE_INFINITY;
  for (let repetition = 0; repetition < REPETITIONS; repetition += 1) {
    elapsedMs = 0;
    world.run(1_000);
    minMs = Math.min(minMs, elapsedMs);
  }
  return minMs;
}

/** Returns the largest number of passes over the table of workers in a tick of the next 3 s. */
function countMaxPasses(world: SchedulerWorld, { loop, state }: EntryNode): number {
  const passes = vi.spyOn(state.workers, 'values');
  let maxPasses = 0;
  const runTick = loop.runTick.bind(loop);
  loop.runTick = () => {
    passes.mockClear();
    const wakeAt = runTick();
    maxPasses = Math.max(maxPasses, passes.mock.calls.length);
    return wakeAt;
  };
  world.run(3_000);
  return maxPasses;
}

describe('backlog', () => {
  describe('of urgent tasks in a full pool', () => {
    it('does not lengthen the ticks of the owner with each waiting task of a step', () => {
      const shortStepMs = measureTicks(createBacklog(10));
      const longStepMs = measureTicks(createBacklog(300));
      expect(longStepMs).toBeLessThan(8 * shortStepMs);
    });
  });

  describe('of throttled best-effort tasks', () => {
    it('does not collect the free capacity of all workers again for each throttled task', () => {
      const { world, entry } = createWorld(1, 1);
      let slack = 3;
      world.behave = (task) =>
        task.startsWith(createJobId(1))
          ? {
              durationMs: 1_000,
              end: 'done',
              isStalled: true,
              computeLatencyMs: () => 100 / slack,
            }
          : { durationMs: 60_000, end: 'done' };
      const serving = { longRunning: true, targetMs: 100, image: 'serving', cpuMillis: 2_000 };
      world.submit(entry, createJobId(1), [{ count: 1, ...serving }]);
      world.run(3_000);
      const bestEffort = { fills: true, image: 'filling', savesProgress: true, cpuMillis: 200 };
      for (let index = 0; index < BEST_EFFORT_JOBS; index += 1)
        world.submit(entry, createJobId(10 + index), [{ count: 1, ...bestEffort }]);
      world.run(3_000);
      expect(entry.state.runs.size).toBe(1 + BEST_EFFORT_JOBS);
      slack = 0.2;
      expect(countMaxPasses(world, entry)).toBeLessThan(BEST_EFFORT_JOBS / 2);
    });
  });
});
