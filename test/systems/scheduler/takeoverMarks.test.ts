import { describe, expect, it } from 'vitest';
import { jobProgressSchema, STORE_KEYS } from '../../../src/model/scheduler/jobRecord.ts';
import { buildProgress } from '../../../src/systems/scheduler/commitSystem.ts';
import { createWorld, JOB, readPhase, replaceOwner, TASK } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import { writeWorldConfiguration } from '../../support/worldNodes.ts';

/** Takeovers before the present owner: one, two and three owners in a row. */
const TAKEOVERS = [0, 1, 2];

function replaceOwners(world: SchedulerWorld, takeovers: number): void {
  for (let index = 0; index < takeovers; index += 1) {
    replaceOwner(world);
    world.run(500);
  }
}

describe('marks of an earlier owner', () => {
  describe.each(TAKEOVERS)('after %i takeovers', (takeovers) => {
    describe('on a task', () => {
      it.each([{}, { gang: true }])(
        'do not lose the worker on which a run of a step with %j failed',
        (step) => {
          const { world, entry } = createWorld(4, 3);
          writeWorldConfiguration(world.store, 2, 'svc', { attempts: 2 });
          world.run(2_000);
          const failing = world.agents[0]!;
          world.behaveOn = (agent) =>
            agent === failing
              ? { durationMs: 100, end: 'failed' }
              : { durationMs: 5_000, end: 'done' };
          world.submit(entry, JOB, [{ count: 1, ...step }]);
          world.run(1_000);
          expect(world.listStarts(TASK).at(0)).toMatchObject({ run: 1, agent: failing.id });
          replaceOwners(world, takeovers);
          world.restartRunner(world.agents.find(({ runner }) => runner.running.has(TASK))!);
          world.run(8_000);
          expect(failing.runner.starts).toHaveLength(1);
          expect(readPhase(world, world.owner!)).toBe('completed');
        },
      );

      it('do not lose the checkpoint that was stored with the end of another task', () => {
        const { world, entry } = createWorld(4, 3);
        world.behave = (task) =>
          task === TASK
            ? { durationMs: 60_000, end: 'done', checkpointIntervalMs: 500 }
            : { durationMs: 3_000, end: 'done' };
        world.submit(entry, JOB, [{ count: 2, savesProgress: true }]);
        world.run(3_500);
        const agent = world.agents.find(({ runner }) => runner.running.has(TASK))!;
        world.disconnectAgent(agent);
        replaceOwners(world, takeovers);
        world.run(20_000);
        const [start] = world.agents
          .flatMap(({ runner }) => runner.starts)
          .filter(({ task, run }) => task === TASK && run === 2);
        expect(Number(start?.checkpoint)).toBeGreaterThanOrEqual(2_000);
      });

      it('do not move a task that stands still on every worker without end', () => {
        const { world, entry } = createWorld(4, 5);
        world.behave = () => ({ durationMs: 60_000, end: 'done', isStalled: true });
        world.submit(entry, JOB, [{ count: 1 }]);
        world.run(7_000);
        for (let index = 0; index < takeovers; index += 1) {
          replaceOwner(world);
          world.run(7_000);
        }
        world.run(20_000);
        expect(world.listStarts(TASK)).toHaveLength(4);
      });
    });
  });

  describe('in the store', () => {
    it('do not make the progress of a large job too large for a value', () => {
      const { world, entry } = createWorld(1, 1);
      world.submit(entry, JOB, [{ count: 2_000, cpuMillis: 9_000 }]);
      world.run(100);
      const { state } = entry;
      const avoidedWorkerIds = [1, 2, 3].map((index) => `${index}`.padEnd(40, 'x'));
      for (const { id } of state.tasksByJob.list(JOB))
        state.tasks.update(id, { lastRun: 1, avoidedWorkerIds });
      const { tasks } = buildProgress(state, state.jobs.get(JOB)!, 0);
      const stored = Object.values(tasks).filter(({ avoided }) => avoided !== undefined);
      expect(Object.keys(tasks)).toHaveLength(2_000);
      expect(stored).toHaveLength(500);
    });

    it('are not required in the progress that an earlier build has stored', () => {
      const { world, entry } = createWorld(3, 2);
      world.behave = () => ({ durationMs: 4_000, end: 'done' });
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(1_000);
      const read = world.store.handle({ op: 'read', key: STORE_KEYS.progress(JOB) });
      const progress = jobProgressSchema.parse(read.kind === 'entry' ? read.entry.value : {});
      expect(progress.tasks['0.0.0']).toEqual({ lastRun: 1, open: [expect.anything()] });
      replaceOwners(world, 2);
      world.run(4_000);
      expect(readPhase(world, world.owner!)).toBe('completed');
      expect(world.listStarts(TASK)).toHaveLength(1);
    });
  });
});
