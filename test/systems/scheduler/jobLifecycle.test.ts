import { describe, expect, it } from 'vitest';
import { STORE_KEYS } from '../../../src/model/scheduler/jobRecord.ts';
import { createJobId, createWorld, JOB, readPhase } from '../../support/jobWorld.ts';
import { createJobSpec } from '../../support/worldNodes.ts';

describe('job lifecycle', () => {
  describe('without faults', () => {
    it('does not leave a job of two steps unfinished or run a task twice', () => {
      const { world, entry } = createWorld();
      const callId = world.submit(entry, JOB, [{ count: 3 }, { count: 2, after: [0] }]);
      world.run(4_000);
      expect(entry.answers.get(callId)?.kind).toBe('accepted');
      for (const node of world.entries) expect(readPhase(world, node)).toBe('completed');
      for (const task of ['0.0.0', '0.0.1', '0.0.2', '0.1.0', '0.1.1'])
        expect(world.listStarts(`${JOB}.${task}`)).toHaveLength(1);
    });

    it('does not start a step before all tasks of the preceding step are done', () => {
      const { world, entry } = createWorld();
      world.behave = (task) => ({
        durationMs: task.endsWith('.0.1') ? 3_000 : 500,
        end: 'done',
      });
      world.submit(entry, JOB, [{ count: 2 }, { count: 1, after: [0] }]);
      world.run(2_500);
      expect(world.listStarts(`${JOB}.0.1.0`)).toHaveLength(0);
      world.run(2_500);
      expect(world.listStarts(`${JOB}.0.1.0`)).toHaveLength(1);
    });

    it('does not run a job twice when its submission is repeated at another entry', () => {
      const { world } = createWorld();
      const calls = world.entries.map((node) => world.submit(node, JOB, [{ count: 1 }]));
      world.run(3_000);
      world.entries.forEach((node, index) => {
        expect(node.answers.get(calls[index]!)?.kind).toBe('accepted');
      });
      expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(1);
    });

    it('does not exceed the capacity of a worker', () => {
      const { world, entry } = createWorld(1, 1);
      world.submit(entry, JOB, [{ count: 20, cpuMillis: 3_000 }]);
      for (let step = 0; step < 30; step += 1) {
        world.run(200);
        expect(world.agents[0]!.runner.running.size).toBeLessThanOrEqual(2);
      }
    });

    it('does not start one member of a gang without the others', () => {
      const { world, entry } = createWorld(1, 2);
      world.submit(entry, JOB, [{ count: 5, cpuMillis: 4_000, gang: true }]);
      world.run(3_000);
      expect(world.agents.flatMap(({ runner }) => runner.starts)).toHaveLength(0);
      const other = createJobId(7);
      world.submit(entry, other, [{ count: 4, cpuMillis: 4_000, gang: true }]);
      world.run(500);
      expect(world.agents.flatMap(({ runner }) => runner.starts)).toHaveLength(4);
    });

    it('does not abandon a long-running task whose runs end', () => {
      const { world, entry } = createWorld();
      world.behave = () => ({ durationMs: 500, end: 'failed' });
      world.submit(entry, JOB, [{ count: 1, longRunning: true }]);
      world.run(5_000);
      expect(world.listStarts(`${JOB}.0.0.0`).length).toBeGreaterThan(3);
      expect(readPhase(world, entry)).toBe('running');
    });

    it('does not attempt a task more often than its queue allows', () => {
      const { world, entry } = createWorld();
      world.behave = () => ({ durationMs: 200, end: 'failed' });
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(8_000);
      expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(3);
      expect(readPhase(world, entry)).toBe('failed');
    });

    it('does not start tasks of a cancelled job', () => {
      const { world, entry } = createWorld(2, 1);
      world.submit(entry, JOB, [{ count: 4, cpuMillis: 4_000 }]);
      world.run(500);
      const callId = world.call(world.entries[1]!, JOB, { kind: 'cancel' });
      world.run(1_000);
      expect(world.entries[1]!.answers.get(callId)?.kind).toBe('cancelled');
      expect(world.agents[0]!.runner.running.size).toBe(0);
      world.run(5_000);
      expect(world.agents[0]!.runner.starts).toHaveLength(2);
      expect(readPhase(world, entry)).toBe('cancelled');
    });

    it('does not run a job whose delayed submission is stored after its cancellation', () => {
      const { world } = createWorld(2, 1);
      const other = world.entries.find((node) => node !== world.owner)!;
      other.store = 'late';
      const submission = world.submit(other, JOB, [{ count: 1 }], {}, { deadlineMs: 600 });
      world.run(700);
      expect(other.answers.get(submission)?.kind).toBe('refused');
      other.store = 'up';
      const cancellation = world.call(world.owner!, JOB, { kind: 'cancel' });
      world.run(100);
      expect(world.owner!.answers.get(cancellation)?.kind).toBe('gone');
      world.run(8_000);
      expect(world.listStarts(`${JOB}.0.0.0`)).toEqual([]);
      expect(readPhase(world, other)).toBe('gone');
    });

    it('does not refuse a job permanently whose id was cancelled before its submission', () => {
      const { world, entry } = createWorld(1, 1);
      world.call(entry, JOB, { kind: 'cancel' });
      world.run(100);
      const early = world.submit(entry, JOB, [{ count: 1 }]);
      world.run(100);
      expect(entry.answers.get(early)).toMatchObject({ kind: 'refused', error: 'job_cancelled' });
      world.run(11_000);
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(4_000);
      expect(readPhase(world, entry)).toBe('completed');
    });

    it('does not report a phase for a job that was never submitted', () => {
      const { world, entry } = createWorld();
      expect(readPhase(world, entry, createJobId(99))).toBe('gone');
    });
  });

  describe('with many jobs', () => {
    it('does not exceed the number of entries that the store accepts in a transaction', () => {
      const { world, entry } = createWorld(1, 2);
      for (let index = 1; index <= 60; index += 1)
        world.submit(entry, createJobId(index), [{ count: 1, cpuMillis: 100 }]);
      world.run(4_000);
      for (let index = 1; index <= 60; index += 1)
        expect(readPhase(world, entry, createJobId(index))).toBe('completed');
    });
  });

  describe('with a store that fails', () => {
    it('does not answer that a submission with an unanswered store write did not run', () => {
      const { world, entry } = createWorld();
      entry.store = 'answerLost';
      const spec = { payload: '', steps: [], occurrences: 0, startAtMs: 0, intervalMs: 0 };
      const callId = world.call(entry, JOB, { kind: 'submit', spec }, { deadlineMs: 20 });
      world.run(100);
      const answer = entry.answers.get(callId);
      expect(answer).toMatchObject({ kind: 'refused', error: 'deadline_exceeded_running' });
      expect(world.store.handle({ op: 'read', key: STORE_KEYS.job(JOB) })).toMatchObject({
        entry: { version: expect.any(Number) as number },
      });
    });

    it('does not keep a caller waiting while the store refuses every call', () => {
      const { world, entry } = createWorld();
      for (const node of world.entries) node.store = 'refuses';
      world.run(1_500);
      const callId = world.submit(entry, JOB, [{ count: 1 }]);
      world.run(20);
      expect(entry.answers.get(callId)).toMatchObject({
        kind: 'refused',
        error: 'store_unavailable',
        retryAfterMs: expect.any(Number) as number,
      });
    });

    it('does not refuse a job while the store still answers the owner', () => {
      const { world } = createWorld(3);
      const entry = world.entries.find((node) => node !== world.owner)!;
      entry.store = 'refuses';
      world.run(1_000);
      const callId = world.submit(entry, JOB, [{ count: 1 }]);
      world.run(200);
      expect(entry.answers.get(callId)?.kind).toBe('accepted');
      world.run(2_000);
      expect(readPhase(world, entry)).toBe('completed');
    });

    it('does not leave ownership with an entry that the store refuses', () => {
      const { world } = createWorld(3);
      const owner = world.owner!;
      world.submit(owner, JOB, [{ count: 2 }, { count: 2, after: [0] }]);
      world.run(300);
      owner.store = 'refuses';
      world.run(900);
      expect(world.owner).toBeDefined();
      expect(world.owner).not.toBe(owner);
      world.run(3_000);
      const callId = world.submit(owner, createJobId(5), [{ count: 1 }]);
      world.run(300);
      expect(owner.answers.get(callId)?.kind).toBe('accepted');
      expect(readPhase(world, world.owner!)).toBe('completed');
      expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(1);
    });

    it('does not let the leases of running tasks expire in a store outage of 8 s', () => {
      const { world, entry } = createWorld();
      world.behave = () => ({ durationMs: 9_000, end: 'done' });
      world.submit(entry, JOB, [{ count: 2 }]);
      world.run(500);
      for (const node of world.entries) node.store = 'refuses';
      world.run(8_000);
      for (const node of world.entries) node.store = 'up';
      world.run(4_000);
      expect(readPhase(world, entry)).toBe('completed');
      expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(1);
    });

    it('does not run a task twice when store answers to the owner are lost', () => {
      const { world } = createWorld();
      const owner = world.owner!;
      owner.store = 'answerLost';
      world.submit(
        world.entries.find((node) => node !== owner)!,
        JOB,
        [{ count: 3 }],
      );
      world.run(3_000);
      owner.store = 'up';
      world.run(6_000);
      for (const index of [0, 1, 2])
        expect(world.listStarts(`${JOB}.0.0.${index}`)).toHaveLength(1);
      expect(readPhase(world, owner)).toBe('completed');
    });
  });

  describe('with a store that has lost its change history', () => {
    it('does not run a job whose cancellation the owner reads in the same list', () => {
      const { world, entry } = createWorld(1, 1);
      const job = {
        queue: 'queue',
        service: 'svc',
        spec: createJobSpec([{ count: 1 }], {}),
        acceptedAtMs: world.clock.now,
      };
      for (const [key, value] of [
        [STORE_KEYS.job(JOB), job],
        [STORE_KEYS.cancel(JOB), { by: 'entry-1' }],
      ] as const)
        world.store.handle({ op: 'write', key, expectedVersion: 0, value });
      world.store.discardHistory();
      world.run(3_000);
      expect(entry.state.jobs.get(JOB)?.phase).toBe('cancelled');
      expect(world.listStarts(`${JOB}.0.0.0`)).toEqual([]);
    });
  });

  describe('with the deletion of an old job', () => {
    it('does not run a job again when the store refuses its deletion', () => {
      const { world, entry } = createWorld(1, 1);
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(4_000);
      expect(readPhase(world, entry)).toBe('completed');
      entry.state.bounds.statusSeconds = 1;
      world.run(entry.state.timers.retentionAt - world.clock.now - 10);
      entry.store = 'refuses';
      world.run(100);
      entry.store = 'up';
      world.run(500);
      const callId = world.submit(entry, JOB, [{ count: 1 }]);
      world.run(3_000);
      expect(entry.answers.get(callId)?.kind).toBe('accepted');
      expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(1);
      world.run(5_000);
      expect(readPhase(world, entry)).toBe('gone');
    });

    it('does not run a job again when a list that was read before its deletion contains it', () => {
      const { world, entry } = createWorld(1, 1);
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(4_000);
      entry.state.bounds.statusSeconds = 1;
      // The list takes three pages, and the first one contains the job.
      for (let index = 0; index < 1_200; index += 1) {
        const key = STORE_KEYS.job(createJobId(0x1000 + index));
        world.store.handle({ op: 'write', key, expectedVersion: 0, value: 'unreadable' });
      }
      world.store.discardHistory();
      while (!entry.state.load.callId.startsWith('intakeList')) world.run(1);
      entry.state.timers.retentionAt = world.clock.now;
      world.run(3_000);
      expect(readPhase(world, entry)).toBe('gone');
      expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(1);
    });
  });
});
