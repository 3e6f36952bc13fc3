import { describe, expect, it } from 'vitest';
import { createWorld, JOB, readPhase } from '../../support/jobWorld.ts';
import { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { EntryNode, WorkerOptions } from '../../support/worldNodes.ts';

/** Creates a world with one entry and a worker for each shape. */
function createShapedWorld(shapes: readonly WorkerOptions[]): {
  world: SchedulerWorld;
  entry: EntryNode;
} {
  const world = SchedulerWorld.create(1, 0);
  shapes.forEach((shape, index) => world.addAgent(`agent-${index}`, shape));
  world.run(2_000);
  return { world, entry: world.entries[0]! };
}

function listWorkers(world: SchedulerWorld, step = '0.0', count = 1): string[] {
  return Array.from({ length: count }, (_, index) => index).flatMap((index) =>
    world.listStarts(`${JOB}.${step}.${index}`).map(({ agent }) => agent),
  );
}

describe('kinds of steps', () => {
  describe('places', () => {
    const RACKS = [
      { labels: ['rack-1'] },
      { labels: ['rack-2'] },
      { labels: ['rack-2', 'fast'] },
      { labels: ['rack-1'] },
    ];

    it('does not start a task on a worker without its label', () => {
      const { world, entry } = createShapedWorld(RACKS);
      world.submit(entry, JOB, [{ count: 4, cpuMillis: 4_000, requiredLabel: 'fast' }]);
      world.run(4_000);
      expect(listWorkers(world, '0.0', 4)).toEqual(Array(4).fill('agent-2'));
    });

    it('does not place work away from its data while there is capacity near it', () => {
      const { world, entry } = createShapedWorld(RACKS);
      world.submit(entry, JOB, [{ count: 4, cpuMillis: 4_000, nearRack: 'rack-1' }]);
      world.run(3_000);
      expect(new Set(listWorkers(world, '0.0', 4))).toEqual(new Set(['agent-0', 'agent-3']));
    });

    it('does not delay work when there is capacity only away from its data', () => {
      const { world, entry } = createShapedWorld(RACKS);
      world.submit(entry, JOB, [{ count: 4, cpuMillis: 8_000, nearRack: 'rack-1' }]);
      world.run(900);
      expect(listWorkers(world, '0.0', 4)).toHaveLength(4);
    });

    it('does not spread a gang over racks when one rack has capacity for it', () => {
      const { world, entry } = createShapedWorld(RACKS);
      world.submit(entry, JOB, [{ count: 4, cpuMillis: 4_000, gang: true, sameRack: true }]);
      world.run(900);
      const workers = listWorkers(world, '0.0', 4);
      expect(workers).toHaveLength(4);
      expect([
        ['agent-0', 'agent-3'],
        ['agent-1', 'agent-2'],
      ]).toContainEqual([...new Set(workers)].sort());
    });

    it('does not place more tasks of a step on one worker than the step allows', () => {
      const { world, entry } = createWorld(1, 3);
      world.behave = () => ({ durationMs: 3_000, end: 'done' });
      world.submit(entry, JOB, [{ count: 9, cpuMillis: 500, maxPerWorker: 2 }]);
      for (let step = 0; step < 50; step += 1) {
        world.run(100);
        for (const { runner } of world.agents) expect(runner.running.size).toBeLessThanOrEqual(2);
      }
      expect(listWorkers(world, '0.0', 6)).toHaveLength(6);
    });
  });

  describe('occurrences', () => {
    it('does not start an occurrence before its time, and completes the job after the last one', () => {
      const { world, entry } = createWorld(1, 1);
      const startAtMs = world.clock.now + entry.state.wallOffsetMs + 2_000;
      const schedule = { occurrences: 3, startAtMs, intervalMs: 1_500 };
      world.submit(entry, JOB, [{ count: 1 }], schedule);
      world.run(1_900);
      for (const index of [0, 1, 2]) {
        expect(world.listStarts(`${JOB}.${index}.0.0`)).toHaveLength(0);
        expect(entry.state.jobs.get(JOB)?.phase).not.toBe('completed');
        world.run(200);
        expect(world.listStarts(`${JOB}.${index}.0.0`)).toHaveLength(1);
        world.run(1_300);
      }
      world.run(2_000);
      expect(readPhase(world, entry)).toBe('completed');
    });

    it('does not delay an occurrence while the previous one still runs', () => {
      const { world, entry } = createWorld(1, 1);
      world.behave = () => ({ durationMs: 5_000, end: 'done' });
      const schedule = {
        occurrences: 2,
        startAtMs: world.clock.now + entry.state.wallOffsetMs,
        intervalMs: 1_000,
      };
      world.submit(entry, JOB, [{ count: 1 }], schedule);
      world.run(1_500);
      expect(world.agents[0]!.runner.running.size).toBe(2);
    });

    it('does not run an occurrence again after the owner has changed', () => {
      const { world, entry } = createWorld(3, 1);
      const startAtMs = world.clock.now + entry.state.wallOffsetMs + 500;
      world.submit(entry, JOB, [{ count: 1 }], { occurrences: 3, startAtMs, intervalMs: 3_000 });
      world.run(2_500);
      world.kill(world.owner!);
      world.run(10_000);
      for (const index of [0, 1, 2])
        expect(world.listStarts(`${JOB}.${index}.0.0`)).toHaveLength(1);
      expect(readPhase(world, world.owner!)).toBe('completed');
    });

    it.each([
      ['still runs', 6_000],
      ['is done', 200],
    ])(
      'does not run an occurrence again that %s when the clock of the next owner is behind',
      (_, durationMs) => {
        const { world, entry } = createWorld(3, 1);
        world.behave = () => ({ durationMs, end: 'done' });
        for (const other of world.entries)
          if (other !== world.owner) other.state.wallOffsetMs -= 4_000;
        const startAtMs = world.clock.now + world.owner!.state.wallOffsetMs + 200;
        world.submit(entry, JOB, [{ count: 1 }], { occurrences: 2, startAtMs, intervalMs: 9_000 });
        world.run(1_000);
        expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(1);
        world.kill(world.owner!);
        world.run(9_000);
        expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(1);
        expect(world.listStarts(`${JOB}.1.0.0`)).toHaveLength(0);
        world.run(12_000);
        expect(world.listStarts(`${JOB}.1.0.0`)).toHaveLength(1);
      },
    );
  });

  describe('gangs', () => {
    it('does not send the start of a member that was released with an earlier member', () => {
      const { world, entry } = createWorld(1, 2);
      world.submit(entry, JOB, [{ count: 2, cpuMillis: 5_000, gang: true }]);
      world.run(6);
      const first = entry.state.runs.get(`${JOB}.0.0.0#1`)!;
      expect(first.phase).toBe('placed');
      const agent = world.agents.find(({ id }) => first.workerKey.startsWith(`${id}|`))!;
      world.links.closeAgent(entry, agent);
      world.run(100);
      expect(world.listStarts(`${JOB}.0.0.1`)).toEqual([]);
      world.run(3_000);
      expect(readPhase(world, entry)).toBe('completed');
    });
  });

  describe('copies', () => {
    it('does not wait for the lease of a silent worker when copies are allowed', () => {
      const { world, entry } = createWorld(1, 2);
      world.behave = () => ({ durationMs: 1_500, end: 'done' });
      world.submit(entry, JOB, [{ count: 1, speculative: true }]);
      world.run(500);
      const agent = world.agents.find(({ runner }) => runner.running.size > 0)!;
      world.disconnectAgent(agent);
      world.run(4_500);
      expect(readPhase(world, entry)).toBe('completed');
      expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(2);
    });

    it('does not wait for the stop of a stalled run when copies are allowed', () => {
      const { world, entry } = createWorld(1, 2);
      world.behave = (_, run) => ({ durationMs: 1_000, end: 'done', isStalled: run === 1 });
      world.submit(entry, JOB, [{ count: 1, speculative: true }]);
      world.run(5_500);
      expect(readPhase(world, entry)).toBe('completed');
      expect(world.agents.flatMap(({ runner }) => [...runner.running])).toHaveLength(0);
    });

    it('does not copy the runs of a cancelled job', () => {
      const { world, entry } = createWorld(1, 2);
      world.submit(entry, JOB, [{ count: 1, speculative: true }]);
      world.run(500);
      const agent = world.agents.find(({ runner }) => runner.running.size > 0)!;
      world.call(entry, JOB, { kind: 'cancel' });
      world.disconnectAgent(agent);
      world.run(4_000);
      expect(entry.state.counters.get('run_copies')).toBe(0);
      expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(1);
    });

    it('does not run more than two copies', () => {
      const { world, entry } = createWorld(1, 4);
      world.behave = () => ({ durationMs: 1_000, end: 'done', isStalled: true });
      world.submit(entry, JOB, [{ count: 1, speculative: true }]);
      for (let step = 0; step < 200; step += 1) {
        world.run(100);
        const copies = world.agents.filter(({ runner }) => runner.running.size > 0);
        expect(copies.length).toBeLessThanOrEqual(2);
      }
    });
  });
});
