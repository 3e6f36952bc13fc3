import { describe, expect, it } from 'vitest';
import { STORE_KEYS } from '../../../src/model/scheduler/jobRecord.ts';
import { countPeakRuns, TASK } from '../../support/jobWorld.ts';
import {
  createLastingWorld,
  findHost,
  loseWorker,
  measureIdleTime,
  replaceProcess,
  restartEntry,
} from '../../support/lostWorkers.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { AgentNode, EntryNode } from '../../support/worldNodes.ts';

/** The run of a lost worker must be replaced in this time after the loss of an owner. */
const IDLE_AFTER_DISRUPTION_MS = 10_000;
/** Longer than any lease that a cut off owner may have granted. */
const OBSERVED_MS = 25_000;
/** Times after the start of the run at which the owner is cut off. */
const OFFSETS_MS = [0, 300, 700, 1_100];

describe.each([6_000, 10_000])('with leases of up to %d ms, an earlier owner', (holdMaxMs) => {
  describe('that keeps the only link to the agent of a run', () => {
    it.each([
      ['cut off from the store and the entries', isolateOwner],
      ['frozen for 4.5 s', freezeOwner(4_500, false)],
      ['frozen for 9 s', freezeOwner(9_000, false)],
      ['suspended for 4.5 s', freezeOwner(4_500, true)],
      ['suspended for 9 s', freezeOwner(9_000, true)],
      ['beside an entry that the store does not serve either', isolateWithFollower],
      ['beside a follower that is lost', isolateAndKillFollower],
    ])('does not keep it running beside the next one when %s', (_, act) => {
      for (const offsetMs of OFFSETS_MS) {
        const { world, agent } = createLastingWorld(holdMaxMs);
        world.run(offsetMs);
        keepPresentLinks(agent);
        act(world, world.owner!);
        const peak = countPeakRuns(world, OBSERVED_MS);
        expect({ offsetMs, peak }).toEqual({ offsetMs, peak: 1 });
      }
    });

    it('does not keep it running beside an owner that it does not know', () => {
      for (const offsetMs of OFFSETS_MS) {
        const { world, agent } = createLastingWorld(holdMaxMs);
        const owner = world.owner!;
        world.run(offsetMs);
        keepPresentLinks(agent);
        for (const entry of world.entries) entry.store = 'silent';
        world.links.closeEntries(owner, world.addEntry('stranger'));
        const peak = countPeakRuns(world, OBSERVED_MS);
        expect(owner.state.ownership.role).not.toBe('owner');
        expect({ offsetMs, peak }).toEqual({ offsetMs, peak: 1 });
      }
    });

    it('does not keep it running beside the second owner that it does not know', () => {
      const { world, agent } = createLastingWorld(holdMaxMs);
      const owner = world.owner!;
      keepPresentLinks(agent);
      for (const entry of world.entries) entry.store = 'silent';
      const strangers = ['stranger-1', 'stranger-2'].map((id) => world.addEntry(id));
      for (const stranger of strangers) world.links.closeEntries(owner, stranger);
      const next = runUntilNextOwner(world, owner);
      world.run(500);
      world.kill(next);
      expect(countPeakRuns(world, OBSERVED_MS)).toBe(1);
    });

    it('does not keep it running when the one after it is lost too', () => {
      for (const offsetMs of OFFSETS_MS) {
        const { world, agent } = createLastingWorld(holdMaxMs);
        world.run(offsetMs);
        keepPresentLinks(agent);
        const earlier = world.owner!;
        isolateOwner(world, earlier);
        const next = runUntilNextOwner(world, earlier);
        world.run(100);
        world.kill(next);
        const peak = countPeakRuns(world, OBSERVED_MS);
        expect({ offsetMs, peak }).toEqual({ offsetMs, peak: 1 });
      }
    });
  });

  describe('that is cut off from the store with all other entries', () => {
    it.each(['silent', 'refuses'] as const)(
      'does not let its runs lapse for 10 s while the store is %s',
      (mode) => {
        const { world, agent } = createLastingWorld(holdMaxMs);
        for (const entry of world.entries) entry.store = mode;
        world.run(10_000);
        for (const entry of world.entries) entry.store = 'up';
        world.run(5_000);
        expect(findHost(world)).toBe(agent);
        expect(world.listStarts(TASK)).toHaveLength(1);
      },
    );
  });

  describe('of a worker that is lost with its agent for good', () => {
    it.each([1, 2, 3])('does not make the task wait anew at the loss of %i owners', (owners) => {
      const { world, agent } = createLastingWorld(holdMaxMs);
      loseForGood(world, agent);
      for (let index = 0; index < owners; index += 1) {
        world.run(300);
        restartEntry(world, world.owner!);
        if (index < owners - 1) world.run(2_500);
      }
      expect(measureIdleTime(world, 30_000)).toBeLessThan(IDLE_AFTER_DISRUPTION_MS);
      expect(world.listStarts(TASK)).toHaveLength(2);
    });

    it('does not make the task wait long for its own next process', () => {
      const { world, agent } = createLastingWorld(holdMaxMs);
      loseForGood(world, agent);
      for (const entry of [...world.entries]) if (entry !== world.owner) world.kill(entry);
      world.run(100);
      replaceProcess(world, world.owner!, 200);
      expect(measureIdleTime(world, 30_000)).toBeLessThan(IDLE_AFTER_DISRUPTION_MS);
    });

    it.each([300, 1_200, 3_000])(
      'does not make the task wait long when all entries are lost for %i ms',
      (downMs) => {
        for (let owners = 1; owners <= 2; owners += 1) {
          const { world, agent } = createLastingWorld(holdMaxMs);
          loseForGood(world, agent);
          world.run(500);
          for (let index = 0; index < owners; index += 1) {
            for (const entry of [...world.entries]) replaceProcess(world, entry, downMs);
            world.run(downMs + 2_500);
          }
          const lostAt = world.clock.now - 2_500;
          measureIdleTime(world, 30_000);
          const idleMs = world.clock.now - lostAt;
          expect({ owners, isInTime: idleMs < IDLE_AFTER_DISRUPTION_MS }).toEqual({
            owners,
            isInTime: true,
          });
        }
      },
    );

    it('does not make the task wait longer than before at an owner that it does not know', () => {
      const { world, agent } = createLastingWorld(holdMaxMs);
      loseForGood(world, agent);
      const { entries } = world;
      world.addEntry('stranger');
      for (const entry of entries.slice(0, 3)) world.kill(entry);
      expect(measureIdleTime(world, 30_000)).toBeLessThan(18_000);
    });
  });
});

describe('an entry', () => {
  it('does not rely on an owner of an earlier build, which does not answer', () => {
    const { world, agent } = createLastingWorld(6_000);
    for (const { state } of world.entries)
      state.ownership.followed = { ...state.ownership.followed, epoch: 0 };
    loseForGood(world, agent);
    world.kill(world.owner!);
    world.run(9_000);
    expect(world.listStarts(TASK)).toHaveLength(1);
  });

  it('does not claim without a record that outlasts its lease', () => {
    const { world } = createLastingWorld(6_000);
    const read = world.store.handle({ op: 'read', key: STORE_KEYS.lastOwner });
    expect(read.kind === 'entry' ? read.entry.value : undefined).toMatchObject({
      epoch: 1,
      entryId: 'entry-0',
      earlierGrantsMs: 0,
    });
  });
});

/** Closes the agent to new links; the owner keeps its own. */
function keepPresentLinks(agent: AgentNode): void {
  agent.isReachable = false;
}

function loseForGood(world: SchedulerWorld, agent: AgentNode): void {
  loseWorker(agent);
  world.disconnectAgent(agent);
  agent.frozenArrivals = [];
}

/** Cuts an owner off from the store and from all other entries. */
function isolateOwner(world: SchedulerWorld, owner: EntryNode): void {
  owner.store = 'silent';
  for (const entry of world.entries) if (entry !== owner) world.links.closeEntries(owner, entry);
}

function freezeOwner(durationMs: number, isSuspended: boolean) {
  return (world: SchedulerWorld, owner: EntryNode): void => {
    owner.store = 'silent';
    world.freeze(owner, durationMs, isSuspended);
  };
}

/** Cuts an owner and one follower off from the store, and the owner from the other follower. */
function isolateWithFollower(world: SchedulerWorld, owner: EntryNode): void {
  const [beside, next] = world.entries.filter((entry) => entry !== owner);
  owner.store = 'silent';
  beside!.store = 'silent';
  world.links.closeEntries(owner, next!);
}

function isolateAndKillFollower(world: SchedulerWorld, owner: EntryNode): void {
  const [beside, next] = world.entries.filter((entry) => entry !== owner);
  owner.store = 'silent';
  world.kill(beside!);
  world.links.closeEntries(owner, next!);
}

function runUntilNextOwner(world: SchedulerWorld, earlier: EntryNode): EntryNode {
  for (;;) {
    const next = world.entries.find(
      (entry) => entry !== earlier && entry.state.ownership.role === 'owner',
    );
    if (next !== undefined) return next;
    world.run(10);
  }
}
