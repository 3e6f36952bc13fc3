import { describe, expect, it } from 'vitest';
import { STORE_KEYS } from '../../../src/model/scheduler/jobRecord.ts';
import { createWorld, JOB, readPhase } from '../../support/jobWorld.ts';
import { SchedulerWorld } from '../../support/schedulerWorld.ts';

describe('ownership', () => {
  describe('with a claim that the store executes late', () => {
    it('is not renewed with the lease of another claim', () => {
      const world = SchedulerWorld.create(1, 1);
      const [entry] = world.entries;
      while (entry!.state.ownership.role !== 'claiming') world.run(1);
      const lease = world.store.handle({ op: 'grantLease', ttlMs: 1_500 });
      const { id: entryId, bootId, address } = entry!.state.self;
      world.store.handle({
        op: 'transact',
        expected: [],
        puts: [
          {
            key: STORE_KEYS.owner,
            value: { entryId, bootId, address, epoch: 1 },
            ...(lease.kind === 'lease' ? { leaseId: lease.leaseId } : {}),
          },
          { key: STORE_KEYS.epoch, value: 1 },
        ],
        deletes: [],
      });
      world.run(4_000);
      const owner = world.store.handle({ op: 'read', key: STORE_KEYS.owner });
      expect(entry!.state.ownership.role).toBe('owner');
      expect(owner).toMatchObject({ entry: { version: entry!.state.ownership.keyVersion } });
    });
  });

  describe('with a claim whose answer is lost', () => {
    it.each([300, 8_000, 12_000])(
      'is not confirmed later than the store was asked when the entry pauses for %i ms',
      (pauseMs) => {
        const world = SchedulerWorld.create(2, 1);
        const [entry, other] = world.entries;
        other!.store = 'silent';
        const { ownership } = entry!.state;
        while (entry!.state.ownership.role !== 'claiming') world.run(1);
        entry!.store = 'answerLost';
        world.run(20);
        entry!.store = 'up';
        // The call that finds the entry's own claim has just been sent.
        while (ownership.role !== 'follower' || ownership.claimAt < world.clock.now + 700)
          world.run(1);
        other!.store = 'up';
        const sentAt = world.clock.now;
        world.freeze(entry!, pauseMs);
        world.run(pauseMs + 1);
        expect(ownership.confirmedAt).toBeLessThanOrEqual(sentAt);
        world.run(3_000);
        const owners = world.entries.filter(({ state }) => state.ownership.role === 'owner');
        expect(owners).toHaveLength(1);
      },
    );
  });

  describe('with a key that is deleted while its lease is renewed', () => {
    it('is not kept beside a new owner when there is nothing to store', () => {
      const { world } = createWorld(2, 1);
      const owner = world.owner!;
      const other = world.entries.find((node) => node !== owner)!;
      const { keyVersion: expectedVersion } = owner.state.ownership;
      owner.store = 'silent';
      world.store.handle({ op: 'delete', key: STORE_KEYS.owner, expectedVersion });
      other.ownerId = '';
      other.loop.receive({ kind: 'ownerLink', isOpen: false });
      world.run(800);
      expect(other.state.ownership.role).toBe('owner');
      owner.store = 'up';
      world.run(2_000);
      expect(owner.state.ownership.role).toBe('follower');
      world.submit(other, JOB, [{ count: 1 }]);
      world.run(2_000);
      expect(readPhase(world, owner)).toBe('completed');
    });
  });

  describe('after a restart of all entries', () => {
    it('is not delayed by a first call that the store never answers', () => {
      const world = SchedulerWorld.create(2, 1);
      for (const node of world.entries) node.store = 'silent';
      world.run(300);
      for (const node of world.entries) node.store = 'up';
      world.run(1_200);
      expect(world.owner).toBeDefined();
      for (const node of world.entries) expect(node.state.self.phase).toBe('serving');
    });
  });

  describe('with an owner that dies', () => {
    it('does not run its tasks again or stay vacant for more than 3 s', () => {
      const { world } = createWorld(3, 2);
      const owner = world.owner!;
      const other = world.entries.find((node) => node !== owner)!;
      world.behave = () => ({ durationMs: 2_000, end: 'done' });
      world.submit(other, JOB, [{ count: 2 }, { count: 1, after: [0] }]);
      world.run(500);
      world.kill(owner);
      world.run(3_000);
      expect(world.owner).toBeDefined();
      world.run(3_000);
      expect(readPhase(world, other)).toBe('completed');
      expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(1);
    });

    it('does not start a task elsewhere while an unreachable worker may still run it', () => {
      const { world } = createWorld(3, 2);
      const owner = world.owner!;
      const other = world.entries.find((node) => node !== owner)!;
      world.behave = () => ({ durationMs: 60_000, end: 'done' });
      world.submit(other, JOB, [{ count: 1 }]);
      world.run(500);
      const agent = world.agents.find(({ runner }) => runner.running.size > 0)!;
      world.kill(owner);
      world.disconnectAgent(agent);
      for (let step = 0; step < 250; step += 1) {
        world.run(100);
        const copies = world.agents.filter(({ runner }) => runner.running.size > 0);
        expect(copies.length).toBeLessThanOrEqual(1);
      }
      expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(2);
    });
  });
});
