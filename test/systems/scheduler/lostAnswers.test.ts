import { describe, expect, it } from 'vitest';
import {
  countPeakRuns,
  createJobId,
  createWorld,
  JOB,
  readPhase,
  TASK,
} from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { AgentNode } from '../../support/worldNodes.ts';

function findRunningAgent(world: SchedulerWorld): AgentNode {
  return world.agents.find(({ runner }) => runner.running.has(TASK))!;
}

/** Creates a world in which the first run of the task is started and its start is not answered. */
function createUnansweredStart(disturbance: 'lost' | 'silent'): SchedulerWorld {
  const { world, entry } = createWorld(1, 3);
  world.behave = () => ({ durationMs: 2_000, end: 'done' });
  for (const agent of world.agents)
    agent.getFault = (call) => (call.op === 'start' && call.run === 1 ? disturbance : undefined);
  world.submit(entry, JOB, [{ count: 1 }]);
  return world;
}

describe('lost answers to commands', () => {
  describe('with a start that is abandoned', () => {
    it('do not start a task elsewhere while its stopped run is still ending', () => {
      const world = createUnansweredStart('lost');
      expect(countPeakRuns(world, 6_000)).toBe(1);
      expect(readPhase(world, world.entries[0]!)).toBe('completed');
    });

    it('do not make an unanswered poll count as proof that the run has ended', () => {
      const world = createUnansweredStart('lost');
      const lostUntil = world.clock.now + 150;
      for (const agent of world.agents) {
        const { getFault: disturb } = agent;
        agent.getFault = (call) =>
          call.op === 'hold' && agent.runner.starts.length > 0 && world.clock.now < lostUntil
            ? 'lost'
            : disturb(call);
      }
      expect(countPeakRuns(world, 6_000)).toBe(1);
      expect(readPhase(world, world.entries[0]!)).toBe('completed');
    });

    it('do not stop a healthy run whose start was not answered', () => {
      const world = createUnansweredStart('lost');
      world.run(4_000);
      expect(world.listStarts(TASK)).toHaveLength(1);
      expect(readPhase(world, world.entries[0]!)).toBe('completed');
    });

    it('do not start a finished task again whose end the worker does not list yet', () => {
      const { world, entry } = createWorld(1, 3);
      world.behave = () => ({ durationMs: 10, end: 'done' });
      for (const agent of world.agents) {
        agent.getFault = (call) => (call.op === 'start' && call.run === 1 ? 'silent' : undefined);
        agent.runner.maxListedEnds = 0;
      }
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(4_000);
      for (const agent of world.agents) agent.runner.maxListedEnds = 500;
      world.run(1_000);
      expect(world.listStarts(TASK)).toHaveLength(1);
      expect(readPhase(world, entry)).toBe('completed');
    });

    it('do not delay a task that no worker runs until a lease expires', () => {
      const { world, entry } = createWorld(1, 3);
      for (const agent of world.agents)
        agent.getFault = (call) => (call.op === 'start' && call.run === 1 ? 'dropped' : undefined);
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(4_000);
      expect(readPhase(world, entry)).toBe('completed');
    });
  });

  describe('with a start that is repeated', () => {
    it('do not make the rejection of a repeated start count as proof that nothing runs', () => {
      const world = createUnansweredStart('silent');
      world.run(20);
      const runningAgent = findRunningAgent(world);
      // The link breaks before the start is abandoned; the worker then refuses every start.
      const [entry] = world.entries;
      const refusedUntil = world.clock.now + 2_000;
      runningAgent.getFault = (call) => {
        if (world.clock.now >= refusedUntil) return undefined;
        return call.op === 'hold' ? 'lost' : call.op === 'start' ? 'refused' : undefined;
      };
      world.links.closeAgent(entry, runningAgent);
      expect(countPeakRuns(world, 6_000)).toBe(1);
      expect(readPhase(world, entry!)).toBe('completed');
    });

    it('do not match the late rejection of a start to its repetition', () => {
      const { world, entry } = createWorld(1, 3);
      world.behave = () => ({ durationMs: 2_500, end: 'done' });
      let starts = 0;
      for (const agent of world.agents)
        agent.getFault = (call) => {
          if (call.op !== 'start' || (starts += 1) > 1) return undefined;
          // Exceeds the time after which the owner repeats the start.
          agent.delayedUntil = world.clock.now + 1_200;
          return 'refused';
        };
      world.submit(entry, JOB, [{ count: 1 }]);
      expect(countPeakRuns(world, 6_000)).toBe(1);
      expect(readPhase(world, entry)).toBe('completed');
    });

    it('do not delay the start until the next repetition when the link is reopened', () => {
      const { world, entry } = createWorld(1, 1);
      const [agent] = world.agents;
      agent!.getFault = (call) => (call.op === 'start' ? 'dropped' : undefined);
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(20);
      agent!.getFault = () => undefined;
      world.links.closeAgent(entry, agent!);
      // The link is reopened after 250 ms.
      world.run(400);
      expect(agent!.runner.starts).toHaveLength(1);
    });

    it('do not make draining count as proof that an earlier start was not executed', () => {
      const world = createUnansweredStart('silent');
      world.run(20);
      const runningAgent = findRunningAgent(world);
      runningAgent.getFault = (call) => (call.op === 'stop' ? undefined : 'lost');
      world.drainRunner(runningAgent);
      world.links.closeAgent(world.entries[0], runningAgent);
      expect(countPeakRuns(world, 3_000)).toBe(1);
    });
  });

  describe('with a worker that restarts', () => {
    it('do not start a task elsewhere that the next incarnation of the same worker runs', () => {
      const { world, entry } = createWorld(1, 3);
      world.behave = () => ({ durationMs: 2_000, end: 'done' });
      // The start reaches an incarnation whose heartbeat the agent has not received yet.
      for (const agent of world.agents)
        agent.getFault = (call) => {
          if (call.op !== 'start' || call.run !== 1 || agent.runner.starts.length > 0)
            return undefined;
          world.restartRunner(agent, 30);
          return 'lost';
        };
      world.submit(entry, JOB, [{ count: 1 }]);
      expect(countPeakRuns(world, 6_000)).toBe(1);
      expect(readPhase(world, entry)).toBe('completed');
    });

    it('do not acknowledge ends of the next incarnation with the numbers of the previous one', () => {
      const { world, entry } = createWorld(1, 1);
      const [agent] = world.agents;
      world.behave = () => ({ durationMs: 300, end: 'done' });
      world.submit(entry, createJobId(7), [{ count: 1 }]);
      world.run(1_500);
      expect(agent!.state.lease.acknowledgedEnd).toBe(1);
      // The start reaches an incarnation whose heartbeat arrives after the end of the run.
      let hasRestarted = false;
      agent!.getFault = (call) => {
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

    it('do not let the poll after an unanswered one acknowledge ends of the next incarnation', () => {
      const { world, entry } = createWorld(1, 1);
      const [agent] = world.agents;
      world.behave = () => ({ durationMs: 10, end: 'done' });
      world.submit(entry, createJobId(7), [{ count: 1 }]);
      world.run(1_500);
      expect(agent!.state.lease.acknowledgedEnd).toBe(1);
      // The crash breaks the pending long poll, and the next poll reaches the new incarnation.
      let hasRestarted = false;
      agent!.getFault = (call) => {
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

    it('do not release runs of an incarnation on a late heartbeat of an earlier one', () => {
      const { world, entry } = createWorld(2, 3);
      world.behave = () => ({ durationMs: 4_000, end: 'done' });
      const [agent] = world.agents;
      const bornMs = agent!.runner.startedMs;
      world.restartRunner(agent!);
      for (const other of world.agents.slice(1)) world.disconnectAgent(other);
      world.run(100);
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(200);
      // The agent and the owner restart, and the heartbeat of the earlier incarnation arrives
      // first.
      agent!.getFault = (call) => (call.op === 'hold' ? 'dropped' : undefined);
      agent!.state.worker = { ...agent!.state.worker!, id: 'earlier', bornMs };
      for (const other of world.agents.slice(1)) other.isReachable = true;
      world.kill(world.owner!);
      expect(countPeakRuns(world, 3_500)).toBe(1);
    });
  });

  describe('with a worker that leaves', () => {
    it.each([
      ['lost', 2],
      ['refused', 3],
    ] as const)(
      'do not make polls that are %s count as proof that it has terminated',
      (disturbance, count) => {
        const { world, entry } = createWorld(1, 3);
        world.behave = () => ({ durationMs: 2_000, end: 'done' });
        world.submit(entry, JOB, [{ count: 1 }]);
        world.run(100);
        const runningAgent = findRunningAgent(world);
        let polls = 0;
        runningAgent.getFault = (call) =>
          call.op === 'hold' && (polls += 1) <= count ? disturbance : undefined;
        world.leaveRunner(runningAgent, false);
        expect(countPeakRuns(world, 3_000)).toBe(1);
        expect(readPhase(world, entry)).toBe('completed');
      },
    );
  });

  describe('with a zone that is taken out of service', () => {
    it('do not repeat a start that the worker has not executed', () => {
      const { world, entry } = createWorld(1, 1);
      const [agent] = world.agents;
      agent!.getFault = (call) => (call.op === 'start' ? 'dropped' : undefined);
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(50);
      world.links.closeAgent(entry, agent!);
      entry.state.operator.zonesOut.add('a');
      agent!.getFault = () => undefined;
      world.run(2_000);
      expect(agent!.runner.starts).toEqual([]);
    });
  });
});
