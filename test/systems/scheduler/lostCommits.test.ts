import { describe, expect, it } from 'vitest';
import { createWorld, JOB, readPhase } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { EntryNode } from '../../support/worldNodes.ts';
import type { StoreMode } from '../../support/worldStore.ts';

/**
 * Creates a job whose first step has just ended. The store handles the commit of that end in the
 * given mode and answers all later calls.
 */
function createLostCommit(mode: StoreMode): { world: SchedulerWorld; entry: EntryNode } {
  const { world, entry } = createWorld(1, 2);
  world.submit(entry, JOB, [{ count: 1 }, { count: 1, after: [0] }]);
  world.run(900);
  expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(1);
  entry.store = mode;
  while (entry.state.commit.callId === '') world.run(1);
  entry.store = 'up';
  return { world, entry };
}

describe('commit without an answer', () => {
  for (const mode of ['silent', 'answerLost'] as const)
    it(`does not delay starts while the store answers other calls (${mode})`, () => {
      const { world, entry } = createLostCommit(mode);
      world.run(800);
      expect(world.listStarts(`${JOB}.0.1.0`)).toHaveLength(1);
      world.run(3_000);
      expect(readPhase(world, entry)).toBe('completed');
      for (const task of ['0.0.0', '0.1.0'])
        expect(world.listStarts(`${JOB}.${task}`)).toHaveLength(1);
      expect(entry.state.ownership.epoch).toBe(1);
    });
});
