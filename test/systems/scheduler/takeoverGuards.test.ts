import { describe, expect, it } from 'vitest';
import { Loop } from '../../../src/base/common/loop.ts';
import { SeededRandom } from '../../../src/base/common/seededRandom.ts';
import { OPERATOR_KEYS } from '../../../src/model/scheduler/queueConfiguration.ts';
import type { RunnerAgentEffect } from '../../../src/model/scheduler/runnerAgentState.ts';
import { createRunnerAgentState } from '../../../src/model/scheduler/runnerAgentState.ts';
import { createRunnerAgentSystems } from '../../../src/systems/runnerAgent/runnerAgentSystems.ts';
import {
  countPeakRuns,
  createJobId,
  createWorld,
  JOB,
  readPhase,
  replaceOwner,
  TASK,
} from '../../support/jobWorld.ts';
import {
  createMaintenanceWorld,
  readWaveState,
  writeWave,
} from '../../support/maintenanceWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { AgentNode, EntryNode } from '../../support/worldNodes.ts';

/** Takeovers before the present owner: one, two and three owners in a row. */
const TAKEOVERS = [0, 1, 2];
/** Times after a submission, while the placement is stored, the start is sent and the task runs. */
const MOMENTS_MS = [2, 4, 6, 8, 10, 14, 20, 60];

function replaceOwners(world: SchedulerWorld, takeovers: number, eachMs = 500): void {
  for (let index = 0; index < takeovers; index += 1) {
    replaceOwner(world);
    world.run(eachMs);
  }
}

/** Finds the owner that is not paused. */
function findActiveOwner(world: SchedulerWorld): EntryNode | undefined {
  return world.entries.find(
    ({ frozenArrivals, state }) => frozenArrivals === undefined && state.ownership.role === 'owner',
  );
}

function countRunning(world: SchedulerWorld): number {
  return world.agents.reduce((sum, { runner }) => sum + runner.running.size, 0);
}

describe('work that an earlier owner began', () => {
  describe.each(TAKEOVERS)('is taken over %i times and', (takeovers) => {
    describe('with runs', () => {
      it('does not run twice while its worker is unreachable and works on', () => {
        const { world, entry } = createWorld(4, 3);
        world.behave = () => ({ durationMs: 1e6, end: 'done' });
        world.submit(entry, JOB, [{ count: 1, longRunning: true }]);
        world.run(500);
        world.disconnectAgent(world.agents.find(({ runner }) => runner.running.has(TASK))!);
        let peak = 0;
        for (let index = 0; index < takeovers; index += 1) {
          world.kill(world.owner!);
          peak = Math.max(peak, countPeakRuns(world, 3_000));
        }
        peak = Math.max(peak, countPeakRuns(world, 20_000));
        expect(peak).toBe(1);
        expect(countRunning(world)).toBe(1);
      });

      it('does not get a copy from each owner', () => {
        const { world, entry } = createWorld(4, 4);
        world.behave = () => ({ durationMs: 60_000, end: 'done' });
        world.submit(entry, JOB, [{ count: 1, speculative: true }]);
        world.run(500);
        world.disconnectAgent(world.agents.find(({ runner }) => runner.running.has(TASK))!);
        world.run(3_000);
        replaceOwners(world, takeovers, 3_000);
        world.run(3_000);
        expect(world.listStarts(TASK)).toHaveLength(2);
      });

      it('does not leave runs of a cancelled job or start more of them', () => {
        const { world, entry } = createWorld(4, 2);
        world.behave = () => ({ durationMs: 60_000, end: 'done' });
        world.submit(entry, JOB, [{ count: 20, cpuMillis: 1_000 }]);
        world.run(500);
        expect(countRunning(world)).toBe(16);
        world.call(world.entries.at(-1)!, JOB, { kind: 'cancel' });
        world.run(15);
        replaceOwners(world, takeovers, 0);
        world.run(2_000);
        expect(countRunning(world)).toBe(0);
        const starts = world.agents.flatMap(({ runner }) => runner.starts);
        expect(starts).toHaveLength(16);
      });

      it('does not start the members of a gang in different runs', () => {
        for (const momentMs of MOMENTS_MS) {
          const { world, entry } = createWorld(4, 3);
          world.behave = () => ({ durationMs: 4_000, end: 'done' });
          world.submit(entry, JOB, [{ count: 3, cpuMillis: 6_000, gang: true }]);
          world.run(momentMs);
          replaceOwners(world, takeovers, momentMs);
          for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 50) {
            world.run(50);
            const runs = world.agents.flatMap(({ runner }) => [...runner.running.values()]);
            expect(new Set(runs.map(({ run }) => run)).size).toBeLessThanOrEqual(1);
          }
          expect(readPhase(world, world.owner!)).toBe('completed');
        }
      });
    });

    describe('with counts', () => {
      it('does not exceed the attempts of a task or end before them', () => {
        for (const momentMs of MOMENTS_MS) {
          const { world, entry } = createWorld(4, 3);
          world.behave = () => ({ durationMs: 300, end: 'failed' });
          world.submit(entry, JOB, [{ count: 1 }]);
          for (let index = 0; index < takeovers; index += 1) {
            world.run(300 + momentMs);
            replaceOwner(world);
          }
          world.run(10_000);
          expect(world.listStarts(TASK).length).toBe(3);
          expect(readPhase(world, world.owner!)).toBe('failed');
        }
      });

      it('does not run an occurrence twice or omit one', () => {
        const { world, entry } = createWorld(4, 2);
        const startAtMs = world.clock.now + entry.state.wallOffsetMs + 500;
        world.submit(entry, JOB, [{ count: 1 }], { occurrences: 4, startAtMs, intervalMs: 1_500 });
        world.run(800);
        replaceOwners(world, takeovers);
        world.run(10_000);
        for (const index of [0, 1, 2, 3])
          expect(world.listStarts(`${JOB}.${index}.0.0`)).toHaveLength(1);
        expect(readPhase(world, world.owner!)).toBe('completed');
      });
    });

    describe('with what closes a worker', () => {
      it('does not start a task on a draining worker', () => {
        const { world, entry } = createWorld(4, 2);
        const draining = world.agents[0]!;
        world.drainRunner(draining);
        world.run(500);
        replaceOwners(world, takeovers, 0);
        world.submit(world.owner ?? entry, JOB, [{ count: 10 }]);
        world.run(6_000);
        expect(draining.runner.starts).toEqual([]);
        expect(readPhase(world, world.owner!)).toBe('completed');
      });

      it('does not start a task in a zone that is out of service', () => {
        const { world, entry } = createWorld(4, 2);
        const value = { kind: 'zoneOut', zone: 'a' };
        const key = OPERATOR_KEYS.zoneOut('a');
        world.store.handle({ op: 'write', key, expectedVersion: 0, value });
        world.run(1_000);
        replaceOwners(world, takeovers, 0);
        world.submit(world.owner ?? entry, JOB, [{ count: 10 }]);
        world.run(6_000);
        expect(world.agents.flatMap(({ runner }) => runner.starts)).toEqual([]);
      });
    });

    describe('with a maintenance wave', () => {
      it('does not repeat maintenance, exceed the limit or restart the time of the wave', () => {
        const { world, instances } = createMaintenanceWorld(4, 4);
        writeWave(world, { withinMs: 60_000 });
        world.run(100);
        const startedAt = world.owner!.state.fleet.waves.get('1')!.startedAt;
        world.run(2_000);
        replaceOwners(world, takeovers, 4_000);
        world.run(1_000);
        expect(world.owner!.state.fleet.waves.get('1')?.startedAt).toBeCloseTo(startedAt, -1);
        world.run(25_000);
        expect(instances.listMaintained().sort()).toEqual(world.agents.map(({ id }) => `i-${id}`));
        expect(instances.peakInMaintenance).toBe(1);
        expect(instances.service.fenceViolations).toEqual([]);
        expect(readWaveState(world)).toBe('completed');
      });
    });

    describe('with a job that has been deleted', () => {
      it('does not stay readable at entries that were not the owner', () => {
        const { world, entry } = createWorld(4, 1);
        for (const { state } of world.entries) state.bounds.statusSeconds = 1;
        world.submit(entry, JOB, [{ count: 1 }]);
        world.run(12_000);
        world.submit(entry, createJobId(7), [{ count: 1 }]);
        world.run(1_000);
        replaceOwners(world, takeovers);
        for (const other of world.entries.filter(({ isUp }) => isUp))
          expect([other.id, readPhase(world, other)]).toEqual([other.id, 'gone']);
      });
    });
  });
});

/** Starts a new process of an agent, which registers itself in the store. */
function restartAgent(world: SchedulerWorld, { id, state: { self } }: AgentNode): void {
  const state = createRunnerAgentState(id, self.zone);
  state.self.address = self.address;
  Loop.create({
    state,
    systems: createRunnerAgentSystems(),
    clock: world.clock,
    random: SeededRandom.create(1),
    handleEffect: (effect: RunnerAgentEffect) => {
      if (effect.kind === 'callStore') world.store.handle(effect.call);
    },
  }).runTick();
}

describe('owners that are paused one after the other', () => {
  describe.each([
    ['by a signal', false],
    ['with their instances, whose monotonic clocks stop', true],
  ])('%s', (_, isSuspended) => {
    it.each([1, 2, 3])('do not run a task twice when %i of them wake together', (paused) => {
      for (const momentMs of MOMENTS_MS) {
        const { world } = createWorld(4, 2);
        world.behave = () => ({ durationMs: 12_000, end: 'done' });
        world.submit(world.owner!, JOB, [{ count: 1 }]);
        world.run(momentMs);
        const wakeAt = world.clock.now + 9_000;
        let peak = 0;
        for (let index = 0; index < paused; index += 1) {
          world.freeze(findActiveOwner(world)!, wakeAt - world.clock.now, isSuspended);
          while (findActiveOwner(world) === undefined)
            peak = Math.max(peak, countPeakRuns(world, 5));
          peak = Math.max(peak, countPeakRuns(world, momentMs));
        }
        peak = Math.max(peak, countPeakRuns(world, 20_000));
        expect({ momentMs, peak }).toEqual({ momentMs, peak: 1 });
        // Three pauses take longer than the lease of a run that no owner grants.
        if (paused < 3) expect(world.listStarts(TASK)).toHaveLength(1);
        const owners = world.entries.filter(({ state }) => state.ownership.role === 'owner');
        expect(owners).toHaveLength(1);
        expect(readPhase(world, owners[0]!)).toBe('completed');
      }
    });
  });
});

describe('the stored end of a worker', () => {
  it('is not lost when its agent is started again before an owner has read it', () => {
    for (const takeovers of [1, 2]) {
      const { world } = createWorld(4, 2);
      world.behave = () => ({ durationMs: 60_000, end: 'done' });
      world.submit(world.owner!, JOB, [{ count: 1, longRunning: true }]);
      world.run(1_000);
      const agent = world.agents.find(({ runner }) => runner.running.size > 0)!;
      world.owner!.store = 'silent';
      world.leaveRunner(agent);
      world.run(300);
      world.disconnectAgent(agent);
      restartAgent(world, agent);
      replaceOwners(world, takeovers, 0);
      world.run(3_000);
      expect({ takeovers, starts: world.listStarts(TASK).length }).toEqual({
        takeovers,
        starts: 2,
      });
    }
  });
});
