import { describe, expect, it } from 'vitest';
import { countPeakRuns, TASK } from '../../support/jobWorld.ts';
import {
  createLastingWorld,
  cutOffWorker,
  findHost,
  loseWorker,
  measureIdleTime,
  restartEntry,
  slowWorkerClocks,
} from '../../support/lostWorkers.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { AgentNode } from '../../support/worldNodes.ts';

/** The rule: a task may be idle for 6 s after its run, and 3 s more where the 4 s before are calm. */
const IDLE_MS = 9_000;
/** A disruption counts for 3 s after its end; the rule then asks for 4 s and 3 s. */
const IDLE_AFTER_DISRUPTION_MS = 10_000;
const OWNER_INTERVAL_MS = 2_500;
const STORE_OUTAGE_MS = 6_000;
const AGENT_DOWN_MS = 500;

/** How many owners are lost, 2.5 s apart. */
const OWNERS = ['no owner', 'one owner', 'two owners', 'three owners'];

describe.each([6_000, 10_000])('a long-running task with leases of up to %d ms', (holdMaxMs) => {
  describe.each([
    ['a lost worker', loseOnlyWorker],
    ['a lost worker whose agent is lost too', loseWorkerAndAgent],
  ])('of %s', (_, lose) => {
    it.each(OWNERS)('does not wait anew at the loss of %s', (owners) => {
      const ownerCount = OWNERS.indexOf(owners);
      const { world, agent } = createLastingWorld(holdMaxMs);
      lose(world, agent);
      const lostAt = world.clock.now;
      world.run(300);
      let killedAt = Number.NEGATIVE_INFINITY;
      for (let count = 0; count < ownerCount; count += 1) {
        killedAt = world.clock.now;
        restartEntry(world, world.owner!);
        world.run(OWNER_INTERVAL_MS);
      }
      measureIdleTime(world, 30_000);
      const limitAt = Math.max(lostAt + IDLE_MS, killedAt + IDLE_AFTER_DISRUPTION_MS);
      expect(world.clock.now).toBeLessThan(limitAt);
      expect(world.listStarts(TASK)).toHaveLength(2);
    });

    it('does not wait anew when a second owner is lost after a pause', () => {
      const { world, agent } = createLastingWorld(holdMaxMs);
      lose(world, agent);
      world.run(300);
      restartEntry(world, world.owner!);
      world.run(8_000);
      restartEntry(world, world.owner!);
      expect(measureIdleTime(world, 30_000)).toBeLessThan(IDLE_AFTER_DISRUPTION_MS);
    });

    it('does not wait anew after an outage of the store in which all entries were lost', () => {
      const { world, agent } = createLastingWorld(holdMaxMs);
      for (const entry of world.entries) entry.store = 'silent';
      lose(world, agent);
      world.run(300);
      for (const entry of [...world.entries]) restartEntry(world, entry);
      world.run(STORE_OUTAGE_MS);
      for (const entry of world.entries) entry.store = 'up';
      expect(measureIdleTime(world, 30_000)).toBeLessThan(IDLE_AFTER_DISRUPTION_MS);
    });
  });

  describe('beside an agent of an earlier build', () => {
    it('does not wait longer than before for its lost worker', () => {
      const { world, agent } = createLastingWorld(holdMaxMs);
      agent.isEarlierBuild = true;
      loseWorker(agent);
      replaceOwners(1)(world, agent);
      expect(measureIdleTime(world, 30_000)).toBeLessThan(holdMaxMs + 1_000);
    });

    it('does not run twice when its worker is only cut off', () => {
      const { world, agent } = createLastingWorld(holdMaxMs);
      agent.isEarlierBuild = true;
      cutOffWorker(agent);
      replaceOwners(2)(world, agent);
      expect(countPeakRuns(world, 25_000)).toBe(1);
    });
  });

  describe('of a worker that is only cut off', () => {
    it.each([
      ['the owner stays', replaceOwners(0)],
      ['the owner changes', replaceOwners(1)],
      ['the owner changes twice', replaceOwners(2)],
      ['the owner changes three times', replaceOwners(3)],
      ['the process of its agent is lost', restartAgent],
      ['the owner is lost after the process of its agent', combine(restartAgent, replaceOwners(1))],
      ['the process of its agent is lost after the owner', combine(replaceOwners(1), restartAgent)],
    ])('does not run twice when %s', (_, act) => {
      for (const offsetMs of [0, 200, 500, 900]) {
        const { world, agent } = createLastingWorld(holdMaxMs);
        world.run(offsetMs);
        cutOffWorker(agent);
        act(world, agent);
        expect({ offsetMs, peak: countPeakRuns(world, 20_000) }).toEqual({ offsetMs, peak: 1 });
        // The lease lapses on the worker, so the task does run again.
        expect(findHost(world)).not.toBe(agent);
      }
    });

    it('does not run twice when its clock is slow and the owner changes twice', () => {
      const { world } = createLastingWorld(holdMaxMs);
      slowWorkerClocks(world);
      const agent = findHost(world);
      cutOffWorker(agent);
      replaceOwners(2)(world, agent);
      expect(countPeakRuns(world, 20_000)).toBe(1);
    });

    it('does not run twice when its last grant arrives late', () => {
      const { world, agent } = createLastingWorld(holdMaxMs);
      agent.getFault = () => 'late';
      replaceOwners(1)(world, agent);
      expect(countPeakRuns(world, 20_000)).toBe(1);
    });

    it('does not run again when it answers before its lease has lapsed', () => {
      const { world, agent } = createLastingWorld(holdMaxMs);
      cutOffWorker(agent);
      replaceOwners(1)(world, agent);
      agent.getFault = () => undefined;
      expect(countPeakRuns(world, 20_000)).toBe(1);
      expect(world.listStarts(TASK)).toHaveLength(1);
    });
  });
});

describe('a long-running task of a lost worker whose agent is gone for good', () => {
  it('does not wait anew at the loss of one owner', () => {
    const { world, agent } = createLastingWorld(6_000);
    loseWorker(agent);
    world.disconnectAgent(agent);
    agent.frozenArrivals = [];
    world.run(300);
    restartEntry(world, world.owner!);
    expect(measureIdleTime(world, 30_000)).toBeLessThan(IDLE_AFTER_DISRUPTION_MS);
  });
});

type Act = (world: SchedulerWorld, agent: AgentNode) => void;

function loseOnlyWorker(_world: SchedulerWorld, agent: AgentNode): void {
  loseWorker(agent);
}

function loseWorkerAndAgent(world: SchedulerWorld, agent: AgentNode): void {
  loseWorker(agent);
  restartAgent(world, agent);
}

function restartAgent(world: SchedulerWorld, agent: AgentNode): void {
  world.restartAgent(agent, AGENT_DOWN_MS);
}

/** Kills the owner so many times, each once the one before has loaded its tables. */
function replaceOwners(count: number): Act {
  return (world) => {
    for (let index = 0; index < count; index += 1) {
      restartEntry(world, world.owner!);
      while (world.owner === undefined) world.run(10);
    }
  };
}

function combine(first: Act, second: Act): Act {
  return (world, agent) => {
    first(world, agent);
    second(world, agent);
  };
}
