import { describe, expect, it } from 'vitest';
import { STORE_KEYS } from '../../../src/model/scheduler/jobRecord.ts';
import { waveProgressSchema } from '../../../src/model/scheduler/maintenanceWave.ts';
import { explainClosedWorker } from '../../../src/systems/scheduler/workerCapacities.ts';
import { createJobId, JOB, readPhase } from '../../support/jobWorld.ts';
import {
  createMaintenanceWorld,
  readWaveState,
  runChecked,
  withdrawWave,
  writeWave,
  writeWaveValue,
} from '../../support/maintenanceWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import { toInstanceId } from '../../support/worldInstances.ts';

const LONG_RUNNING = { cpuMillis: 2_000, longRunning: true, savesProgress: true };

function countAvailable(world: SchedulerWorld): number {
  return world.agents
    .flatMap(({ runner }) => runner.listRunning())
    .filter(({ percent }) => percent >= 100).length;
}

/** Creates a world with spare capacity and a long-running step. */
function createLongRunningWorld(
  count: number,
  maxUnavailable: number,
): ReturnType<typeof createMaintenanceWorld> {
  const created = createMaintenanceWorld();
  created.world.behave = () => ({ durationMs: 1e9, end: 'done', computeLatencyMs: () => 10 });
  created.world.submit(created.entry, JOB, [{ ...LONG_RUNNING, count, maxUnavailable }]);
  created.world.run(3_000);
  return created;
}

describe('maintenance of instances', () => {
  describe('of a wave', () => {
    it('does not omit an instance or maintain one twice', () => {
      const { world, instances } = createMaintenanceWorld();
      const wave = writeWave(world);
      world.run(20_000);
      expect(instances.listMaintained().sort()).toEqual(wave.instances);
      expect(readWaveState(world)).toBe('completed');
    });

    it.each([1, 2, 3])('does not take more than %i down at one time', (maxDown) => {
      const { world, instances } = createMaintenanceWorld(1, 7);
      writeWave(world, { maxDown });
      world.run(40_000);
      expect(instances.listMaintained()).toHaveLength(7);
      expect(instances.peakInMaintenance).toBe(maxDown);
    });

    it('is not reported as completed before the maintenance of its last instance has begun', () => {
      const { world, instances } = createMaintenanceWorld();
      writeWave(world);
      runChecked(world, 20_000, () => {
        if (readWaveState(world) === 'completed')
          expect(instances.listMaintained()).toHaveLength(4);
      });
      expect(readWaveState(world)).toBe('completed');
    });

    it('is reported as running while it runs', () => {
      const { world } = createMaintenanceWorld();
      writeWave(world);
      world.run(1_000);
      expect(readWaveState(world)).toBe('running');
    });

    it('does not maintain instances that are in no wave', () => {
      const { world, instances } = createMaintenanceWorld();
      writeWave(world, { instances: ['i-agent-2'] });
      world.run(10_000);
      expect(instances.listMaintained()).toEqual(['i-agent-2']);
    });

    it('does not take an instance down for two waves at one time', () => {
      const { world, instances } = createMaintenanceWorld(1, 2);
      writeWave(world, { number: 1, maxDown: 2 });
      writeWave(world, { number: 2, maxDown: 2 });
      world.run(20_000);
      expect(instances.listMaintained()).toHaveLength(4);
      expect(readWaveState(world, '1')).toBe('completed');
      expect(readWaveState(world, '2')).toBe('completed');
    });

    it('does not continue when the operator withdraws it', () => {
      const { world, entry, instances } = createMaintenanceWorld();
      writeWave(world);
      world.run(1_500);
      withdrawWave(world);
      world.run(10_000);
      expect(instances.listMaintained().length).toBeLessThan(3);
      expect(entry.state.fleet.cordonedWorkers.size).toBe(0);
    });

    it('does not omit instances that are added to it later', () => {
      const { world, instances } = createMaintenanceWorld();
      writeWave(world, { instances: ['i-agent-0'] });
      world.run(8_000);
      expect(readWaveState(world)).toBe('completed');
      writeWave(world);
      world.run(20_000);
      expect(instances.listMaintained()).toHaveLength(4);
      expect(readWaveState(world)).toBe('completed');
    });

    it.each([{ kind: 'wave' }, 'text', { kind: 'wave', wave: { number: 1, instances: 'all' } }])(
      'does not apply a malformed request: %j',
      (value) => {
        const { world, entry, instances } = createMaintenanceWorld();
        writeWaveValue(world, '7', value);
        world.run(3_000);
        expect(instances.listMaintained()).toEqual([]);
        expect(world.logs.map(({ event }) => event)).toContain('wave_unreadable');
        world.submit(entry, JOB, [{ count: 1 }]);
        world.run(3_000);
        expect(readPhase(world, entry)).toBe('completed');
      },
    );
  });

  describe('with tasks on the instances', () => {
    it('does not cut off a task', () => {
      const { world, entry, instances } = createMaintenanceWorld();
      world.behave = () => ({ durationMs: 700, end: 'done' });
      writeWave(world, { withinMs: 60_000 });
      let jobs = 0;
      runChecked(world, 25_000, () => {
        jobs += 1;
        if (jobs % 4 === 0)
          world.submit(entry, createJobId(jobs), [{ count: 3, cpuMillis: 2_000 }]);
      });
      expect(instances.listMaintained()).toHaveLength(4);
      expect(instances.interruptedRuns).toEqual([]);
      expect(entry.state.counters.get('stops_sent')).toBe(0);
    });

    it('does not stop tasks that end within the time of the wave', () => {
      const { world, entry } = createMaintenanceWorld();
      world.behave = () => ({ durationMs: 2_500, end: 'done' });
      world.submit(entry, JOB, [{ count: 8, cpuMillis: 3_000 }]);
      world.run(500);
      writeWave(world, { withinMs: 60_000 });
      world.run(20_000);
      expect(readPhase(world, entry)).toBe('completed');
      expect(entry.state.counters.get('stops_sent')).toBe(0);
    });

    it('does not wait for tasks beyond the time of the wave', () => {
      const { world, entry, instances } = createMaintenanceWorld();
      world.behave = () => ({ durationMs: 40_000, end: 'done', checkpointIntervalMs: 500 });
      world.submit(entry, JOB, [{ count: 4, cpuMillis: 2_000, savesProgress: true }]);
      world.run(500);
      const startedAt = world.clock.now;
      writeWave(world, { withinMs: 20_000 });
      world.run(20_000);
      expect(instances.listMaintained()).toHaveLength(4);
      const last = instances.service.appliedCommands.at(-1)!;
      expect(last.atMs - startedAt).toBeLessThan(20_000);
      expect(instances.interruptedRuns).toEqual([]);
    });

    it.each([1, 2])(
      'does not have more than %i serving tasks of a step unavailable at one time',
      (maxUnavailable) => {
        const { world, instances } = createLongRunningWorld(8, maxUnavailable);
        expect(countAvailable(world)).toBe(8);
        writeWave(world, { withinMs: 60_000 });
        runChecked(world, 60_000, () => {
          expect(countAvailable(world)).toBeGreaterThanOrEqual(8 - maxUnavailable);
        });
        expect(instances.listMaintained()).toHaveLength(4);
        expect(instances.interruptedRuns).toEqual([]);
        expect(countAvailable(world)).toBe(8);
      },
    );

    it('does not stop a serving task before there is capacity elsewhere, while there is time', () => {
      const { world, instances } = createLongRunningWorld(16, 2);
      expect(countAvailable(world)).toBe(16);
      writeWave(world, { withinMs: 40_000, instances: ['i-agent-0'] });
      world.run(15_000);
      expect(countAvailable(world)).toBe(16);
      expect(instances.listMaintained()).toEqual([]);
    });

    it('does not first drain an instance whose serving tasks cannot be evicted', () => {
      const { world, entry, instances } = createMaintenanceWorld();
      world.behave = () => ({ durationMs: 1e9, end: 'done', computeLatencyMs: () => 10 });
      world.submit(entry, JOB, [
        { ...LONG_RUNNING, cpuMillis: 7_000, count: 1, maxUnavailable: 1 },
      ]);
      world.run(2_000);
      const needed = world.agents.find(({ runner }) => runner.running.size > 0)!;
      writeWave(world, { withinMs: 60_000 });
      world.run(2_000);
      expect(instances.listMaintained()).not.toContain(toInstanceId(needed));
      expect(instances.listMaintained().length).toBeGreaterThan(0);
    });
  });

  describe('with faults', () => {
    it('does not take more down than allowed when answers are lost', () => {
      const { world, instances } = createMaintenanceWorld();
      instances.service.downMs = 5_000;
      writeWave(world);
      world.run(300);
      for (let round = 0; round < 10; round += 1) {
        instances.mode = 'answerLost';
        world.run(2_500);
        instances.mode = 'up';
        world.run(2_500);
      }
      expect(instances.listMaintained()).toHaveLength(4);
      expect(instances.peakInMaintenance).toBe(1);
      expect(readWaveState(world)).toBe('completed');
    });

    it.each(['silent', 'refuses'] as const)(
      'does not abandon the wave while the service is in mode %s',
      (mode) => {
        const { world, instances } = createMaintenanceWorld();
        instances.mode = mode;
        writeWave(world);
        world.run(8_000);
        expect(readWaveState(world)).toBe('running');
        instances.mode = 'up';
        world.run(25_000);
        expect(readWaveState(world)).toBe('completed');
        expect(instances.peakInMaintenance).toBe(1);
      },
    );

    it('does not keep an instance closed when the platform rejects the command', () => {
      const { world, entry, instances } = createMaintenanceWorld(1, 1);
      instances.service.busyInstances.add('i-agent-0');
      writeWave(world);
      world.run(1_500);
      const [worker] = entry.state.workers.list();
      expect(explainClosedWorker(entry.state, worker!, world.clock.now)).toBeUndefined();
      expect(readWaveState(world)).toBe('running');
      instances.service.busyInstances.clear();
      world.run(10_000);
      expect(readWaveState(world)).toBe('completed');
    });

    it('does not wait for instances that were removed or are not in the wave', () => {
      const { world, instances } = createMaintenanceWorld();
      instances.service.remove('i-agent-1');
      instances.service.waveInstances = new Set(['i-agent-0', 'i-agent-3']);
      writeWave(world);
      world.run(20_000);
      expect(instances.listMaintained().sort()).toEqual(['i-agent-0', 'i-agent-3']);
      expect(readWaveState(world)).toBe('completed');
    });

    it('does not send a command before it is stored for later owners', () => {
      const { world, entry, instances } = createMaintenanceWorld();
      const stored: unknown[] = [];
      instances.onCommand = (id) => {
        const read = world.store.handle({ op: 'read', key: STORE_KEYS.waveProgress('1') });
        const progress = read.kind === 'entry' ? waveProgressSchema.parse(read.entry.value) : null;
        stored.push(progress?.instances[id]);
      };
      writeWave(world);
      while (!entry.state.fleet.maintenance.list().some(({ phase }) => phase === 'reserved'))
        world.run(5);
      entry.store = 'silent';
      world.run(500);
      entry.store = 'up';
      world.run(20_000);
      expect(stored).toEqual(Array(4).fill('ordered'));
    });

    it('does not lose the wave when an answer of the store is lost', () => {
      const { world, entry, instances } = createMaintenanceWorld();
      writeWave(world);
      world.run(200);
      entry.store = 'answerLost';
      world.run(1_200);
      entry.store = 'up';
      world.run(25_000);
      expect(instances.listMaintained()).toHaveLength(4);
      expect(readWaveState(world)).toBe('completed');
    });
  });
});
