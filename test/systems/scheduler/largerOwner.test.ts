import { describe, expect, it } from 'vitest';
import { createWorld, JOB, readPhase } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { EntryNode } from '../../support/worldNodes.ts';

const SMALL_CORES = 0.2;

/** A world of three entries, one of which has as much processor time as given. */
function createUnevenWorld(cores: number): {
  world: SchedulerWorld;
  first: EntryNode;
  other: EntryNode;
} {
  const { world } = createWorld(3, 2);
  const first = world.owner!;
  const other = world.entries.find((entry) => entry !== first)!;
  for (const entry of world.entries) entry.state.self.cores = SMALL_CORES;
  other.state.self.cores = cores;
  return { world, first, other };
}

describe('choice of the owner', () => {
  it('does not leave the duty with a small entry while a peer has a larger processor', () => {
    const { world, other } = createUnevenWorld(5 * SMALL_CORES);
    world.submit(other, JOB, [{ count: 4 }, { count: 2, after: [0] }]);
    world.run(6_000);
    expect(world.owner).toBe(other);
    for (const entry of world.entries) expect(readPhase(world, entry)).toBe('completed');
    for (const task of ['0.0.0', '0.0.3', '0.1.0', '0.1.1'])
      expect(world.listStarts(`${JOB}.${task}`)).toHaveLength(1);
  });

  it('does not pass the duty to a peer that is hardly larger', () => {
    const { world, first } = createUnevenWorld(1.5 * SMALL_CORES);
    world.run(6_000);
    expect(world.owner).toBe(first);
    expect(first.state.ownership.epoch).toBe(1);
  });

  it('does not pass the duty to a larger peer that is stopping or that the store turns away', () => {
    for (const disturb of [
      (entry: EntryNode) => (entry.state.self.phase = 'stopping'),
      (entry: EntryNode) => (entry.store = 'refuses'),
    ]) {
      const { world, first, other } = createUnevenWorld(5 * SMALL_CORES);
      disturb(other);
      world.run(6_000);
      expect(world.owner).toBe(first);
    }
  });
});
