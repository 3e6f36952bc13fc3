import { describe, expect, it } from 'vitest';
import { createWorld, JOB, readPhase } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { AgentNode } from '../../support/worldNodes.ts';

const TASK = `${JOB}.0.0.0`;
const STEP_MS = 5;

/** Most runs of the task at one time while time moves on. */
function countMostRuns(world: SchedulerWorld, durationMs: number): number {
  let most = 0;
  for (let passed = 0; passed < durationMs; passed += STEP_MS) {
    world.run(STEP_MS);
    most = Math.max(most, world.agents.filter(({ runner }) => runner.running.has(TASK)).length);
  }
  return most;
}

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
      const quietUntil = world.clock.now + 150;
      for (const agent of world.agents) {
        const { disturb } = agent;
        agent.disturb = (call) =>
          call.op === 'hold' && agent.runner.starts.length > 0 && world.clock.now < quietUntil
            ? 'lost'
            : disturb(call);
      }
      expect(countMostRuns(world, 6_000)).toBe(1);
      expect(readPhase(world, world.entries[0]!)).toBe('completed');
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
      world.closeAgentLink(entry!, holder);
      expect(countMostRuns(world, 6_000)).toBe(1);
      expect(readPhase(world, entry!)).toBe('completed');
    });

    it('does not take draining for proof that an earlier start was not carried out', () => {
      const world = createUnansweredStart('silent');
      world.run(20);
      const holder = findHolder(world);
      holder.disturb = (call) => (call.op === 'stop' ? undefined : 'lost');
      world.drainRunner(holder);
      world.closeAgentLink(world.entries[0]!, holder);
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
    it('does not take one look without an answer for proof that the worker is gone', () => {
      const { world, entry } = createWorld(1, 3);
      world.behave = () => ({ durationMs: 2_000, how: 'done' });
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(100);
      const holder = findHolder(world);
      let looks = 0;
      holder.disturb = (call) => (call.op === 'hold' && (looks += 1) === 1 ? 'lost' : undefined);
      world.leaveRunner(holder, false);
      expect(countMostRuns(world, 3_000)).toBe(1);
      expect(readPhase(world, entry)).toBe('completed');
    });
  });

  describe('with a zone that goes out of service', () => {
    it('does not repeat a start that the worker has not carried out', () => {
      const { world, entry } = createWorld(1, 1);
      const [agent] = world.agents;
      agent!.disturb = (call) => (call.op === 'start' ? 'dropped' : undefined);
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(50);
      world.closeAgentLink(entry, agent!);
      entry.state.operator.zonesOut.add('a');
      agent!.disturb = () => undefined;
      world.run(2_000);
      expect(agent!.runner.starts).toEqual([]);
    });
  });
});
