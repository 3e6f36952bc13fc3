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
import { WorldChecks } from '../../support/worldChecks.ts';

describe('faults of the store', () => {
  describe('an owner', () => {
    it('does not run a task twice when the reply to every other ledger or ownership write is lost', () => {
      const world = ShardWorld.create({ workMs: 3_000 });
      let writes = 0;
      world.shouldLoseReply = (call) => call.op === 'write' && (writes += 1) % 2 === 1;
      world.runUntil(() => world.owner !== undefined, 30_000, 'an owner');
      const jobId = submitJob(world, world.owner!, 'a');
      const checks = WorldChecks.create(world);
      const until = (): boolean => {
        checks.check();
        return getTask(world, jobId)?.phase === 'finished';
      };
      world.runUntil(until, 60_000, 'the end of the job');
      expect(world.listStarts()).toHaveLength(1);
      expect(world.owner!.state.duties.get(SHARD)?.epoch).toBe(1);
    });

    it('does not stop running tasks or start new ones while the store is down for minutes', () => {
      const { world, owner, check } = startWorld({ workMs: LONG_WORK_MS });
      const jobId = submitJob(world, owner, 'a');
      waitUntilRunning(world, jobId);
      const waiting = submitJob(world, owner, 'big', {
        demand: { cores: 8, memoryMb: 1, accelerators: 0 },
      });
      waitUntilRunning(world, waiting);
      const starts = world.listStarts().length;
      world.isStoreDown = true;
      world.run(180_000, check);
      expect(listLiveRuns(world).map((run) => run.phase)).toEqual(['running', 'running']);
      expect(world.listStarts()).toHaveLength(starts);
      world.isStoreDown = false;
      world.run(10_000, check);
      expect(world.entries.filter((entry) => world.isOwner(entry))).toHaveLength(1);
      expect(listLiveRuns(world).map((run) => run.incarnation)).toEqual([1, 1]);
    });

    it('does not renew leases beyond the grace period, and resumes the suspended run afterwards', () => {
      const { world, owner, check } = startWorld({ workMs: LONG_WORK_MS, graceMs: 20_000 });
      const jobId = submitJob(world, owner, 'a');
      waitUntilRunning(world, jobId);
      world.isStoreDown = true;
      world.run(60_000, check);
      expect(listLiveRuns(world).map((run) => run.phase)).toEqual(['suspended']);
      world.isStoreDown = false;
      world.run(15_000, check);
      expect(listLiveRuns(world)).toMatchObject([
        { taskId: jobId, incarnation: 1, phase: 'running' },
      ]);
    });

    it('does not lose a confirmed change through a late write of an earlier owner', () => {
      const { world, owner } = startWorld({ workers: 0 });
      submitJob(world, owner, 'first');
      world.getStoreDelayMs = (call) => (call.op === 'write' ? 9_500 : 0);
      world.submit(owner, 'late');
      world.run(400);
      owner.isDead = true;
      world.getStoreDelayMs = () => 0;
      world.runUntil(() => world.owner !== undefined, 9_000, 'another owner');
      const jobId = submitJob(world, world.owner!, 'second');
      world.run(5_000);
      world.owner!.isDead = true;
      world.restartEntry(world.entries.indexOf(owner));
      world.runUntil(() => world.owner !== undefined, 9_000, 'a third owner');
      expect(getTask(world, jobId)?.phase).toBe('queued');
      expect(world.owner!.state.tasks.size).toBe(2);
    });

    it('does not keep finished jobs beyond the retention time of 24 h', () => {
      const { world, owner } = startWorld({ entries: 1 });
      const jobId = submitJob(world, owner, 'a');
      world.run(20_000);
      expect(getTask(world, jobId)?.phase).toBe('finished');
      world.clock.advance(24 * 3_600_000);
      world.run(80_000);
      expect(world.owner!.state.tasks.size).toBe(0);
    });

    it('does not use a damaged segment, and logs its key', () => {
      const { world, owner } = startWorld();
      submitJob(world, owner, 'a');
      const entry = world.store.handle({ op: 'list', prefix: `ledger/${SHARD}/j/` });
      const segment = entry.kind === 'entries' ? entry.entries[0]! : undefined;
      const { key, version: expectedVersion } = segment!;
      world.store.handle({ op: 'write', key, expectedVersion, value: { seq: 'broken' } });
      owner.isDead = true;
      world.run(15_000);
      expect(world.owner).toBeUndefined();
      const log = world.logs.find(({ event }) => event === 'ledger_damaged');
      expect(log?.fields).toMatchObject({ shard: SHARD, key });
      expect(String(log?.fields.faults)).toContain('seq');
    });

    it('does not write parts larger than a store value or lose tasks when the layout changes', () => {
      const { world, owner } = startWorld({ workers: 0 });
      const bytes = 16_000;
      const count = 200;
      for (let index = 0; index < count; index += 1) {
        world.submit(owner, `job-${index}`, { command: ['x'.repeat(bytes)] });
      }
      world.run(3_000);
      for (let index = 0; index < 80; index += 1) {
        submitJob(world, owner, `small-${index}`, { priority: 'urgent' });
      }
      expect(owner.state.ledgers.get(SHARD)!.parts.length).toBeGreaterThan(4);
      const sizes = world.storeCalls.map((call) =>
        call.op === 'write' ? JSON.stringify(call.value).length : 0,
      );
      expect(Math.max(...sizes)).toBeLessThan(1_000_000);
      owner.isDead = true;
      world.runUntil(() => world.owner !== undefined, 8_500, 'another owner');
      expect(world.owner!.state.tasks.size).toBe(count + 80);
    });
  });
});
