import { describe, expect, it } from 'vitest';
import {
  getTask,
  listLiveRuns,
  LONG_WORK_MS,
  startWorld,
  submitJob,
  waitUntilRunning,
} from '../../support/shardSteps.ts';
import { STEP_MS } from '../../support/shardWorld.ts';

describe('faults of workers, agents and links', () => {
  describe('agents and workers', () => {
    it('does not lose or duplicate runs when agents restart', () => {
      const { world, owner, check } = startWorld({ workMs: LONG_WORK_MS });
      const jobId = submitJob(world, owner, 'a');
      waitUntilRunning(world, jobId);
      world.restartAgent(0);
      world.restartAgent(1);
      world.run(40_000, check);
      expect(listLiveRuns(world)).toMatchObject([
        { taskId: jobId, incarnation: 1, phase: 'running' },
      ]);
    });

    it('does not lose a task, or resume it twice, when its worker restarts', () => {
      const { world, owner, check } = startWorld({ workMs: 30_000 });
      const jobId = submitJob(world, owner, 'a');
      waitUntilRunning(world, jobId);
      world.run(5_000, check);
      world.agents.find((agent) => agent.worker.listLiveRuns().length > 0)!.worker.reset();
      world.run(4_000, check);
      const task = getTask(world, jobId);
      expect(task).toMatchObject({ phase: 'assigned', incarnation: 2 });
      expect(Number(task?.checkpoint)).toBeGreaterThanOrEqual(3_000);
      expect(world.listStarts()).toHaveLength(2);
    });

    it('does not run a task on two workers when its lease expires and the first worker reconnects', () => {
      const { world, owner, check } = startWorld({ workMs: LONG_WORK_MS });
      const jobId = submitJob(world, owner, 'a');
      waitUntilRunning(world, jobId);
      // Runs beyond the initial lease, so that only renewals keep the run alive.
      world.run(30_000, check);
      const first = world.agents.find((agent) => agent.worker.starts.length > 0)!;
      first.isCut = true;
      const isMoved = (): boolean => {
        check();
        return world.listStarts().length === 2;
      };
      const tookMs = world.runUntil(isMoved, 20_000, 'the next incarnation');
      expect(tookMs).toBeGreaterThanOrEqual(15_000);
      first.isCut = false;
      world.run(5_000, check);
      expect(first.worker.listLiveRuns()).toEqual([]);
      expect(listLiveRuns(world)).toMatchObject([{ incarnation: 2, phase: 'running' }]);
    });

    it('does not evict a run whose link was down for less than the lease', () => {
      const { world, owner, check } = startWorld({ workMs: LONG_WORK_MS });
      const jobId = submitJob(world, owner, 'a');
      waitUntilRunning(world, jobId);
      world.run(30_000, check);
      const agent = world.agents.find((candidate) => candidate.worker.starts.length > 0)!;
      agent.isCut = true;
      world.run(12_000, check);
      agent.isCut = false;
      world.run(10_000, check);
      expect(listLiveRuns(world)).toMatchObject([
        { taskId: jobId, incarnation: 1, phase: 'running' },
      ]);
    });

    it('does not leave a task on a worker that stops reporting', () => {
      const { world, owner, check } = startWorld({ workMs: LONG_WORK_MS });
      const jobId = submitJob(world, owner, 'a');
      waitUntilRunning(world, jobId);
      world.agents.find((agent) => agent.worker.starts.length > 0)!.worker.isSilent = true;
      world.run(25_000, check);
      expect(getTask(world, jobId)?.incarnation).toBe(2);
    });

    it('does not retry without limit on workers that fail every start', () => {
      const { world, owner, check } = startWorld({ workers: 4 });
      for (const agent of world.agents) agent.worker.failsStarts = true;
      const jobId = submitJob(world, owner, 'a');
      world.run(10_000, check);
      expect(getTask(world, jobId)).toMatchObject({ phase: 'failed', incarnation: 3 });
      expect(new Set(world.listStarts().map((start) => start.worker)).size).toBe(3);
    });

    it('does not ignore a throttle share', () => {
      const { world, owner } = startWorld({ workMs: LONG_WORK_MS });
      const jobId = submitJob(world, owner, 'a');
      waitUntilRunning(world, jobId);
      owner.state.throttles.set({ id: jobId, share: 0.5, sinceMs: world.clock.now });
      world.run(3_000);
      const runs = world.agents.flatMap((agent) => agent.state.worker?.status.runs ?? []);
      expect(runs).toMatchObject([{ taskId: jobId, throttle: 0.5 }]);
      // The model of task sizes consumes the usage samples that arrive.
      expect(world.owner!.state.placement.kindUsage.size).toBeGreaterThan(0);
    });

    it('does not start work in a zone more than 3 s after the zone was taken out of service', () => {
      const { world, owner, checks, check } = startWorld({ workMs: 2_000 });
      for (let index = 0; index < 20; index += 1) submitJob(world, owner, `a${index}`);
      world.setConfiguration(['busan-a']);
      checks.setZonesOut(['busan-a']);
      for (let index = 0; index < 20; index += 1) submitJob(world, owner, `b${index}`);
      world.run(40_000, check);
      expect([...world.owner!.state.tasks.values()].map((task) => task.phase)).not.toContain(
        'queued',
      );
    });
  });

  describe('links', () => {
    it('does not apply lost, duplicated and late messages twice', () => {
      const { world, owner, check } = startWorld({ workMs: 4_000 });
      let count = 0;
      world.linkFault = () => {
        count += 1;
        if (count % 5 === 0) return { copies: 0, delayMs: 0 };
        if (count % 3 === 0) return { copies: 2, delayMs: 900 };
        return { copies: 1, delayMs: count % 7 === 0 ? 2_500 : STEP_MS };
      };
      const ids = [1, 2, 3, 4, 5, 6].map((key) => submitJob(world, owner, `a${key}`));
      world.run(60_000, check);
      for (const id of ids) expect(getTask(world, id)).toMatchObject({ phase: 'finished' });
      expect(new Set(world.listStarts().map((start) => start.taskId)).size).toBe(6);
      expect(owner.state.counters.get('late_exchanges')).toBeGreaterThan(0);
    });
  });
});
