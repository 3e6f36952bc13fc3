import { describe, expect, it } from 'vitest';
import { MemoryAdviser } from '../../../src/standins/memoryAdviser.ts';
import { createWorld, JOB, readPhase } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { EntryNode } from '../../support/worldNodes.ts';
import { writeWorldConfiguration } from '../../support/worldNodes.ts';

/** Creates a world whose queue requires tickets and whose workers check them. */
function createAdvisedWorld(
  isAllowed: (workerId: string) => boolean,
  validMs = 5_000,
  agents = 4,
): { world: SchedulerWorld; entry: EntryNode; adviser: MemoryAdviser } {
  const { world, entry } = createWorld(1, agents);
  const adviser = MemoryAdviser.create(validMs, (_, workerId) => isAllowed(workerId));
  world.adviser = adviser;
  const advice = { decideMs: 20, perWorkerMs: 1, validMs };
  writeWorldConfiguration(world.store, 2, 'svc', { advice });
  for (const agent of world.agents)
    agent.runner.isTicketValid = (task, ticket) =>
      adviser.isValid(ticket, task, `worker-${agent.id}`, world.clock.now);
  world.run(1_500);
  return { world, entry, adviser };
}

describe('placement advice', () => {
  describe('tickets', () => {
    it('does not start a task on a worker that the adviser does not allow', () => {
      const { world, entry, adviser } = createAdvisedWorld((id) => id === 'worker-agent-2');
      world.submit(entry, JOB, [{ count: 6, cpuMillis: 3_000 }]);
      world.run(5_000);
      expect(readPhase(world, entry)).toBe('completed');
      for (const agent of world.agents)
        expect(agent.runner.starts).toHaveLength(agent.id === 'agent-2' ? 6 : 0);
      expect(adviser.requests).toHaveLength(1);
      expect(entry.state.counters.get('start_rejections', { reason: 'ticket' })).toBe(0);
    });

    it('does not start a task with an expired ticket', () => {
      const { world, entry, adviser } = createAdvisedWorld(() => true, 800, 1);
      world.submit(entry, JOB, [{ count: 4, cpuMillis: 5_000 }]);
      world.run(7_000);
      expect(readPhase(world, entry)).toBe('completed');
      expect(adviser.requests.length).toBeGreaterThanOrEqual(4);
    });
  });

  describe('requests', () => {
    it('does not ask again about workers that a step may not use', () => {
      const { world, entry, adviser } = createAdvisedWorld(() => false, 500);
      world.submit(entry, JOB, [{ count: 2 }]);
      world.run(5_000);
      expect(adviser.requests).toHaveLength(1);
      expect(readPhase(world, entry)).toBe('pending');
    });

    it('does not flood a busy adviser with requests, and continues once it answers', () => {
      const { world, entry, adviser } = createAdvisedWorld(() => true);
      adviser.isBusy = true;
      world.submit(entry, JOB, [{ count: 2 }]);
      world.run(6_000);
      expect(adviser.requests.length).toBeLessThan(9);
      adviser.isBusy = false;
      world.run(4_000);
      expect(readPhase(world, entry)).toBe('completed');
    });
  });

  describe('with an adviser that is silent or disagrees', () => {
    it('does not wait for ever when the decision time is out of range', () => {
      const { world, entry, adviser } = createAdvisedWorld(() => true);
      const advice = { decideMs: 1e308, perWorkerMs: 1e308, validMs: 5_000 };
      writeWorldConfiguration(world.store, 3, 'svc', { advice });
      world.adviser = undefined;
      world.run(1_500);
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(500);
      world.adviser = adviser;
      world.run(35_000);
      expect(readPhase(world, entry)).toBe('completed');
    });

    it('does not delay queues without a policy while the adviser does not answer', () => {
      const { world, entry } = createAdvisedWorld(() => true);
      world.adviser = undefined;
      for (const { runner } of world.agents) runner.isTicketValid = () => true;
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(500);
      writeWorldConfiguration(world.store, 3);
      world.run(3_000);
      expect(readPhase(world, entry)).toBe('completed');
    });

    it('does not count a rejected ticket as a fault of the worker', () => {
      const { world, entry } = createAdvisedWorld(() => true, 5_000, 1);
      let rejections = 2;
      world.agents[0]!.runner.isTicketValid = () => {
        rejections -= 1;
        return rejections < 0;
      };
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(1_000);
      expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(1);
      expect(world.logs.some(({ event }) => event === 'worker_troubled')).toBe(false);
    });
  });
});
