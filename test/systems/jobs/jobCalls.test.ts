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

describe('job calls', () => {
  describe('submission', () => {
    it('does not create a second job for a repeated submission at another entry', () => {
      const { world } = startWorld();
      const first = submitJob(world, world.entries[0]!, 'same');
      const second = submitJob(world, world.entries[1]!, 'same');
      expect(second).toBe(first);
      expect(world.owner!.state.tasks.size).toBe(1);
    });

    it('does not create a second job when the owner changes between two submissions', () => {
      const { world, owner } = startWorld();
      const first = submitJob(world, owner, 'same', { priority: 'urgent' });
      owner.isDead = true;
      world.runUntil(() => world.owner !== undefined, 8_000, 'another owner');
      expect(submitJob(world, world.owner!, 'same')).toBe(first);
      expect(world.owner!.state.tasks.size).toBe(1);
    });

    it('does not report a write that may have taken effect as not executed', () => {
      const { world, owner } = startWorld();
      world.shouldLoseReply = (call) => call.op === 'write' && call.key.includes('/j/');
      const callId = world.submit(owner, 'doubt');
      world.run(300);
      world.isStoreDown = true;
      world.run(12_000);
      expect(world.getFailure(callId)).toBe('outcome_unknown');
      world.shouldLoseReply = () => false;
      world.isStoreDown = false;
      world.run(5_000);
      expect(world.owner!.state.tasks.size).toBe(1);
    });

    it('does not execute a call later that it reported as not executed while the store was down', () => {
      const { world, owner } = startWorld();
      world.isStoreDown = true;
      const first = world.submit(owner, 'in-flight');
      world.run(200);
      const second = world.submit(owner, 'waiting');
      world.run(12_000);
      expect(world.getFailure(first)).toBe('outcome_unknown');
      expect(world.getFailure(second)).toBe('store_unavailable');
      world.isStoreDown = false;
      world.run(20_000);
      const waiting = world.submit(world.owner!, 'waiting');
      world.run(1_000);
      expect(world.getValue(waiting)).toMatchObject({ attempts: 0 });
    });

    it('does not leave callers without an answer when there is no owner', () => {
      const { world } = startWorld({ entries: 2 });
      for (const entry of world.entries) if (world.isOwner(entry)) entry.isDead = true;
      world.isStoreDown = true;
      const alive = world.entries.find((entry) => !entry.isDead)!;
      const callId = world.submit(alive, 'x');
      world.run(11_000);
      expect(['no_owner', 'outcome_unknown']).toContain(world.getFailure(callId));
    });

    it('does not report a pool as unknown before the configuration has been read', () => {
      const world = ShardWorld.create();
      world.isStoreDown = true;
      const callId = world.submit(world.entries[0]!, 'x');
      world.run(100);
      expect(world.getFailure(callId)).toBe('no_owner');
    });

    it('does not accept invalid submissions or calls for unknown jobs', () => {
      const { world, owner } = startWorld();
      const invalid = world.submit(owner, 'x', { demand: { cores: -1 } });
      const wrongPool = world.submit(owner, 'x', { pool: 'none' });
      const huge = world.submit(owner, 'x', { command: ['x'.repeat(70_000)] });
      const unknown = world.call(owner, { kind: 'status', jobId: `${SHARD}:00` });
      const elsewhere = world.call(owner, { kind: 'cancel', jobId: 'nowhere:00' });
      world.run(500);
      expect(world.getFailure(invalid)).toBe('bad_request');
      expect(world.getFailure(wrongPool)).toBe('bad_request');
      expect(world.getFailure(huge)).toBe('body_too_large');
      expect(world.getFailure(unknown)).toBe('job_unknown');
      expect(world.getFailure(elsewhere)).toBe('job_unknown');
    });
  });

  describe('cancellation', () => {
    it('does not let a job start that was cancelled while queued', () => {
      const { world, owner } = startWorld();
      const jobId = submitJob(world, owner, 'big', {
        demand: { cores: 99, memoryMb: 1, accelerators: 0 },
      });
      const cancel = world.call(world.entries[1]!, { kind: 'cancel', jobId });
      world.run(1_000);
      expect(world.getValue(cancel)).toMatchObject({ phase: 'cancelled' });
      expect(world.listStarts()).toEqual([]);
    });

    it('does not leave a cancelled job running or restart it', () => {
      const { world, owner } = startWorld({ workMs: LONG_WORK_MS });
      const jobId = submitJob(world, owner, 'a');
      waitUntilRunning(world, jobId);
      world.call(owner, { kind: 'cancel', jobId });
      world.run(5_000);
      expect(getTask(world, jobId)?.phase).toBe('cancelled');
      expect(listLiveRuns(world)).toEqual([]);
      expect(world.listStarts()).toHaveLength(1);
    });
  });
});
