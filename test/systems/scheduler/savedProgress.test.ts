import { describe, expect, it } from 'vitest';
import { createWorld, JOB, readPhase } from '../../support/jobWorld.ts';
import type { MemoryRunner } from '../../../src/standins/memoryRunner.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { AgentNode, EntryNode } from '../../support/worldNodes.ts';

/** World whose tasks take 4 s and save their progress every 0.5 s. */
class SavingWorld {
  readonly world: SchedulerWorld;
  /** Starts on terminated worker incarnations. */
  private readonly earlier: MemoryRunner['starts'] = [];

  private constructor(entries: number) {
    this.world = createWorld(entries, 3).world;
    this.world.behave = () => ({ durationMs: 4_000, end: 'done', checkpointIntervalMs: 500 });
  }

  static create(entries = 1): SavingWorld {
    return new SavingWorld(entries);
  }

  get entry(): EntryNode {
    return this.world.owner!;
  }

  restartRunner(agent: AgentNode): void {
    this.earlier.push(...agent.runner.starts);
    this.world.restartRunner(agent);
  }

  /** Lists the checkpoints that the starts of a task carried, by run. */
  listCheckpoints(task: string): number[] {
    return [...this.earlier, ...this.world.agents.flatMap(({ runner }) => runner.starts)]
      .filter((start) => start.task === `${JOB}.${task}`)
      .sort((left, right) => left.run - right.run)
      .map(({ checkpoint }) => Number(checkpoint));
  }
}

describe('saved progress', () => {
  describe('of a task', () => {
    it('is not lost when its worker restarts', () => {
      const saving = SavingWorld.create();
      const { world, entry } = saving;
      world.submit(entry, JOB, [{ count: 1, savesProgress: true }]);
      world.run(2_500);
      saving.restartRunner(world.agents.find(({ runner }) => runner.running.size > 0)!);
      world.run(3_500);
      expect(readPhase(world, entry)).toBe('completed');
      const [first, second] = saving.listCheckpoints('0.0.0');
      expect(first).toBe(0);
      expect(second).toBeGreaterThanOrEqual(1_000);
    });

    it('is not lost when the owner dies and the worker becomes unreachable', () => {
      const saving = SavingWorld.create(3);
      const { world } = saving;
      world.submit(world.owner!, JOB, [
        { count: 1, savesProgress: true },
        { count: 1, cpuMillis: 100 },
      ]);
      world.run(1_500);
      // A change of the job stores the checkpoints reported so far.
      world.call(world.owner!, JOB, { kind: 'read' });
      world.run(1_000);
      const agent = world.agents.find(({ runner }) => runner.running.has(`${JOB}.0.0.0`))!;
      world.kill(world.owner!);
      world.disconnectAgent(agent);
      world.run(30_000);
      expect(readPhase(world, world.owner!)).toBe('completed');
      expect(saving.listCheckpoints('0.0.0').length).toBe(2);
    });

    it('does not regress to an older checkpoint in a later run', () => {
      const saving = SavingWorld.create();
      const { world, entry } = saving;
      world.submit(entry, JOB, [{ count: 1, savesProgress: true }]);
      for (let loss = 0; loss < 3; loss += 1) {
        world.run(1_400);
        const agent = world.agents.find(({ runner }) => runner.running.size > 0);
        if (agent !== undefined) saving.restartRunner(agent);
      }
      world.run(5_000);
      const saved = saving.listCheckpoints('0.0.0');
      expect(saved.length).toBeGreaterThan(2);
      expect(saved).toEqual([...saved].sort((left, right) => left - right));
      expect(readPhase(world, entry)).toBe('completed');
    });
  });

  describe('of a gang', () => {
    it('does not differ between the members of a later run', () => {
      const saving = SavingWorld.create();
      const { world, entry } = saving;
      world.submit(entry, JOB, [{ count: 3, cpuMillis: 6_000, gang: true, savesProgress: true }]);
      world.run(2_400);
      saving.restartRunner(world.agents[0]!);
      world.run(8_000);
      expect(readPhase(world, entry)).toBe('completed');
      const members = [0, 1, 2].map((index) => saving.listCheckpoints(`0.0.${index}`));
      for (const saved of members) expect(saved).toEqual(members[0]);
      expect(members[0]).toHaveLength(2);
      expect(members[0]![1]).toBeGreaterThanOrEqual(1_000);
    });

    it.each(['broken', 'alone'] as const)(
      'does not use up attempts of its queue when members end %s',
      (how) => {
        const { world, entry } = SavingWorld.create();
        world.behave = (_, run) =>
          run <= 4 ? { durationMs: 300, end: how } : { durationMs: 500, end: 'done' };
        world.submit(entry, JOB, [{ count: 2, gang: true }]);
        world.run(12_000);
        expect(readPhase(world, entry)).toBe('completed');
        const runs = [0, 1].map((index) =>
          world.listStarts(`${JOB}.0.0.${index}`).map(({ run }) => run),
        );
        expect([...runs[0]!].sort()).toEqual([...runs[1]!].sort());
      },
    );
  });
});
