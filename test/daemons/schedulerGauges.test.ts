import { describe, expect, it } from 'vitest';
import { listSchedulerGauges } from '../../src/daemons/schedulerGauges.ts';
import { createWorld, JOB } from '../support/jobWorld.ts';
import type { SchedulerWorld } from '../support/schedulerWorld.ts';
import type { EntryNode } from '../support/worldNodes.ts';
import { writeWorldQueues } from '../support/worldNodes.ts';

/** Returns the value of the gauge with these labels; undefined when it is not listed. */
function readGauge(
  world: SchedulerWorld,
  entry: EntryNode,
  name: string,
  labels: Readonly<Record<string, string>> = {},
): number | undefined {
  return listSchedulerGauges(entry.state, world.clock.now).find(
    (sample) =>
      sample.name === name &&
      Object.entries(labels).every(([label, value]) => sample.labels[label] === value),
  )?.value;
}

describe('gauges of an entry', () => {
  describe('of capacity', () => {
    const CPU = { service: 'svc', zone: 'a', resource: 'cpu_millis' };
    const MEMORY = { ...CPU, resource: 'memory_mb' };

    it('do not mix used and free capacity', () => {
      const { world, entry } = createWorld(1, 2);
      world.submit(entry, JOB, [{ count: 3, cpuMillis: 2_000, memoryMb: 100 }]);
      world.run(500);
      expect(readGauge(world, entry, 'room_used', CPU)).toBe(6_000);
      expect(readGauge(world, entry, 'room_free', CPU)).toBe(10_000);
      expect(readGauge(world, entry, 'room_used', MEMORY)).toBe(300);
      expect(readGauge(world, entry, 'room_free', MEMORY)).toBe(19_700);
    });

    it('do not count best-effort tasks as used processors', () => {
      const { world, entry } = createWorld(1, 1);
      world.submit(entry, JOB, [{ count: 2, cpuMillis: 2_000, memoryMb: 100, fills: true }]);
      world.run(500);
      expect(readGauge(world, entry, 'room_used', CPU)).toBe(0);
      expect(readGauge(world, entry, 'room_used', MEMORY)).toBe(200);
    });

    it('do not report the capacity of draining workers as free', () => {
      const { world, entry } = createWorld(1, 2);
      world.drainRunner(world.agents[0]!);
      world.run(1_500);
      expect(readGauge(world, entry, 'room_free', CPU)).toBe(8_000);
      world.drainRunner(world.agents[1]!);
      world.run(1_500);
      expect(readGauge(world, entry, 'room_free', CPU)).toBe(0);
    });
  });

  describe('of queues', () => {
    it('do not mix the waiting tasks of two queues', () => {
      const { world, entry } = createWorld(1, 1);
      writeWorldQueues(world.store, 2, [{}, { name: 'other', prefix: '/other/' }]);
      world.run(1_500);
      world.behave = () => ({ durationMs: 9_000, end: 'done' });
      world.submit(entry, JOB, [{ count: 3, cpuMillis: 8_000 }]);
      world.run(100);
      world.submit(
        entry,
        '00000000000000a2',
        [{ count: 1, cpuMillis: 8_000 }],
        {},
        {
          prefix: '/other/',
        },
      );
      world.run(300);
      expect(readGauge(world, entry, 'queue_waiting_tasks', { queue: 'queue' })).toBe(2);
      expect(readGauge(world, entry, 'queue_waiting_tasks', { queue: 'other' })).toBe(1);
    });
  });

  describe('of ages', () => {
    it('do not omit the time since the last confirmation by the store', () => {
      const { world, entry } = createWorld(1, 1);
      world.run(1_000);
      expect(readGauge(world, entry, 'configuration_age_ms')).toBeLessThan(1_500);
      expect(readGauge(world, entry, 'ownership_age_ms')).toBeLessThan(1_000);
      entry.store = 'silent';
      world.run(3_000);
      expect(readGauge(world, entry, 'configuration_age_ms')).toBeGreaterThan(2_500);
      expect(readGauge(world, entry, 'ownership_age_ms')).toBeGreaterThan(2_500);
    });

    it('do not report capacity or ownership at an entry that is not the owner', () => {
      const { world } = createWorld(2, 1);
      const follower = world.entries.find((entry) => entry !== world.owner)!;
      expect(readGauge(world, follower, 'is_owner')).toBe(0);
      expect(readGauge(world, follower, 'ownership_age_ms')).toBeUndefined();
      expect(readGauge(world, follower, 'room_free')).toBeUndefined();
      expect(readGauge(world, follower, 'configuration_age_ms')).toBeDefined();
    });
  });
});
