import { describe, expect, it } from 'vitest';
import type { ShardWorld } from '../../support/shardWorld.ts';
import {
  getTask,
  listLiveRuns,
  LONG_WORK_MS,
  startWorld,
  submitJob,
  waitUntilRunning,
} from '../../support/shardSteps.ts';
import type { SimAgent } from '../../support/worldTypes.ts';

const SHUTDOWN_TIMEOUT_MS = 30_000;

/** Finds the agent whose worker runs the job. */
function findAgent(world: ShardWorld, jobId: string): SimAgent {
  return world.agents.find((agent) =>
    agent.worker.listLiveRuns().some((run) => run.taskId === jobId),
  )!;
}

function stopAgent(agent: SimAgent, stopsTasks: boolean): void {
  Object.assign(agent.state.self, { stopsTasks });
  agent.loop.receive({ kind: 'stopRequested' });
}

function runUntilStopped(world: ShardWorld, agent: SimAgent, check: () => void): number {
  const isStopped = (): boolean => {
    check();
    return agent.state.self.phase === 'stopped';
  };
  return world.runUntil(isStopped, SHUTDOWN_TIMEOUT_MS + 1_000, 'the end of the agent');
}

describe('graceful shutdown of the agent of a worker', () => {
  describe('when the instance stops with the agent', () => {
    it('does not lose the work since the last checkpoint or wait for a lease to expire', () => {
      const { world, owner, check } = startWorld({ workMs: LONG_WORK_MS });
      const jobIds = ['a', 'b', 'c'].map((key) => submitJob(world, owner, key));
      for (const jobId of jobIds) waitUntilRunning(world, jobId);
      // Not a whole second, because the worker writes a checkpoint after each second of work.
      world.run(5_500, check);
      const agent = findAgent(world, jobIds[0]!);
      const moved = agent.worker.listLiveRuns().map((run) => run.taskId);
      stopAgent(agent, true);
      expect(runUntilStopped(world, agent, check)).toBeLessThan(5_000);
      expect(agent.worker.listLiveRuns()).toEqual([]);
      for (const jobId of moved) waitUntilRunning(world, jobId);
      const restarts = world.listStarts().filter((start) => start.incarnation === 2);
      expect(restarts.map((start) => start.taskId).sort()).toEqual([...moved].sort());
      for (const jobId of moved)
        expect(Number(getTask(world, jobId)?.checkpoint)).toBeGreaterThanOrEqual(5_000);
    });

    it('does not exit before the ledger holds the end of its runs', () => {
      const { world, owner, check } = startWorld({ workMs: LONG_WORK_MS });
      const jobId = submitJob(world, owner, 'a');
      waitUntilRunning(world, jobId);
      const agent = findAgent(world, jobId);
      world.isStoreDown = true;
      stopAgent(agent, true);
      world.run(10_000, check);
      expect(agent.state.self.phase).toBe('leaving');
      world.isStoreDown = false;
      runUntilStopped(world, agent, check);
      expect(getTask(world, jobId)).toBeDefined();
      expect(getTask(world, jobId)?.workerId).not.toBe(agent.worker.options.id);
      expect(agent.worker.listLiveRuns()).toEqual([]);
    });

    it('does not exit before its timeout or over 1 s after it while the store is down', () => {
      const { world, owner, check } = startWorld({ workMs: LONG_WORK_MS });
      const jobId = submitJob(world, owner, 'a');
      waitUntilRunning(world, jobId);
      const agent = findAgent(world, jobId);
      world.isStoreDown = true;
      stopAgent(agent, true);
      const tookMs = runUntilStopped(world, agent, check);
      expect(tookMs).toBeGreaterThanOrEqual(SHUTDOWN_TIMEOUT_MS);
    });

    it('does not start another task on the worker', () => {
      const { world, owner, check } = startWorld({ workMs: LONG_WORK_MS, workers: 1 });
      const first = submitJob(world, owner, 'a');
      waitUntilRunning(world, first);
      stopAgent(world.agents[0]!, true);
      submitJob(world, owner, 'b');
      world.run(10_000, check);
      expect(world.listStarts()).toHaveLength(1);
      expect(getTask(world, first)).toMatchObject({ phase: 'queued', incarnation: 1 });
    });
  });

  describe('when only the agent is replaced', () => {
    it('does not stop or move the tasks', () => {
      const { world, owner, check } = startWorld({ workMs: LONG_WORK_MS });
      const jobId = submitJob(world, owner, 'a');
      waitUntilRunning(world, jobId);
      const agent = findAgent(world, jobId);
      stopAgent(agent, false);
      expect(runUntilStopped(world, agent, check)).toBeLessThan(5_000);
      world.restartAgent(world.agents.indexOf(agent));
      world.run(20_000, check);
      expect(listLiveRuns(world)).toMatchObject([
        { taskId: jobId, incarnation: 1, phase: 'running' },
      ]);
    });
  });
});
