import { describe, expect, it } from 'vitest';
import { createWorld, JOB, readPhase } from '../../support/jobWorld.ts';
import { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { EntryNode } from '../../support/worldNodes.ts';

const SMALL_CORES = 0.2;

/** Creates a world of three small entries; one that is not the owner gets the given cores. */
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

/**
 * Delays the owner's messages to the entry. The returned function delivers the due ones, except
 * those of a link that has been replaced.
 */
function delayOwnerMessages(world: SchedulerWorld, entry: EntryNode, delayMs: number): () => void {
  const { loop } = entry;
  const receive = loop.receive.bind(loop);
  const delayed: {
    readonly dueAt: number;
    readonly attempt: number;
    readonly deliver: () => void;
  }[] = [];
  loop.receive = (arrival) => {
    if (arrival.kind !== 'ownerMessage') {
      receive(arrival);
      return;
    }
    const deliver = (): void => {
      receive(arrival);
      loop.runTick();
    };
    delayed.push({ dueAt: world.clock.now + delayMs, attempt: entry.ownerAttempt, deliver });
  };
  return () => {
    while ((delayed[0]?.dueAt ?? Number.POSITIVE_INFINITY) <= world.clock.now) {
      const due = delayed.shift();
      if (due?.attempt === entry.ownerAttempt) due.deliver();
    }
  };
}

describe('owner selection', () => {
  it('does not leave ownership with a small entry while a peer has a larger processor', () => {
    const { world, other } = createUnevenWorld(5 * SMALL_CORES);
    world.submit(other, JOB, [{ count: 4 }, { count: 2, after: [0] }]);
    world.run(6_000);
    expect(world.owner).toBe(other);
    for (const entry of world.entries) expect(readPhase(world, entry)).toBe('completed');
    for (const task of ['0.0.0', '0.0.3', '0.1.0', '0.1.1'])
      expect(world.listStarts(`${JOB}.${task}`)).toHaveLength(1);
  });

  it('does not hand ownership off to a peer that is only slightly larger', () => {
    const { world, first } = createUnevenWorld(1.5 * SMALL_CORES);
    world.run(6_000);
    expect(world.owner).toBe(first);
    expect(first.state.ownership.epoch).toBe(1);
  });

  it('does not hand ownership off to a larger peer that is stopping or that the store refuses', () => {
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

  describe('after an owner with a large processor', () => {
    /** Creates entries with the given numbers of cores; the last one is the owner. */
    function createMixedWorld(cores: readonly number[]): SchedulerWorld {
      const world = SchedulerWorld.create(0, 2);
      const last = world.addEntry(`entry-${cores.length - 1}`);
      last.state.self.cores = cores.at(-1)!;
      world.run(1_000);
      for (const [index, own] of cores.slice(0, -1).entries())
        world.addEntry(`entry-${index}`).state.self.cores = own;
      world.run(3_000);
      expect(world.owner).toBe(last);
      return world;
    }

    it('does not choose a small entry when the store refuses the owner and a larger one is available', () => {
      const world = createMixedWorld([SMALL_CORES, SMALL_CORES, 1, 1]);
      world.owner!.store = 'refuses';
      world.run(1_200);
      expect(world.owner?.state.self.cores).toBe(1);
      expect(world.owner?.state.ownership.epoch).toBe(2);
    });

    it('does not wait for a larger entry that does not exist when the store refuses the owner', () => {
      const world = createMixedWorld([SMALL_CORES, SMALL_CORES, 1]);
      world.owner!.store = 'refuses';
      world.run(1_500);
      expect(world.owner?.state.self.cores).toBe(SMALL_CORES);
    });

    it('does not choose a small entry when the owner dies and a larger one is available', () => {
      for (let offsetMs = 0; offsetMs < 200; offsetMs += 20) {
        const world = createMixedWorld([SMALL_CORES, SMALL_CORES, SMALL_CORES, 1, 1]);
        world.run(offsetMs);
        world.kill(world.owner!);
        world.run(2_000);
        expect(world.owner?.state.self.cores).toBe(1);
        expect(world.owner?.state.ownership.epoch).toBe(2);
      }
    });

    it('does not leave the system without an owner for more than 2 s when only small entries remain', () => {
      const world = createMixedWorld([SMALL_CORES, SMALL_CORES, 1]);
      world.kill(world.owner!);
      world.run(2_000);
      expect(world.owner?.state.self.cores).toBe(SMALL_CORES);
    });
  });

  it('does not leave ownership with a small entry whose first status update arrives after a check of the owner key', () => {
    const { world, first } = createUnevenWorld(SMALL_CORES);
    const later = world.addEntry('later');
    later.state.self.cores = 5 * SMALL_CORES;
    const deliverMessages = delayOwnerMessages(world, later, 500);
    expect(world.owner).toBe(first);
    for (let step = 0; step < 300; step += 1) {
      world.run(20);
      deliverMessages();
    }
    expect(world.owner).toBe(later);
  });
});
