import { describe, expect, it } from 'vitest';
import {
  countMostRuns,
  createJobId,
  createWorld,
  JOB,
  readPhase,
  TASK,
} from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { AgentNode } from '../../support/worldNodes.ts';

function findHolder(world: SchedulerWorld): AgentNode {
  return world.agents.find(({ runner }) => runner.running.has(TASK))!;
}

/** A world in which the first run of the task is carried out and its start goes unanswered. */
function createUnansweredStart(disturbance: 'lost' | 'silent'): SchedulerWorld {
  const { world, entry } = createWorld(1, 3);
  world.behave = () => ({ durationMs: 2_000, how: 'done' });
  for (const agent of world.agents)
    agent.disturb = (call) => (call.op === 'start' && call.run === 1 ? disturbance : undefined);
  world.submit(entry, JOB, [{ count: 1 }]);
  return world;
}

describe('orders whose answers are lost', () => {
  describe('with a start that is given up', () => {
    it('does not start a task elsewhere while its stopped run is still ending', () => {
      const world = createUnansweredStart('lost');
      expect(countMostRuns(world, 6_000)).toBe(1);
      expect(readPhase(world, world.entries[0]!)).toBe('completed');
    });

    it('does not take a look without an answer for proof that the run is gone', () => {
      const world = createUnansweredStart('lost');
      const lostUntil = world.clock.now + 150;
      for (const agent of world.agents) {
        const { disturb } = agent;
        agent.disturb = (call) =>
          call.op === 'hold' && agent.runner.starts.length > 0 && world.clock.now < lostUntil
            ? 'lost'
            : disturb(call);
      }
      expect(countMostRuns(world, 6_000)).toBe(1);
      expect(readPhase(world, world.entries[0]!)).toBe('completed');
    });

    it('does not stop a run that works because the answers to its start are lost', () => {
      const world = createUnansweredStart('lost');
      world.run(4_000);
      expect(world.listStarts(TASK)).toHaveLength(1);
      expect(readPhase(world, world.entries[0]!)).toBe('completed');
    });

    it('does not start a done task again whose end the worker does not list yet', () => {
      const { world, entry } = createWorld(1, 3);
      world.behave = () => ({ durationMs: 10, how: 'done' });
      for (const agent of world.agents) {
        agent.disturb = (call) => (call.op === 'start' && call.run === 1 ? 'silent' : undefined);
        agent.runner.maxListedEnds = 0;
      }
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(4_000);
      for (const agent of world.agents) agent.runner.maxListedEnds = 500;
      world.run(1_000);
      expect(world.listStarts(TASK)).toHaveLength(1);
      expect(readPhase(world, entry)).toBe('completed');
    });

    it('does not wait for the end of a lease to start a task that nothing runs', () => {
      const { world, entry } = createWorld(1, 3);
      for (const agent of world.agents)
        agent.disturb = (call) => (call.op === 'start' && call.run === 1 ? 'dropped' : undefined);
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(4_000);
      expect(readPhase(world, entry)).toBe('completed');
    });
  });

  describe('with a start that is repeated', () => {
    it('does not take the rejection of a repetition for proof that nothing runs', () => {
      const world = createUnansweredStart('silent');
      world.run(20);
      const holder = findHolder(world);
      // The link breaks before the start is given up; the worker then refuses what it is asked.
      const [entry] = world.entries;
      const refusedUntil = world.clock.now + 2_000;
      holder.disturb = (call) => {
        if (world.clock.now >= refusedUntil) return undefined;
        return call.op === 'hold' ? 'lost' : call.op === 'start' ? 'refused' : undefined;
      };
      world.links.closeAgent(entry, holder);
      expect(countMostRuns(world, 6_000)).toBe(1);
      expect(readPhase(world, entry!)).toBe('completed');
    });

    it('does not take a rejection that crossed a repetition for the answer to it', () => {
      const { world, entry } = createWorld(1, 3);
      world.behave = () => ({ durationMs: 2_500, how: 'done' });
      let starts = 0;
      for (const agent of world.agents)
        agent.disturb = (call) => {
          if (call.op !== 'start' || (starts += 1) > 1) return undefined;
          // Longer than the owner waits before it sends the start again.
          agent.heldUntil = world.clock.now + 1_200;
          return 'refused';
        };
      world.submit(entry, JOB, [{ count: 1 }]);
      expect(countMostRuns(world, 6_000)).toBe(1);
      expect(readPhase(world, entry)).toBe('completed');
    });

    it('does not wait for the next repetition when a link is open again', () => {
      const { world, entry } = createWorld(1, 1);
      const [agent] = world.agents;
      agent!.disturb = (call) => (call.op === 'start' ? 'dropped' : undefined);
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(20);
      agent!.disturb = () => undefined;
      world.links.closeAgent(entry, agent!);
      // The link is tried again after 250 ms.
      world.run(400);
      expect(agent!.runner.starts).toHaveLength(1);
    });

    it('does not take draining for proof that an earlier start was not carried out', () => {
      const world = createUnansweredStart('silent');
      world.run(20);
      const holder = findHolder(world);
      holder.disturb = (call) => (call.op === 'stop' ? undefined : 'lost');
      world.drainRunner(holder);
      world.links.closeAgent(world.entries[0], holder);
      expect(countMostRuns(world, 3_000)).toBe(1);
    });
  });

  describe('with a worker that restarts', () => {
    it('does not start a task elsewhere that the next incarnation of the same id carries out', () => {
      const { world, entry } = createWorld(1, 3);
      world.behave = () => ({ durationMs: 2_000, how: 'done' });
      // The start reaches the incarnation whose beat the agent has not seen yet.
      for (const agent of world.agents)
        agent.disturb = (call) => {
          if (call.op !== 'start' || call.run !== 1 || agent.runner.starts.length > 0)
            return undefined;
          world.restartRunner(agent, 30);
          return 'lost';
        };
      world.submit(entry, JOB, [{ count: 1 }]);
      expect(countMostRuns(world, 6_000)).toBe(1);
      expect(readPhase(world, entry)).toBe('completed');
    });

    it('does not acknowledge ends of the next incarnation by the numbers of the one before', () => {
      const { world, entry } = createWorld(1, 1);
      const [agent] = world.agents;
      world.behave = () => ({ durationMs: 300, how: 'done' });
      world.submit(entry, createJobId(7), [{ count: 1 }]);
      world.run(1_500);
      expect(agent!.state.lease.lastSeen).toBe(1);
      // The start reaches the incarnation whose beat comes after the end of the run.
      let hasRestarted = false;
      agent!.disturb = (call) => {
        if (call.op !== 'start' || hasRestarted) return undefined;
        hasRestarted = true;
        world.restartRunner(agent!, 1_000);
        return 'lost';
      };
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(4_000);
      expect(world.listStarts(TASK)).toHaveLength(1);
      expect(readPhase(world, entry)).toBe('completed');
    });

    it('does not acknowledge ends by a look that follows one without an answer', () => {
      const { world, entry } = createWorld(1, 1);
      const [agent] = world.agents;
      world.behave = () => ({ durationMs: 10, how: 'done' });
      world.submit(entry, createJobId(7), [{ count: 1 }]);
      world.run(1_500);
      expect(agent!.state.lease.lastSeen).toBe(1);
      // The crash breaks the look that waits, and the next one reaches the new incarnation.
      let hasRestarted = false;
      agent!.disturb = (call) => {
        if (hasRestarted) return undefined;
        if (call.op === 'hold') return 'lost';
        hasRestarted = true;
        world.restartRunner(agent!, 1_000);
        return 'lost';
      };
      world.run(150);
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(4_000);
      expect(world.listStarts(TASK)).toHaveLength(1);
      expect(readPhase(world, entry)).toBe('completed');
    });

    it('does not release runs of an incarnation on a late beat of an earlier one', () => {
      const { world, entry } = createWorld(2, 3);
      world.behave = () => ({ durationMs: 4_000, how: 'done' });
      const [agent] = world.agents;
      const bornMs = agent!.runner.bornMs;
      world.restartRunner(agent!);
      for (const other of world.agents.slice(1)) world.cutAgent(other);
      world.run(100);
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(200);
      // The agent and the owner restart, and the beat of the earlier incarnation comes first.
      agent!.disturb = (call) => (call.op === 'hold' ? 'dropped' : undefined);
      agent!.state.worker = { ...agent!.state.worker!, id: 'earlier', bornMs };
      for (const other of world.agents.slice(1)) other.isReachable = true;
      world.kill(world.owner!);
      expect(countMostRuns(world, 3_500)).toBe(1);
    });
  });

  describe('with a worker that leaves', () => {
    it.each([
      ['lost', 2],
      ['refused', 3],
    ] as const)(
      'does not take looks that are %s for proof that it is gone',
      (disturbance, count) => {
        const { world, entry } = createWorld(1, 3);
        world.behave = () => ({ durationMs: 2_000, how: 'done' });
        world.submit(entry, JOB, [{ count: 1 }]);
        world.run(100);
        const holder = findHolder(world);
        let polls = 0;
        holder.disturb = (call) =>
          call.op === 'hold' && (polls += 1) <= count ? disturbance : undefined;
        world.leaveRunner(holder, false);
        expect(countMostRuns(world, 3_000)).toBe(1);
        expect(readPhase(world, entry)).toBe('completed');
      },
    );
  });

  describe('with a zone that goes out of service', () => {
    it('does not repeat a start that the worker has not carried out', () => {
      const { world, entry } = createWorld(1, 1);
      const [agent] = world.agents;
      agent!.disturb = (call) => (call.op === 'start' ? 'dropped' : undefined);
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(50);
      world.links.closeAgent(entry, agent!);
      entry.state.operator.zonesOut.add('a');
      agent!.disturb = () => undefined;
      world.run(2_000);
      expect(agent!.runner.starts).toEqual([]);
    });
  });
});
