import { describe, expect, it } from 'vitest';
import type { JobExplanation } from '../../../src/model/scheduler/jobExplanation.ts';
import { jobExplanationSchema } from '../../../src/model/scheduler/jobExplanation.ts';
import { createRunRow } from '../../../src/model/scheduler/rows.ts';
import { buildJobExplanation } from '../../../src/systems/scheduler/jobExplanation.ts';
import { recordMove } from '../../../src/systems/scheduler/moves.ts';
import { createWorld, JOB } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { EntryNode } from '../../support/worldNodes.ts';

type OwnedJob = Extract<JobExplanation, { kind: 'job' }>;

function explain(world: SchedulerWorld, entry: EntryNode, jobId = JOB): JobExplanation {
  const explanation = buildJobExplanation(entry.state, jobId, world.clock.now);
  // The command line parses the explanation that the owner serves.
  return jobExplanationSchema.parse(JSON.parse(JSON.stringify(explanation)));
}

function explainOwned(world: SchedulerWorld, jobId = JOB): OwnedJob {
  const explanation = explain(world, world.owner!, jobId);
  if (explanation.kind !== 'job') throw new Error(`explained as ${explanation.kind}`);
  return explanation;
}

/** Explains why the only step of a job waits. */
function explainWait(
  step: Parameters<SchedulerWorld['submit']>[2][number],
  prepare: (world: SchedulerWorld) => void = () => undefined,
): string {
  const { world, entry } = createWorld(1, 2);
  prepare(world);
  world.submit(entry, JOB, [step]);
  world.run(300);
  return explainOwned(world).steps[0]!.why;
}

describe('explanation of a job', () => {
  describe('states of its steps', () => {
    it('does not omit tasks of any phase', () => {
      const { world, entry } = createWorld(1, 2);
      world.behave = (task) => ({
        durationMs: task.endsWith('.0.0') ? 200 : 60_000,
        end: 'done',
      });
      world.submit(entry, JOB, [
        { count: 3, cpuMillis: 5_000 },
        { count: 2, after: [0] },
      ]);
      world.run(1_000);
      const { steps, runs, phase } = explainOwned(world);
      expect(phase).toBe('running');
      expect(steps).toEqual([
        { id: '0.0', waiting: 0, ready: 0, active: 2, done: 1, why: '' },
        {
          id: '0.1',
          waiting: 2,
          ready: 0,
          active: 0,
          done: 0,
          why: 'waits for step 0 (1 of 3 done)',
        },
      ]);
      expect(runs.map(({ id, phase: runPhase }) => `${id} ${runPhase}`)).toEqual([
        `${JOB}.0.0.1#1 running`,
        `${JOB}.0.0.2#1 running`,
      ]);
    });

    it('does not omit open steps of a job with many steps', () => {
      const { world, entry } = createWorld(1, 2);
      const steps = Array.from({ length: 150 }, (_, index) => ({
        count: 1,
        after: index === 0 ? [] : [index - 1],
      }));
      world.behave = (task) => ({
        durationMs: task.endsWith('.0.0') ? 50 : 60_000,
        end: 'done',
      });
      world.submit(entry, JOB, steps);
      world.run(1_000);
      const explanation = explainOwned(world);
      expect(explanation.steps).toHaveLength(100);
      expect(explanation.steps[0]).toMatchObject({ id: '0.1', active: 1 });
      expect(explanation.leftOut).toEqual({ steps: 50, runs: 0, moves: 0 });
    });
  });

  describe('of a failed job', () => {
    it.each([
      { step: {}, why: `task ${JOB}.0.0.0 has used its 3 attempts` },
      { step: { gang: true }, why: `gang ${JOB}.0.0 has used its 3 attempts` },
    ])('does not omit what used the attempts of $step', ({ step, why }) => {
      const { world, entry } = createWorld(1, 3);
      world.behave = () => ({ durationMs: 100, end: 'failed' });
      world.submit(entry, JOB, [step]);
      world.run(2_000);
      expect(explainOwned(world)).toMatchObject({ phase: 'failed', why: [why] });
    });
  });

  describe('reasons for waiting', () => {
    it('does not explain a full pool as a closed one', () => {
      expect(explainWait({ cpuMillis: 900_000 })).toMatch(
        /^no room: too few cores free \(2 workers\) \(ready for \d+ ms\)$/,
      );
    });

    it('does not hide a label that no worker has', () => {
      expect(explainWait({ requiredLabel: 'fast' })).toContain(
        'no room: without the label fast (2 workers)',
      );
    });

    it('does not hide why workers accept no work', () => {
      const why = explainWait({}, (world) => {
        world.drainRunner(world.agents[0]!);
        world.disconnectAgent(world.agents[1]!);
        world.run(100);
      });
      expect(why).toContain('no worker accepts work:');
      expect(why).toContain('it is draining (1 worker)');
      expect(why).toContain('no link to its agent (1 worker)');
    });

    it('does not count capacity for some members as capacity for a gang', () => {
      expect(explainWait({ count: 9, cpuMillis: 5_000, gang: true })).toMatch(
        /^no room: for \d of the 9 tasks of the gang/,
      );
    });

    it('does not count capacity for best-effort tasks as spare processors', () => {
      expect(explainWait({ count: 9, cpuMillis: 8_000, fills: true })).toMatch(
        /^queued: the filling tasks placed before it ask for the processors that are left/,
      );
    });

    it('does not blame the workers while the store is unavailable', () => {
      const { world, entry } = createWorld(1, 2);
      world.submit(entry, JOB, [{ cpuMillis: 900_000 }]);
      world.run(300);
      entry.store = 'refuses';
      world.run(2_000);
      expect(explainOwned(world).steps[0]!.why).toMatch(/^the store last confirmed the ownership/);
      world.run(1_000);
      expect(explainOwned(world).steps[0]!.why).toMatch(/^the operator's keys were last proved/);
    });

    it('does not omit when the next occurrence is due', () => {
      const { world, entry } = createWorld(1, 2);
      const startAtMs = world.clock.now + entry.state.wallOffsetMs + 5_000;
      world.submit(entry, JOB, [{}], { occurrences: 2, startAtMs, intervalMs: 1_000 });
      world.run(500);
      const explanation = explainOwned(world);
      expect(explanation.steps).toEqual([]);
      expect(explanation.why).toEqual(['occurrence 0 is due in 4500 ms']);
    });
  });

  describe('moved runs', () => {
    it('does not lose the reason why a run was started again', () => {
      const { world, entry } = createWorld(1, 2);
      world.behave = (_, run) =>
        run === 1 ? { durationMs: 100, end: 'failed' } : { durationMs: 60_000, end: 'done' };
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(500);
      const { moves, runs } = explainOwned(world);
      expect(moves).toMatchObject([{ id: `${JOB}.0.0.0#1`, why: 'failed' }]);
      expect(runs.map(({ id }) => id)).toEqual([`${JOB}.0.0.0#2`]);
    });

    it('does not omit that a worker was lost', () => {
      const { world, entry } = createWorld(1, 2);
      world.behave = () => ({ durationMs: 60_000, end: 'done' });
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(500);
      world.disconnectAgent(world.agents.find(({ runner }) => runner.running.size > 0)!);
      world.run(8_000);
      expect(explainOwned(world).moves).toMatchObject([
        { id: `${JOB}.0.0.0#1`, why: 'lease lapsed' },
      ]);
    });

    it('does not retain an unbounded number of moves', () => {
      const { world, entry } = createWorld(1, 1);
      world.submit(entry, JOB, [{ count: 1, longRunning: true }]);
      world.run(300);
      const { state } = entry;
      const task = state.tasks.get(`${JOB}.0.0.0`)!;
      for (let run = 2; run < 5_002; run += 1)
        recordMove(
          state,
          createRunRow(task, run, 'a|w|1', 'placed', 0, run),
          'lost',
          run,
          'release',
        );
      expect(state.moves.size).toBe(4_000);
      const { moves, leftOut } = explainOwned(world);
      expect(moves).toHaveLength(100);
      expect(moves.at(-1)!.id).toBe(`${JOB}.0.0.0#5001`);
      expect(leftOut.moves).toBe(3_900);
    });
  });

  describe('requested from a follower or for an unknown job', () => {
    it('does not omit who the owner is', () => {
      const { world } = createWorld(2, 2);
      const owner = world.owner!;
      const follower = world.entries.find((entry) => entry !== owner)!;
      world.submit(follower, JOB, [{ count: 1 }]);
      world.run(300);
      expect(explain(world, follower)).toEqual({
        kind: 'elsewhere',
        job: JOB,
        entry: follower.id,
        role: 'follower',
        owner: owner.id,
        ownerAddress: owner.state.self.address,
        phase: 'running',
      });
    });

    it('does not explain a job that does not exist', () => {
      const { world } = createWorld(1, 1);
      expect(explain(world, world.owner!)).toEqual({
        kind: 'unknown',
        job: JOB,
        entry: world.owner!.id,
      });
    });
  });
});
