import { describe, expect, it } from 'vitest';
import { STORE_KEYS } from '../../../src/model/scheduler/jobRecord.ts';
import { OPERATOR_KEYS } from '../../../src/model/scheduler/queueConfiguration.ts';
import type { Queue } from '../../../src/model/scheduler/queueConfiguration.ts';
import { MemoryAdviser } from '../../../src/standins/memoryAdviser.ts';
import { createJobId, createWorld, JOB, TASK, writeValue } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { EntryNode } from '../../support/worldNodes.ts';
import { createJobSpec, writeWorldQueues } from '../../support/worldNodes.ts';

const ATTEMPTS = 2;
const OTHER_QUEUE = { name: 'other', prefix: '/other/', attempts: 1 };
const FAILED = { durationMs: 1_000, end: 'failed' } as const;

/** Creates a world with the queue of the job and another one; each run of the job fails. */
function createFailingWorld(queue: Partial<Queue> = {}): {
  world: SchedulerWorld;
  entry: EntryNode;
} {
  const created = createWorld(3, 3);
  writeWorldQueues(created.world.store, 2, [{ attempts: ATTEMPTS, ...queue }, OTHER_QUEUE]);
  created.world.behave = () => FAILED;
  created.world.run(2_000);
  return created;
}

/** Removes the queue of the job, or changes it. */
function writeQueues(world: SchedulerWorld, version: number, queue?: Partial<Queue>): void {
  writeWorldQueues(world.store, version, [...(queue === undefined ? [] : [queue]), OTHER_QUEUE]);
  world.run(1_200);
}

/** Replaces the owner by an entry that has never read a configuration with the queue. */
function replaceByNewEntry(world: SchedulerWorld): void {
  for (const entry of world.entries.filter(({ isUp }) => isUp)) world.kill(entry);
  world.addEntry(`entry-${world.entries.length}`);
  while (world.owner === undefined) world.run(10);
}

/** Checks that the task has run as often as allowed and its job has failed. */
function expectFailedAfter(world: SchedulerWorld, runs: number): void {
  expect(world.listStarts(TASK)).toHaveLength(runs);
  expect(readOwnedPhase(world)).toBe('failed');
}

function readOwnedPhase(world: SchedulerWorld): string | undefined {
  return world.owner?.state.jobs.get(JOB)?.phase;
}

/** Writes a job as an earlier build stores it, without the parameters of its queue. */
function writeEarlierJob(world: SchedulerWorld): void {
  const spec = createJobSpec([{ count: 1 }], {});
  const job = { queue: 'queue', service: 'svc', spec, acceptedAtMs: world.clock.now };
  writeValue(world, STORE_KEYS.job(JOB), job);
}

describe('a job whose queue is removed', () => {
  describe('attempts', () => {
    it.each([{}, { gang: true, count: 3 }, { speculative: true }])(
      'of a step with %j do not become unlimited',
      (step) => {
        const { world, entry } = createFailingWorld();
        world.submit(entry, JOB, [step]);
        world.run(300);
        writeQueues(world, 3);
        world.run(8_000);
        expectFailedAfter(world, ATTEMPTS);
      },
    );

    it('do not become unlimited before the first run', () => {
      const { world, entry } = createFailingWorld();
      world.submit(entry, JOB, [{ requiredLabel: 'late' }]);
      world.run(300);
      writeQueues(world, 3);
      replaceByNewEntry(world);
      world.addAgent('agent-late', { labels: ['late'] });
      world.run(8_000);
      expectFailedAfter(world, ATTEMPTS);
    });

    it('do not become unlimited after two takeovers', () => {
      const { world, entry } = createFailingWorld();
      world.behave = () => ({ durationMs: 3_000, end: 'failed' });
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(300);
      writeQueues(world, 3);
      replaceByNewEntry(world);
      world.run(1_500);
      replaceByNewEntry(world);
      world.run(12_000);
      expectFailedAfter(world, ATTEMPTS);
    });

    it('do not become unlimited when the entry of the queue cannot be read any more', () => {
      const { world, entry } = createFailingWorld();
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(300);
      const configuration = { version: 3, maxBodyBytes: 1, queues: [], unreadableItems: 1 };
      writeValue(world, OPERATOR_KEYS.configuration, { kind: 'configuration', configuration });
      world.run(8_000);
      expect(world.listStarts(TASK)).toHaveLength(ATTEMPTS);
    });

    it('are not used up by one failed run', () => {
      const { world, entry } = createFailingWorld();
      world.behave = (_, run) => (run === 1 ? FAILED : { durationMs: 500, end: 'done' });
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(300);
      writeQueues(world, 3);
      world.run(3_000);
      expect(readOwnedPhase(world)).toBe('completed');
    });

    it.each([false, true])(
      'are not those of an earlier configuration of the queue (takeover: %j)',
      (hasTakeover) => {
        const { world, entry } = createFailingWorld();
        world.behave = () => ({ durationMs: 3_000, end: 'failed' });
        world.submit(entry, JOB, [{ count: 1 }]);
        world.run(300);
        writeQueues(world, 3, { attempts: 3 });
        writeQueues(world, 4);
        if (hasTakeover) replaceByNewEntry(world);
        world.run(15_000);
        expectFailedAfter(world, 3);
      },
    );

    it('are not the last ones when the queue comes back with others', () => {
      const { world, entry } = createFailingWorld();
      world.behave = () => ({ durationMs: 3_000, end: 'failed' });
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(300);
      writeQueues(world, 3);
      replaceByNewEntry(world);
      writeQueues(world, 4, { attempts: 4 });
      world.run(20_000);
      expectFailedAfter(world, 4);
    });
  });

  describe('accepted by an earlier build', () => {
    it('does not start beyond the attempts once an owner has known its queue', () => {
      const { world } = createFailingWorld();
      world.behave = () => ({ durationMs: 3_000, end: 'failed' });
      writeEarlierJob(world);
      world.run(1_000);
      writeQueues(world, 3);
      replaceByNewEntry(world);
      world.run(12_000);
      expectFailedAfter(world, ATTEMPTS);
    });

    it('does not start again after a failure while no owner has known its queue', () => {
      const { world } = createFailingWorld();
      writeQueues(world, 3);
      writeEarlierJob(world);
      world.run(6_000);
      expect(world.listStarts(TASK)).toHaveLength(1);
      expect(readOwnedPhase(world)).toBe('running');
      writeQueues(world, 4, { attempts: 3 });
      world.run(6_000);
      expectFailedAfter(world, 3);
    });
  });

  describe('priority', () => {
    it('does not become the highest', () => {
      const { world, entry } = createFailingWorld({ priority: 3 });
      world.behave = () => ({ durationMs: 2_000, end: 'done' });
      const urgent = createJobId(5);
      world.submit(entry, createJobId(4), [{ count: 3, cpuMillis: 8_000 }]);
      world.run(500);
      // Of two jobs of equal priority the one with less work goes first.
      world.submit(entry, JOB, [{ count: 1, cpuMillis: 8_000, estimatedMs: 10_000 }]);
      writeQueues(world, 3);
      const [busy] = world.agents;
      for (const agent of world.agents) if (agent !== busy) world.drainRunner(agent);
      const step = { cpuMillis: 8_000, estimatedMs: 20_000 };
      world.submit(entry, urgent, [step], {}, { prefix: '/other/' });
      while (world.listStarts(TASK).length + world.listStarts(`${urgent}.0.0.0`).length === 0)
        world.run(10);
      expect(world.listStarts(TASK)).toHaveLength(0);
    });

    it('does not protect its runs from urgent work', () => {
      const { world, entry } = createFailingWorld({ priority: 3 });
      world.behave = () => ({ durationMs: 20_000, end: 'done' });
      world.submit(entry, JOB, [{ count: 3, cpuMillis: 8_000, savesProgress: true }]);
      world.run(500);
      writeQueues(world, 3);
      const urgent = createJobId(5);
      world.submit(entry, urgent, [{ cpuMillis: 8_000 }], {}, { prefix: '/other/' });
      world.run(2_000);
      expect(world.listStarts(`${urgent}.0.0.0`)).toHaveLength(1);
    });
  });

  describe('tickets', () => {
    it.each([false, true])('are not left out of its starts (takeover: %j)', (hasTakeover) => {
      const validMs = 2_000;
      const { world, entry } = createFailingWorld({
        advice: { decideMs: 20, perWorkerMs: 1, validMs },
      });
      const adviser = MemoryAdviser.create(validMs, () => true);
      world.adviser = adviser;
      for (const agent of world.agents)
        agent.runner.isTicketValid = (task, ticket) =>
          adviser.isValid(ticket, task, `worker-${agent.id}`, world.clock.now);
      world.behave = (_, run) =>
        run === 1 ? { durationMs: 3_000, end: 'failed' } : { durationMs: 500, end: 'done' };
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(300);
      writeQueues(world, 3);
      if (hasTakeover) replaceByNewEntry(world);
      world.run(8_000);
      expect(world.owner!.state.counters.get('start_rejections', { reason: 'ticket' })).toBe(0);
      expect(readOwnedPhase(world)).toBe('completed');
    });
  });
});
