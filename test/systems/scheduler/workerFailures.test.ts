import { describe, expect, it } from 'vitest';
import { createJobId, createWorld, JOB, readPhase } from '../../support/jobWorld.ts';

describe('job lifecycle', () => {
  describe('with workers that fail', () => {
    it('does not lose or duplicate a task whose start was not answered', () => {
      const { world, entry } = createWorld(1, 1);
      world.agents[0]!.commandsToDrop = 2;
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(4_000);
      expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(1);
      expect(readPhase(world, entry)).toBe('completed');
    });

    it('does not leave a stalled task on its worker', () => {
      const { world, entry } = createWorld(1, 2);
      let first = '';
      world.behave = (task, run) => {
        if (run === 1) first = task;
        return { durationMs: 1_000, end: 'done', isStalled: run === 1 };
      };
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(6_000);
      expect(new Set(world.listStarts(first).map(({ agent }) => agent)).size).toBe(2);
      expect(readPhase(world, entry)).toBe('completed');
    });

    it('does not let a worker that fails every task use up the attempts of many jobs', () => {
      const { world, entry } = createWorld(1, 3);
      const bad = world.agents[0]!;
      world.behaveOn = (agent) => ({
        durationMs: agent === bad ? 50 : 1_000,
        end: agent === bad ? 'failed' : 'done',
      });
      for (let index = 1; index <= 20; index += 1) {
        world.submit(entry, createJobId(index), [{ count: 1, cpuMillis: 500 }]);
        world.run(200);
      }
      world.run(6_000);
      for (let index = 1; index <= 20; index += 1)
        expect(readPhase(world, entry, createJobId(index))).toBe('completed');
      expect(bad.runner.starts.length).toBeLessThan(10);
    });

    it('does not wait for a terminated worker when ownership changes', () => {
      const { world } = createWorld(3, 2);
      world.behave = () => ({ durationMs: 60_000, end: 'done' });
      world.submit(world.entries[0]!, JOB, [{ count: 1, longRunning: true }]);
      world.run(500);
      const agent = world.agents.find(({ runner }) => runner.running.size > 0)!;
      world.leaveRunner(agent);
      world.run(200);
      world.kill(world.owner!);
      world.run(5_000);
      expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(2);
    });

    it('does not lose the termination of a worker when the owner loses the store and the agent stops', () => {
      const { world } = createWorld(3, 2);
      world.behave = () => ({ durationMs: 60_000, end: 'done' });
      world.submit(world.entries[0]!, JOB, [{ count: 1, longRunning: true }]);
      world.run(500);
      const agent = world.agents.find(({ runner }) => runner.running.size > 0)!;
      world.owner!.store = 'silent';
      world.leaveRunner(agent);
      world.run(1_000);
      world.disconnectAgent(agent);
      world.run(3_000);
      world.kill(world.owner!);
      world.run(4_000);
      expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(2);
    });

    it.each([{ longRunning: true }, { fills: true }, { gang: true }])(
      'does not wait forever for a run of %j whose end was discarded unread',
      (step) => {
        const { world, entry } = createWorld(1, 1);
        // A task that reports a latency counts as serving.
        world.behave = () => ({ durationMs: 60_000, end: 'done', computeLatencyMs: () => 1 });
        world.submit(entry, JOB, [{ count: 1, ...step }]);
        world.run(500);
        world.agents[0]!.runner.running.clear();
        world.run(4_500);
        expect(world.listStarts(`${JOB}.0.0.0`).length).toBeGreaterThan(1);
      },
    );

    it('does not wait for the lease of a terminated incarnation', () => {
      const { world, entry } = createWorld(1, 1);
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(500);
      const first = world.agents[0]!.runner;
      world.restartRunner(world.agents[0]!);
      world.run(1_800);
      expect(first.starts).toHaveLength(1);
      expect(world.agents[0]!.runner.starts).toHaveLength(1);
      expect(readPhase(world, entry)).toBe('completed');
    });

    it('does not restart a lost task before the lease of its worker has expired', () => {
      const { world, entry } = createWorld(1, 2);
      world.behave = () => ({ durationMs: 60_000, end: 'done' });
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(500);
      const agent = world.agents.find(({ runner }) => runner.running.size > 0)!;
      world.disconnectAgent(agent);
      for (let step = 0; step < 80; step += 1) {
        world.run(100);
        const copies = world.agents.filter(({ runner }) => runner.running.size > 0);
        expect(copies.length).toBeLessThanOrEqual(1);
      }
      expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(2);
    });
  });
});
