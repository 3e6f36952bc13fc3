import { describe, expect, it } from 'vitest';
import { OPERATOR_KEYS } from '../../../src/model/scheduler/queueConfiguration.ts';
import { STORE_KEYS } from '../../../src/model/scheduler/jobRecord.ts';
import { createJobId, createWorld, JOB, readPhase, writeValue } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';

/** Values that a process of this version never writes. */
const UNREADABLE_VALUES: readonly unknown[] = [
  7,
  null,
  'text',
  [],
  {},
  { phase: 'asleep', tasks: 3 },
];

function countLogs(world: SchedulerWorld, event: string): number {
  return world.logs.filter((log) => log.event === event).length;
}

describe('unreadable values in the store', () => {
  describe('jobs and agents', () => {
    it('do not block other jobs, before or after a takeover', () => {
      const { world, entry } = createWorld(2, 2);
      for (const [index, value] of UNREADABLE_VALUES.entries())
        writeValue(world, STORE_KEYS.job(createJobId(100 + index)), value);
      world.submit(entry, JOB, [{ count: 2 }]);
      world.run(3_000);
      expect(readPhase(world, entry)).toBe('completed');
      expect(countLogs(world, 'job_unreadable')).toBe(UNREADABLE_VALUES.length);
      world.kill(world.owner!);
      world.run(6_000);
      const owner = world.owner!;
      world.submit(owner, createJobId(2), [{ count: 2 }]);
      world.run(3_000);
      expect(readPhase(world, owner, createJobId(2))).toBe('completed');
      expect(owner.state.jobs.size).toBe(2);
    });

    it('do not remove a known agent or block the others', () => {
      const { world, entry } = createWorld(1, 2);
      for (const [index, value] of UNREADABLE_VALUES.entries())
        writeValue(world, STORE_KEYS.agent(index === 0 ? 'agent-0' : `stranger-${index}`), value);
      world.run(1_000);
      world.submit(entry, JOB, [{ count: 2, cpuMillis: 8_000 }]);
      world.run(3_000);
      expect(readPhase(world, entry)).toBe('completed');
      expect(countLogs(world, 'agent_unreadable')).toBe(UNREADABLE_VALUES.length);
      expect(entry.state.agents.size).toBe(2);
    });
  });

  describe('progress', () => {
    it.each(UNREADABLE_VALUES)(
      '%j does not leave the job unfinished or crash the owner',
      (value) => {
        const { world, entry } = createWorld(2, 2);
        world.submit(entry, JOB, [{ count: 2 }]);
        world.run(300);
        writeValue(world, STORE_KEYS.progress(JOB), value);
        world.kill(world.owner!);
        world.run(25_000);
        expect(countLogs(world, 'progress_unreadable')).toBeGreaterThan(0);
        expect(readPhase(world, world.owner!)).toBe('completed');
      },
    );
  });

  describe('the owner record', () => {
    it.each(UNREADABLE_VALUES)('%j does not leave the system without an owner', (value) => {
      const { world } = createWorld(2, 1);
      const before = world.owner!.state.ownership.epoch;
      world.kill(world.owner!);
      writeValue(world, STORE_KEYS.owner, value);
      world.run(10_000);
      expect(world.owner?.state.ownership.epoch).toBeGreaterThan(before);
    });
  });

  describe("the operator's keys", () => {
    it.each(UNREADABLE_VALUES)('%j does not replace the configuration in force', (value) => {
      const { world, entry } = createWorld(1, 1);
      writeValue(world, OPERATOR_KEYS.configuration, value);
      world.run(2_000);
      expect(countLogs(world, 'configuration_unreadable')).toBe(1);
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(2_500);
      expect(readPhase(world, entry)).toBe('completed');
    });
  });
});
