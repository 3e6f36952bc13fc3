import { describe, expect, it } from 'vitest';
import { canEvict } from '../../../src/systems/scheduler/availability.ts';
import { OPERATOR_KEYS } from '../../../src/model/scheduler/queueConfiguration.ts';
import { createJobId, createWorld, JOB } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { EntryNode } from '../../support/worldNodes.ts';
import { writeWorldQueues } from '../../support/worldNodes.ts';

/** Creates a world with a long-running step of four available tasks on two workers. */
function createLongRunningWorld(maxUnavailable: number): {
  world: SchedulerWorld;
  entry: EntryNode;
} {
  const { world, entry } = createWorld(1, 2);
  writeWorldQueues(world.store, 2, [
    { priority: 1 },
    { name: 'urgent', prefix: '/urgent/', priority: 0 },
  ]);
  world.behave = () => ({ durationMs: 1e9, end: 'done', computeLatencyMs: () => 10 });
  world.run(1_500);
  const step = { count: 4, cpuMillis: 4_000, longRunning: true, savesProgress: true };
  world.submit(entry, JOB, [{ ...step, maxUnavailable }]);
  world.run(2_500);
  return { world, entry };
}

describe('long-running tasks', () => {
  describe('while available', () => {
    it.each([
      { name: 'urgent work without capacity', act: submitUrgent },
      { name: 'a zone that goes out of service', act: putZoneOut },
      { name: 'draining workers', act: drainWorkers },
      { name: 'a takeover', act: restartOwner },
    ])('are not stopped for $name', ({ act }) => {
      const { world } = createLongRunningWorld(1);
      expect(countAvailable(world)).toBe(4);
      act(world);
      for (let step = 0; step < 80; step += 1) {
        world.run(100);
        expect(countAvailable(world)).toBe(4);
      }
      for (const index of [0, 1, 2, 3])
        expect(world.listStarts(`${JOB}.0.0.${index}`)).toHaveLength(1);
    });
  });

  describe('to be evicted', () => {
    it('are not more than their step allows', () => {
      const { world, entry } = createLongRunningWorld(2);
      const { state } = entry;
      const [first, second, third] = state.tasksByJob.list(JOB);
      expect(canEvict(state, third!)).toBe(true);
      for (const task of [first!, second!]) {
        const [run] = state.runsByTask.list(task.id);
        state.runs.update(run!.id, { stopReason: 'test' });
      }
      expect(canEvict(state, third!)).toBe(false);
      world.run(100);
    });

    it('are not those of a step with as many unavailable tasks as it allows', () => {
      const { world, entry } = createLongRunningWorld(1);
      const [first, second] = entry.state.tasksByJob.list(JOB);
      const [run] = entry.state.runsByTask.list(first!.id);
      entry.state.runs.update(run!.id, { percent: 40 });
      expect(canEvict(entry.state, second!)).toBe(false);
      expect(canEvict(entry.state, first!)).toBe(true);
      world.run(100);
    });
  });
});

function countAvailable(world: SchedulerWorld): number {
  return world.agents
    .flatMap(({ runner }) => runner.listRunning())
    .filter(({ task, percent }) => task.startsWith(JOB) && percent === 100).length;
}

function submitUrgent(world: SchedulerWorld): void {
  world.submit(
    world.owner!,
    createJobId(9),
    [{ count: 2, cpuMillis: 6_000 }],
    {},
    {
      prefix: '/urgent/',
    },
  );
}

function putZoneOut(world: SchedulerWorld): void {
  const value = { kind: 'zoneOut', zone: 'a' };
  world.store.handle({ op: 'write', key: OPERATOR_KEYS.zoneOut('a'), expectedVersion: 0, value });
}

function drainWorkers(world: SchedulerWorld): void {
  for (const agent of world.agents) world.drainRunner(agent);
}

function restartOwner(world: SchedulerWorld): void {
  world.kill(world.owner!);
  world.addEntry('entry-9');
}
