import { describe, expect, it } from 'vitest';
import type { QueueAnswer } from '../../../src/model/scheduler/queueCall.ts';
import { createJobId, createWorld } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { EntryNode } from '../../support/worldNodes.ts';

const JOBS = 4;

/**
 * Creates a world without workers whose jobs wait, and returns its owner and an entry that accepted
 * none.
 */
function createWaitingWorld(): { world: SchedulerWorld; owner: EntryNode; follower: EntryNode } {
  const { world } = createWorld(3, 0);
  const owner = world.owner!;
  const [follower, accepting] = world.entries.filter((entry) => entry !== owner);
  for (let index = 1; index <= JOBS; index += 1)
    world.submit(accepting!, createJobId(index), [{ count: 1 }]);
  world.run(1_000);
  return { world, owner, follower: follower! };
}

function countWaiting(world: SchedulerWorld, entry: EntryNode): QueueAnswer | undefined {
  const callId = world.call(entry, '', { kind: 'read' });
  world.run(50);
  return entry.answers.get(callId);
}

describe('count of waiting jobs', () => {
  describe('at an entry connected to the owner', () => {
    it('does not omit jobs that another entry accepted', () => {
      const { world, follower, owner } = createWaitingWorld();
      for (const entry of [follower, owner])
        expect(countWaiting(world, entry)).toEqual({ kind: 'count', waiting: JOBS });
    });
  });

  describe('at an entry whose link to a slow owner opens late', () => {
    it('does not stay refused after the link has opened', () => {
      const { world } = createWaitingWorld();
      world.links.ownerLinkDelayMs = 1_500;
      const entry = world.addEntry('entry-new');
      world.run(4_000);
      expect(countWaiting(world, entry)).toEqual({ kind: 'count', waiting: JOBS });
    });
  });

  describe('at an entry disconnected from the owner', () => {
    it('does not return an outdated count without the jobs accepted since', () => {
      const { world, owner, follower } = createWaitingWorld();
      const { entries } = world;
      for (const entry of entries) entry.store = 'silent';
      world.kill(owner);
      world.run(2_500);
      expect(countWaiting(world, follower)).toMatchObject({ kind: 'refused', error: 'no_owner' });
    });

    it('does not return zero at an entry that has just started, before it becomes the owner', () => {
      const { world, owner } = createWaitingWorld();
      for (const entry of world.entries) entry.store = 'silent';
      world.kill(owner);
      const entry = world.addEntry('entry-new');
      world.run(500);
      expect(countWaiting(world, entry)).toMatchObject({ kind: 'refused', error: 'no_owner' });
      world.run(3_000);
      expect(countWaiting(world, entry)).toEqual({ kind: 'count', waiting: JOBS });
    });
  });

  describe('at an owner that gets no answers from the store', () => {
    it('does not omit jobs that other entries may have stored meanwhile', () => {
      const { world, owner } = createWaitingWorld();
      for (const entry of world.entries) entry.store = 'silent';
      world.run(2_500);
      expect(countWaiting(world, owner)).toMatchObject({ kind: 'refused', error: 'no_owner' });
    });
  });
});
