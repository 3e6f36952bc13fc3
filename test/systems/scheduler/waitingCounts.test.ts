import { describe, expect, it } from 'vitest';
import type { QueueAnswer } from '../../../src/model/scheduler/queueCall.ts';
import type { StepSpec } from '../../../src/model/scheduler/jobSpec.ts';
import type { RunnerCall } from '../../../src/model/scheduler/runnerCall.ts';
import { createJobId, createWorld, readPhase, replaceOwner } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { EntryNode, RunnerCallFault } from '../../support/worldNodes.ts';

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

/** Makes all workers treat start commands with a fault. */
function setFault(world: SchedulerWorld, fault: RunnerCallFault): void {
  for (const agent of world.agents)
    agent.getFault = (call) => (call.op === 'start' ? fault : undefined);
}

function clearFaults(world: SchedulerWorld): void {
  for (const agent of world.agents) agent.getFault = () => undefined;
}

function createFaultyWorld(fault: RunnerCallFault): { world: SchedulerWorld; entry: EntryNode } {
  const created = createWorld(4, 2);
  setFault(created.world, fault);
  return created;
}

function submitJobs(
  world: SchedulerWorld,
  entry: EntryNode,
  steps: readonly Partial<StepSpec>[] = [{ count: 1 }],
): void {
  for (let index = 1; index <= JOBS; index += 1) world.submit(entry, createJobId(index), steps);
}

/** Counts the jobs of which a worker has started a task. */
function countStarted(world: SchedulerWorld): number {
  const starts = world.agents.flatMap(({ runner }) => runner.starts);
  return new Set(starts.map(({ task }) => task.split('.')[0])).size;
}

/** Checks the count at every entry that is up. */
function expectWaiting(world: SchedulerWorld, waiting: number): void {
  for (const entry of world.entries.filter(({ isUp }) => isUp))
    expect(countWaiting(world, entry)).toEqual({ kind: 'count', waiting });
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

  describe('of jobs whose starts have no effect', () => {
    it.each(['refused', 'dropped', 'late'] as const)(
      'does not omit those whose starts are %s until they begin',
      (fault) => {
        const { world, entry } = createFaultyWorld(fault);
        submitJobs(world, entry);
        world.run(4_000);
        expect(countStarted(world)).toBe(0);
        expectWaiting(world, JOBS);
        expect(readPhase(world, entry, createJobId(1))).toBe('pending');
        clearFaults(world);
        world.run(15_000);
        expect(countStarted(world)).toBe(JOBS);
        expectWaiting(world, 0);
      },
    );

    it('does not omit them after two takeovers', () => {
      const { world, entry } = createFaultyWorld('refused');
      submitJobs(world, entry);
      world.run(1_000);
      replaceOwner(world);
      world.run(3_000);
      replaceOwner(world);
      world.run(3_000);
      expectWaiting(world, JOBS);
    });

    it('does not omit them while their worker is gone', () => {
      const { world, entry } = createWorld(2, 2);
      for (const agent of world.agents) agent.getFault = () => 'dropped';
      submitJobs(world, entry);
      world.run(1_000);
      for (const agent of world.agents) world.disconnectAgent(agent);
      world.run(10_000);
      expectWaiting(world, JOBS);
    });

    it('does not omit a gang whose members are all rejected', () => {
      const { world, entry } = createFaultyWorld('refused');
      world.submit(entry, createJobId(1), [{ count: 4, gang: true }]);
      world.run(4_000);
      expectWaiting(world, 1);
    });
  });

  describe('of jobs that have begun', () => {
    it.each(['silent', 'lost'] as const)(
      'does not contain those whose start answers are %s',
      (fault) => {
        const { world, entry } = createFaultyWorld(fault);
        submitJobs(world, entry);
        world.run(4_000);
        expect(countStarted(world)).toBe(JOBS);
        expectWaiting(world, 0);
      },
    );

    it('does not contain them when a later start of them is rejected', () => {
      const { world, entry } = createWorld(2, 2);
      world.behave = () => ({ durationMs: 500, end: 'done' });
      submitJobs(world, entry, [{ count: 1 }, { count: 1, after: [0] }]);
      world.run(300);
      setFault(world, 'refused');
      world.run(3_000);
      expectWaiting(world, 0);
      expect(readPhase(world, entry, createJobId(1))).toBe('running');
    });

    it('does not contain them when one of several tasks has started', () => {
      const { world, entry } = createWorld(2, 2);
      const isRefused = (call: RunnerCall): boolean =>
        call.op === 'start' && !call.task.endsWith('.0');
      for (const agent of world.agents)
        agent.getFault = (call) => (isRefused(call) ? 'refused' : undefined);
      submitJobs(world, entry, [{ count: 3 }]);
      world.run(800);
      expectWaiting(world, 0);
    });

    it('does not contain them after two takeovers within their first run', () => {
      const { world, entry } = createWorld(4, 2);
      world.behave = () => ({ durationMs: 60_000, end: 'done' });
      submitJobs(world, entry);
      world.run(500);
      replaceOwner(world);
      world.run(1_000);
      replaceOwner(world);
      world.run(1_000);
      expectWaiting(world, 0);
    });

    it('does not contain those that ended before the answer to their start was read', () => {
      const { world, entry } = createFaultyWorld('silent');
      world.behave = () => ({ durationMs: 20, end: 'failed' });
      submitJobs(world, entry, [{ count: 1, longRunning: true }]);
      world.run(1_500);
      expectWaiting(world, 0);
    });
  });
});
