import { describe, expect, it } from 'vitest';
import { jobProgressSchema, STORE_KEYS } from '../../../src/model/scheduler/jobRecord.ts';
import {
  createWorld,
  JOB,
  readPhase,
  replaceOwner,
  TASK,
  writeValue,
} from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { EntryNode } from '../../support/worldNodes.ts';
import { createJobSpec, writeWorldConfiguration } from '../../support/worldNodes.ts';

const ATTEMPTS = 2;
const MEMBERS = 6;
const DONE = { durationMs: 1_000, end: 'done' } as const;
const FAILED = { durationMs: 100, end: 'failed' } as const;

/** Creates a world whose queue allows two failed runs of a task or a gang. */
function createLimitedWorld(entries = 2): { world: SchedulerWorld; entry: EntryNode } {
  const created = createWorld(entries, 3);
  writeWorldConfiguration(created.world.store, 2, 'svc', { attempts: ATTEMPTS });
  created.world.run(2_000);
  return created;
}

/** Submits a gang with two members for each worker. */
function submitGang(world: SchedulerWorld, entry: EntryNode): void {
  world.submit(entry, JOB, [{ count: MEMBERS, cpuMillis: 4_000, gang: true }]);
}

/** Sums the failed attempts that the owner has counted for the job. */
function sumFailures(world: SchedulerWorld): number {
  const tasks = world.owner!.state.tasksByJob.list(JOB);
  return tasks.reduce((sum, { failures }) => sum + failures, 0);
}

/** Adds an entry that cannot read the operator's keys until the returned `configure` is called. */
function addUnconfiguredEntry(world: SchedulerWorld): { entry: EntryNode; configure: () => void } {
  const entry = world.addEntry('unconfigured');
  const receive = entry.loop.receive.bind(entry.loop);
  let isBlocked = true;
  entry.loop.receive = (arrival) => {
    const isOperatorReply = arrival.kind === 'storeReply' && arrival.callId.startsWith('operator');
    if (isBlocked && isOperatorReply)
      receive({ ...arrival, reply: { kind: 'unavailable', message: 'no answer in time' } });
    else receive(arrival);
  };
  return { entry, configure: () => (isBlocked = false) };
}

describe('attempt limit of a task', () => {
  it.each([{}, { gang: true }])(
    'is not exceeded by a step with %j that fails before its owner has loaded the configuration',
    (step) => {
      const { world, entry } = createWorld(1, 3);
      writeWorldConfiguration(world.store, 2, 'svc', { attempts: ATTEMPTS });
      world.run(2_000);
      world.behave = () => ({ durationMs: 600, end: 'failed' });
      world.submit(entry, JOB, [{ count: 1, ...step }]);
      while (world.listStarts(`${JOB}.0.0.0`).length < ATTEMPTS) world.run(10);
      world.kill(entry);
      const next = addUnconfiguredEntry(world);
      world.run(5_000);
      expect(next.entry.state.ownership.role).toBe('owner');
      next.configure();
      world.run(5_000);
      expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(ATTEMPTS);
      expect(readPhase(world, next.entry)).toBe('failed');
    },
  );

  describe('of a gang', () => {
    it('does not count each member that fails in one run', () => {
      const { world, entry } = createLimitedWorld();
      const failing = world.agents[0];
      world.behaveOn = (agent, _, run) => (agent === failing && run === 1 ? FAILED : DONE);
      submitGang(world, entry);
      world.run(10_000);
      expect(readPhase(world, entry)).toBe('completed');
    });

    it('does not count each member when all of them fail in one run', () => {
      const { world, entry } = createLimitedWorld();
      world.behave = (_, run) => (run === 1 ? FAILED : DONE);
      submitGang(world, entry);
      world.run(15_000);
      expect(readPhase(world, entry)).toBe('completed');
      expect(world.listStarts(TASK)).toHaveLength(2);
    });

    it('does not store more failures than an owner of an earlier build may add up', () => {
      const { world, entry } = createLimitedWorld();
      world.behave = (_, run) => (run === 1 ? FAILED : { durationMs: 60_000, end: 'done' });
      submitGang(world, entry);
      world.run(2_000);
      const read = world.store.handle({ op: 'read', key: STORE_KEYS.progress(JOB) });
      const progress = jobProgressSchema.parse(read.kind === 'entry' ? read.entry.value : {});
      const failures = Object.values(progress.tasks).map((task) => task.failures ?? 0);
      expect(failures.reduce((sum, count) => sum + count)).toBe(1);
    });

    it('is not exceeded when other members fail in each run', () => {
      const { world, entry } = createLimitedWorld();
      world.behave = (task, run) => (task.endsWith(`.${run}`) ? FAILED : DONE);
      submitGang(world, entry);
      world.run(15_000);
      expect(readPhase(world, entry)).toBe('failed');
      expect(world.listStarts(TASK)).toHaveLength(ATTEMPTS);
    });

    it('does not place other members on a worker where one has failed while others are free', () => {
      const { world, entry } = createLimitedWorld();
      const failing = world.agents[0];
      world.behaveOn = (agent) => (agent === failing ? FAILED : DONE);
      world.submit(entry, JOB, [{ count: 4, cpuMillis: 4_000, gang: true }]);
      world.run(10_000);
      expect(readPhase(world, entry)).toBe('completed');
    });

    describe('after a takeover between the ends of two members', () => {
      /** Replaces the owner twice before one agent reports that its members have failed as well. */
      function replaceOwnersWithinRun(world: SchedulerWorld, entry: EntryNode): EntryNode {
        const [reporting, silent] = world.agents;
        world.behaveOn = (agent, _, run) =>
          run === 1 && (agent === reporting || agent === silent)
            ? { durationMs: 300, end: 'failed' }
            : DONE;
        submitGang(world, entry);
        world.run(200);
        world.freezeAgent(silent!, 4_500);
        world.run(500);
        expect(sumFailures(world)).toBe(1);
        replaceOwner(world);
        world.run(500);
        return replaceOwner(world);
      }

      it('does not count the failed run again', () => {
        const { world, entry } = createLimitedWorld(4);
        const owner = replaceOwnersWithinRun(world, entry);
        world.run(25_000);
        expect(readPhase(world, owner)).toBe('completed');
      });

      it('is not exceeded when the next run fails as well', () => {
        const { world, entry } = createLimitedWorld(4);
        const owner = replaceOwnersWithinRun(world, entry);
        world.behaveOn = (_agent, _task, run) => (run === 1 ? DONE : FAILED);
        world.run(25_000);
        expect(readPhase(world, owner)).toBe('failed');
        expect(world.listStarts(TASK)).toHaveLength(ATTEMPTS);
      });
    });

    describe('with progress that an earlier build stored', () => {
      it('does not count one failed run once for each member', () => {
        const { world } = createLimitedWorld();
        const owner = world.owner!;
        const failed = { lastRun: 1, failures: 1 };
        const step = { count: 3, cpuMillis: 4_000, gang: true };
        const job = {
          queue: 'queue',
          service: 'svc',
          spec: createJobSpec([step], {}),
          acceptedAtMs: 0,
        };
        writeValue(world, STORE_KEYS.job(JOB), job);
        writeValue(world, STORE_KEYS.progress(JOB), {
          phase: 'running',
          epoch: owner.state.ownership.epoch,
          change: 1,
          tasks: { '0.0.0': failed, '0.0.1': failed, '0.0.2': { lastRun: 1 } },
        });
        const next = replaceOwner(world);
        world.run(5_000);
        expect(readPhase(world, next)).toBe('completed');
      });
    });
  });

  describe('of a task with copies', () => {
    it('does not fail the job of a task that one copy has completed', () => {
      const { world, entry } = createWorld(2, 3);
      writeWorldConfiguration(world.store, 2, 'svc', { attempts: 1 });
      world.run(2_000);
      world.behave = (task, run) => (task === TASK && run === 1 ? FAILED : DONE);
      world.submit(entry, JOB, [{ speculative: true }, { after: [0] }]);
      world.run(80);
      const agent = world.agents.find(({ runner }) => runner.running.has(TASK))!;
      // The copy is done before the agent reports the failure of the first run.
      world.freezeAgent(agent, 3_000);
      world.run(8_000);
      expect(world.listStarts(TASK)).toHaveLength(2);
      expect(readPhase(world, entry)).toBe('completed');
    });
  });
});
