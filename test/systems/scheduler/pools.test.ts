import { describe, expect, it } from 'vitest';
import { STORE_KEYS } from '../../../src/model/scheduler/jobRecord.ts';
import { DemandPools } from '../../../src/systems/scheduler/poolPolicy.ts';
import { createJobId, createWorld, JOB, readPhase, replaceOwner } from '../../support/jobWorld.ts';
import { runChecked, writeWave } from '../../support/maintenanceWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { WorldInstances } from '../../support/worldInstances.ts';
import type { EntryNode } from '../../support/worldNodes.ts';
import { writeWorldQueues } from '../../support/worldNodes.ts';

const POOLS = [
  { name: 'svc', isSpare: false },
  { name: 'spare', isSpare: true },
];
/** Ten tasks for two workers of eight cores. */
const LARGE = { count: 10, cpuMillis: 8_000 };

/** Creates a world of two workers with two spare instances. */
function createPoolWorld(
  pools = POOLS,
  entries = 1,
): { world: SchedulerWorld; entry: EntryNode; instances: WorldInstances } {
  const { world, entry } = createWorld(entries, 2);
  const instances = world.addInstances();
  instances.addSpare('spare-0');
  instances.addSpare('spare-1');
  writeWorldQueues(world.store, 2, [{}], pools);
  world.behave = () => ({ durationMs: 4_000, end: 'done' });
  world.run(4_000);
  return { world, entry, instances };
}

function listStored(world: SchedulerWorld): string[] {
  const read = world.store.handle({ op: 'list', prefix: STORE_KEYS.transferPrefix });
  return read.kind === 'entries' ? read.entries.map(({ key }) => key) : [];
}

describe('pools of instances', () => {
  describe('with waiting tasks', () => {
    it('do not leave spare instances unused while tasks wait for long', () => {
      const { world, entry, instances } = createPoolWorld();
      world.submit(entry, JOB, [LARGE]);
      world.run(14_000);
      expect(instances.listMoves()).toEqual(['i-spare-0 to svc', 'i-spare-1 to svc']);
      expect(world.agents.filter(({ runner }) => runner.starts.length > 0)).toHaveLength(4);
      world.run(6_000);
      expect(readPhase(world, entry)).toBe('completed');
    });

    it('do not add an instance for a wait that ends by itself', () => {
      const { world, entry, instances } = createPoolWorld();
      world.behave = () => ({ durationMs: 900, end: 'done' });
      world.submit(entry, JOB, [{ count: 4, cpuMillis: 8_000 }]);
      world.run(6_000);
      expect(instances.listMoves()).toEqual([]);
    });

    it('do not add instances where no pool is spare', () => {
      const { world, entry, instances } = createPoolWorld([
        { name: 'svc', isSpare: false },
        { name: 'spare', isSpare: false },
      ]);
      world.submit(entry, JOB, [LARGE]);
      world.run(10_000);
      expect(instances.listMoves()).toEqual([]);
      expect(entry.state.counters.get('instance_calls')).toBe(0);
    });

    it('do not add instances of another kind or of a zone out of service', () => {
      const { world, entry, instances } = createPoolWorld();
      for (const id of ['i-spare-0', 'i-spare-1']) instances.service.remove(id);
      instances.addSpare('other-0', 'spare', 'kind-2');
      world.submit(entry, JOB, [LARGE]);
      world.run(8_000);
      expect(instances.listMoves()).toEqual([]);
    });
  });

  describe('without waiting tasks', () => {
    it('do not keep spare instances, and add them again when tasks wait', () => {
      const { world, entry, instances } = createPoolWorld();
      world.submit(entry, JOB, [LARGE]);
      world.run(60_000);
      expect(instances.listMoves().slice(2).sort()).toEqual([
        'i-spare-0 to spare',
        'i-spare-1 to spare',
      ]);
      expect(listStored(world)).toEqual([]);
      expect(instances.interruptedRuns).toEqual([]);
      world.submit(entry, createJobId(9), [LARGE]);
      world.run(10_000);
      expect(instances.listMoves().length).toBeGreaterThan(4);
    });

    it('do not cut off or stop tasks of an instance that returns, or place more there', () => {
      const { world, entry, instances } = createPoolWorld();
      world.submit(entry, JOB, [LARGE]);
      world.run(16_000);
      world.behave = () => ({ durationMs: 1_500, end: 'done' });
      let checks = 0;
      runChecked(world, 60_000, () => {
        checks += 1;
        if (checks % 20 === 0) world.submit(entry, createJobId(checks), [{ count: 3 }]);
      });
      expect(instances.interruptedRuns).toEqual([]);
      expect(entry.state.counters.get('stops_sent')).toBe(0);
      expect(instances.listMoves().length).toBeGreaterThan(2);
    });

    it('do not move instances away that were never spare', () => {
      const { world, entry, instances } = createPoolWorld();
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(40_000);
      expect(instances.listMoves()).toEqual([]);
    });
  });

  describe('with faults', () => {
    it('do not move an instance twice when answers are lost', () => {
      const { world, entry, instances } = createPoolWorld();
      instances.mode = 'answerLost';
      world.submit(entry, JOB, [LARGE]);
      world.run(7_000);
      instances.mode = 'up';
      world.run(7_000);
      expect(new Set(instances.listMoves()).size).toBe(instances.listMoves().length);
      expect(instances.listMoves()).toContain('i-spare-0 to svc');
    });

    it('do not repeat the command for an instance that cannot be moved', () => {
      const { world, entry, instances } = createPoolWorld();
      for (const id of ['i-spare-0', 'i-spare-1']) instances.service.busyInstances.add(id);
      world.submit(entry, JOB, [LARGE]);
      world.run(16_000);
      expect(entry.state.counters.get('instance_orders', { outcome: 'busy' })).toBe(2);
      expect(listStored(world)).toEqual([]);
    });

    it.each([2_600, 3_500, 5_000])(
      'do not lose track of moved instances when the owner is killed after %i ms',
      (afterMs) => {
        const { world, entry, instances } = createPoolWorld(POOLS, 3);
        world.submit(entry, JOB, [LARGE]);
        world.run(afterMs);
        world.kill(world.owner!);
        world.run(90_000);
        const moves = instances.listMoves();
        const out = moves.filter((move) => move.endsWith('to svc'));
        const home = moves.filter((move) => move.endsWith('to spare'));
        expect(home).toHaveLength(out.length);
        expect(out.length).toBeGreaterThan(0);
        expect(instances.service.fenceViolations).toEqual([]);
        expect(instances.interruptedRuns).toEqual([]);
        expect(listStored(world)).toEqual([]);
      },
    );

    it.each([1, 2])(
      'do not cut off tasks after %i takeovers while the list of instances is refused',
      (takeovers) => {
        const { world, entry, instances } = createPoolWorld(POOLS, 4);
        world.submit(entry, JOB, [LARGE]);
        const isReturning = (): boolean =>
          world.owner!.state.fleet.transfers.list().some(({ direction, phase }) => {
            if (direction === 'home') instances.mode = 'refuses';
            return direction === 'home' && phase === 'ordered';
          });
        while (!isReturning()) world.run(10);
        instances.refuseLists();
        for (let index = 0; index < takeovers; index += 1) replaceOwner(world);
        instances.mode = 'up';
        world.submit(world.owner!, createJobId(9), [{ count: 24 }]);
        world.run(4_500);
        expect(instances.interruptedRuns).toEqual([]);
        instances.acceptLists();
        world.run(60_000);
        expect(instances.interruptedRuns).toEqual([]);
        expect(listStored(world)).toEqual([]);
      },
    );

    it('do not stop loading transfers after one whose stored value is malformed', () => {
      const { world, entry, instances } = createPoolWorld(POOLS, 2);
      const key = STORE_KEYS.transfer('i-x');
      world.store.handle({ op: 'write', key, expectedVersion: 0, value: 'text' });
      world.kill(world.owner!);
      world.run(6_000);
      expect(world.logs.map(({ event }) => event)).toContain('transfer_unreadable');
      const other = world.entries.find(({ isUp }) => isUp) ?? entry;
      world.submit(other, JOB, [LARGE]);
      world.run(8_000);
      expect(instances.listMoves()).toContain('i-spare-0 to svc');
    });

    it('do not move an instance that is in a maintenance wave', () => {
      const { world, entry, instances } = createPoolWorld();
      writeWave(world, { instances: ['i-spare-0'], withinMs: 20_000 });
      world.run(200);
      world.submit(entry, JOB, [LARGE]);
      world.run(12_000);
      const commands = instances.service.appliedCommands.filter(
        ({ command }) => command.instanceId === 'i-spare-0',
      );
      expect(commands.map(({ command }) => command.op)).toContain('maintain');
      const [first, second] = commands.map(({ atMs: at }) => at);
      if (second !== undefined) expect(second - first!).toBeGreaterThanOrEqual(2_000);
    });
  });

  describe('policy', () => {
    const LOAD = {
      pool: 'svc',
      waitingTasks: 0,
      waitedMs: 0,
      quietMs: 60_000,
      usedCpuMillis: 4_000,
      totalCpuMillis: 24_000,
      isGrowing: false,
      spare: ['i-9'],
      returnable: [{ instanceId: 'i-8', cpuMillis: 8_000 }],
    };

    it('does not add a second instance while the first is on its way', () => {
      const short = { ...LOAD, waitingTasks: 5, waitedMs: 9_000 };
      expect(DemandPools.create().choose(short)?.instanceId).toBe('i-9');
      expect(DemandPools.create().choose({ ...short, isGrowing: true })).toBeUndefined();
    });

    it('does not return an instance whose processors are still needed', () => {
      expect(DemandPools.create().choose(LOAD)?.direction).toBe('home');
      expect(DemandPools.create().choose({ ...LOAD, usedCpuMillis: 12_000 })).toBeUndefined();
      expect(DemandPools.create().choose({ ...LOAD, quietMs: 5_000 })).toBeUndefined();
    });
  });
});
