import { describe, expect, it } from 'vitest';
import {
  countPeakRuns,
  createJobId,
  createWorld,
  JOB,
  readPhase,
  TASK,
} from '../../support/jobWorld.ts';
import { LATE_CALL_DELAY_MS } from '../../support/worldNodes.ts';

describe('commands that a worker executes late', () => {
  describe('after it has restarted with the same id', () => {
    it('do not start an abandoned run', () => {
      const { world, entry } = createWorld(1, 3);
      world.behave = () => ({ durationMs: 8_000, end: 'done' });
      for (const agent of world.agents) {
        let attempts = 0;
        agent.getFault = (call) => {
          if (call.op !== 'start' || call.run !== 1) return undefined;
          return (attempts += 1) === 1 ? 'late' : 'dropped';
        };
      }
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(3_000);
      const starts = world.listStarts(TASK);
      expect(starts).toMatchObject([{ run: 2 }]);
      for (const agent of world.agents)
        if (agent.id !== starts[0]!.agent) world.restartRunner(agent);
      expect(countPeakRuns(world, LATE_CALL_DELAY_MS)).toBe(1);
      expect(world.listStarts(TASK)).toHaveLength(1);
    });

    it('do not start a task while the worker cannot reach the owner', () => {
      const { world, entry } = createWorld(1, 2);
      world.behave = () => ({ durationMs: 60_000, end: 'done' });
      const [agent, other] = world.agents;
      world.disconnectAgent(other!);
      world.run(5_000);
      agent!.getFault = (call) => (call.op === 'start' ? 'late' : undefined);
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(100);
      world.disconnectAgent(agent!);
      agent!.getFault = () => undefined;
      world.run(100);
      world.restartRunner(agent!);
      other!.isReachable = true;
      expect(countPeakRuns(world, 10_000)).toBe(1);
      expect(world.listStarts(TASK)).toMatchObject([{ run: 2, agent: other!.id }]);
    });

    it('do not acknowledge ends that the owner has not read', () => {
      const { world, entry } = createWorld(1, 1);
      const [agent] = world.agents;
      world.behave = () => ({ durationMs: 10, end: 'done' });
      world.submit(entry, createJobId(7), [{ count: 1 }]);
      world.run(1_500);
      expect(agent!.state.lease.acknowledgedEnd).toBe(1);
      agent!.getFault = (call) => (call.op === 'hold' ? 'late' : undefined);
      world.run(50);
      const lateAt = world.clock.now + LATE_CALL_DELAY_MS;
      agent!.getFault = () => undefined;
      world.restartRunner(agent!);
      world.run(lateAt - world.clock.now - 100);
      // The task ends while the worker's lists are delayed.
      agent!.getFault = (call) =>
        call.op === 'hold' && agent!.runner.starts.length > 0 && world.clock.now < lateAt + 100
          ? 'dropped'
          : undefined;
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(4_000);
      expect(world.listStarts(TASK)).toHaveLength(1);
      expect(readPhase(world, entry)).toBe('completed');
    });

    it('do not extend the lease of an unreachable worker beyond the end that the owner assumes', () => {
      const { world, entry } = createWorld(1, 2);
      world.behave = () => ({ durationMs: 60_000, end: 'done' });
      const [agent, other] = world.agents;
      world.disconnectAgent(other!);
      world.run(10_000);
      agent!.getFault = (call) => (call.op === 'hold' ? 'late' : undefined);
      world.run(1_000);
      agent!.getFault = () => undefined;
      world.restartRunner(agent!);
      world.run(500);
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(500);
      expect(agent!.runner.running.size).toBe(1);
      world.disconnectAgent(agent!);
      other!.isReachable = true;
      expect(countPeakRuns(world, 15_000)).toBe(1);
      expect(world.listStarts(TASK)).toHaveLength(2);
    });
  });
});
