import { describe, expect, it } from 'vitest';
import { jobProgressSchema, STORE_KEYS } from '../../../src/model/scheduler/jobRecord.ts';
import type { OpenRun } from '../../../src/model/scheduler/jobRecord.ts';
import { countPeakRuns, JOB, replaceOwner, TASK, writeValue } from '../../support/jobWorld.ts';
import {
  createLeaseWorld,
  loseWorker,
  measureIdleTime,
  submitLastingTask,
} from '../../support/lostWorkers.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { AgentNode } from '../../support/worldNodes.ts';

/** The run of a lost worker must be replaced in this time after the loss of an owner. */
const IDLE_AFTER_DISRUPTION_MS = 10_000;
/** After this time every lease from before the start of the task has ended. */
const SETTLED_MS = 11_000;

describe.each([6_000, 10_000])('a lease of up to %d ms from before the start of a run', (maxMs) => {
  describe('on a worker that works on cut off', () => {
    it.each([1, 2, 3])('is not forgotten when its agent and %i owners are lost', (owners) => {
      for (const downMs of [50, 100, 400]) {
        const { world, agent } = createRestartedWorker(maxMs);
        agent.getFault = () => 'dropped';
        world.restartAgent(agent, downMs);
        let peak = 0;
        for (let index = 0; index < owners; index += 1) {
          replaceOwner(world);
          peak = Math.max(peak, countPeakRuns(world, 500));
        }
        peak = Math.max(peak, countPeakRuns(world, 20_000));
        expect({ downMs, peak }).toEqual({ downMs, peak: 1 });
      }
    });

    it('is not forgotten when its agent is lost twice', () => {
      const { world, agent } = createRestartedWorker(maxMs);
      agent.getFault = () => 'dropped';
      world.restartAgent(agent, 100);
      replaceOwner(world);
      world.restartAgent(agent, 100);
      expect(countPeakRuns(world, 20_000)).toBe(1);
    });
  });

  describe('on a worker that is lost', () => {
    it('is not waited for anew by each owner', () => {
      const { world, agent } = createRestartedWorker(maxMs);
      loseWorker(agent);
      world.restartAgent(agent, 100);
      replaceOwner(world);
      world.run(1_000);
      replaceOwner(world);
      world.run(1_000);
      const lostAt = world.clock.now;
      replaceOwner(world);
      measureIdleTime(world, 30_000);
      expect(world.clock.now - lostAt).toBeLessThan(IDLE_AFTER_DISRUPTION_MS);
    });

    it('does not keep the task waiting once it has ended', () => {
      const { world, agent } = createRestartedWorker(maxMs);
      world.run(SETTLED_MS);
      expect(readOpenRuns(world).map(({ leaseMs }) => leaseMs)).toEqual([undefined]);
      loseWorker(agent);
      world.restartAgent(agent, 100);
      replaceOwner(world);
      expect(measureIdleTime(world, 30_000)).toBeLessThan(IDLE_AFTER_DISRUPTION_MS);
    });
  });

  describe('in the store', () => {
    it('is not missing in the record of a run that may have one', () => {
      const { world } = createRestartedWorker(maxMs);
      world.run(50);
      const [open] = readOpenRuns(world);
      expect(open?.leaseMs).toBeGreaterThan(5_350);
      expect(open?.leaseMs).toBeLessThanOrEqual(maxMs * 1.02 + 250);
    });

    it('is not required in the records of an earlier build', () => {
      const { world } = createRestartedWorker(maxMs);
      const read = world.store.handle({ op: 'read', key: STORE_KEYS.progress(JOB) });
      const progress = jobProgressSchema.parse(read.kind === 'entry' ? read.entry.value : {});
      for (const { open } of Object.values(progress.tasks))
        for (const run of open ?? []) delete run.leaseMs;
      world.kill(world.owner!);
      writeValue(world, STORE_KEYS.progress(JOB), progress);
      expect(countPeakRuns(world, 10_000)).toBe(1);
      expect(world.listStarts(TASK)).toHaveLength(1);
    });
  });
});

describe('a run on a worker that has been up for long', () => {
  it('does not get a longer lease in the store', () => {
    const world = createLeaseWorld(6_000);
    world.run(SETTLED_MS);
    submitLastingTask(world);
    world.run(100);
    expect(readOpenRuns(world).map(({ leaseMs }) => leaseMs)).toEqual([undefined]);
  });
});

function readOpenRuns(world: SchedulerWorld): OpenRun[] {
  const read = world.store.handle({ op: 'read', key: STORE_KEYS.progress(JOB) });
  const progress = jobProgressSchema.parse(read.kind === 'entry' ? read.entry.value : {});
  return Object.values(progress.tasks).flatMap(({ open }) => open ?? []);
}

/** Creates a world with a long-running task that starts on a worker which has just restarted. */
function createRestartedWorker(maxMs: number): {
  readonly world: SchedulerWorld;
  readonly agent: AgentNode;
} {
  const world = createLeaseWorld(maxMs, 4, 2);
  const [agent, other] = world.agents;
  world.run(8_000);
  world.restartRunner(agent!, 300);
  agent!.runner.maxLeaseMs = maxMs;
  world.run(400);
  other!.getFault = ({ op }) => (op === 'start' ? 'refused' : undefined);
  submitLastingTask(world);
  while (!agent!.runner.running.has(TASK)) world.run(5);
  other!.getFault = () => undefined;
  return { world, agent: agent! };
}
