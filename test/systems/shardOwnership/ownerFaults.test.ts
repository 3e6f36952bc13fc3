import { describe, expect, it } from 'vitest';
import {
  getTask,
  listLiveRuns,
  LONG_WORK_MS,
  startWorld,
  submitJob,
  waitUntilRunning,
} from '../../support/shardSteps.ts';
import { SHARD, ShardWorld } from '../../support/shardWorld.ts';

describe('faults of owners', () => {
  describe('change of owner', () => {
    it('does not take longer than 8 s after the owner crashes', () => {
      const { world, owner, check } = startWorld({ workMs: LONG_WORK_MS });
      const jobId = submitJob(world, owner, 'a');
      waitUntilRunning(world, jobId);
      owner.isDead = true;
      const tookMs = world.runUntil(() => world.owner !== undefined, 8_000, 'another owner');
      expect(tookMs).toBeLessThanOrEqual(8_000);
      world.run(20_000, check);
      expect(listLiveRuns(world)).toMatchObject([
        { taskId: jobId, incarnation: 1, phase: 'running' },
      ]);
    });

    it('does not wait for the store lease to expire after a graceful stop', () => {
      const { world, owner } = startWorld();
      owner.state.self.phase = 'leaving';
      const next = (): boolean => world.owner !== undefined && world.owner !== owner;
      const tookMs = world.runUntil(next, 3_000, 'another owner');
      expect(tookMs).toBeLessThanOrEqual(2_000);
      expect(world.isOwner(owner)).toBe(false);
    });

    it('does not let an owner that was paused beyond its lease change the ledger or command workers', () => {
      const { world, owner, check } = startWorld({ workMs: LONG_WORK_MS });
      const jobId = submitJob(world, owner, 'a');
      waitUntilRunning(world, jobId);
      owner.isPaused = true;
      world.runUntil(() => world.owner !== undefined, 9_000, 'another owner');
      const lateCall = world.submit(owner, 'late');
      owner.isPaused = false;
      world.run(3_000, check);
      expect(world.isOwner(owner)).toBe(false);
      expect(world.entries.filter((entry) => world.isOwner(entry))).toHaveLength(1);
      world.run(15_000, check);
      const isAccepted = world.getValue(lateCall) !== undefined;
      expect(world.owner!.state.tasks.size).toBe(isAccepted ? 2 : 1);
      expect(listLiveRuns(world).filter((run) => run.taskId === jobId)).toHaveLength(1);
    });

    it('does not give the shard to two of five competing entries', () => {
      const world = ShardWorld.create({ entries: 5 });
      let maxOwners = 0;
      world.run(15_000, () => {
        maxOwners = Math.max(
          maxOwners,
          world.entries.filter((entry) => world.isOwner(entry)).length,
        );
      });
      expect(maxOwners).toBe(1);
      expect(world.owner!.state.duties.get(SHARD)?.epoch).toBe(1);
      const addresses = world.entries.map((entry) => entry.state.duties.get(SHARD)?.ownerAddress);
      expect(new Set(addresses)).toEqual(new Set([world.owner!.address]));
    });

    it('does not resume work of workers lost with the owner before their leases expire', () => {
      const graceMs = 30_000;
      const { world, owner, check } = startWorld({ workMs: LONG_WORK_MS, graceMs, workers: 2 });
      const jobId = submitJob(world, owner, 'a');
      waitUntilRunning(world, jobId);
      const lostAgent = world.agents.find((agent) => agent.worker.starts.length > 0)!;
      owner.isDead = true;
      lostAgent.isCut = true;
      world.runUntil(() => world.owner !== undefined, 8_000, 'another owner');
      const takeoverMs = world.clock.now;
      const isRestarted = (): boolean => {
        check();
        return (getTask(world, jobId)?.incarnation ?? 0) > 1;
      };
      world.runUntil(isRestarted, graceMs + 20_000, 'the next incarnation');
      const waitedMs = world.clock.now - takeoverMs;
      expect(waitedMs).toBeGreaterThanOrEqual(graceMs + 15_000);
      expect(waitedMs).toBeLessThanOrEqual(graceMs + 17_000);
    });
  });
});
