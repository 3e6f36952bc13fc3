import { describe, expect, it } from 'vitest';
import { Loop } from '../../../src/base/common/loop.ts';
import { SeededRandom } from '../../../src/base/common/seededRandom.ts';
import { System } from '../../../src/base/common/system.ts';
import type { SchedulerEffect } from '../../../src/model/scheduler/schedulerMessages.ts';
import type { SchedulerState } from '../../../src/model/scheduler/schedulerState.ts';
import { recoverFromFailure } from '../../../src/systems/scheduler/failureRecovery.ts';
import { GracefulMaintenance } from '../../../src/systems/scheduler/maintenancePolicy.ts';
import { MaintenanceSystem } from '../../../src/systems/scheduler/maintenanceSystem.ts';
import { JOB, replaceOwner } from '../../support/jobWorld.ts';
import {
  createMaintenanceWorld,
  readWaveState,
  writeWave,
} from '../../support/maintenanceWorld.ts';

class FailingSystem extends System<SchedulerState> {
  override readonly name = 'failing';

  private constructor() {
    super();
  }

  static create(): FailingSystem {
    return new FailingSystem();
  }

  override run(): void {
    throw new Error('failing');
  }
}

describe('maintenance of instances', () => {
  describe('after a takeover', () => {
    it.each([300, 900, 2_500, 4_100, 6_000])(
      'does not repeat maintenance or exceed the limit when the owner is killed after %i ms',
      (afterMs) => {
        const { world, instances } = createMaintenanceWorld(3);
        writeWave(world);
        world.run(afterMs);
        world.kill(world.owner!);
        world.run(40_000);
        expect(instances.listMaintained()).toHaveLength(4);
        expect(instances.peakInMaintenance).toBe(1);
        expect(instances.service.fenceViolations).toEqual([]);
        expect(readWaveState(world)).toBe('completed');
      },
    );

    it('does not send commands while commands of the previous owner may still be executed', () => {
      const { world, instances } = createMaintenanceWorld(2);
      instances.mode = 'refuses';
      writeWave(world, { maxDown: 4 });
      world.run(500);
      const first = world.owner!;
      first.loop.receive({ kind: 'stopRequested' });
      first.loop.runTick();
      instances.mode = 'up';
      world.run(2_900);
      expect(world.owner).not.toBe(first);
      expect(instances.service.appliedCommands).toEqual([]);
      world.run(30_000);
      expect(readWaveState(world)).toBe('completed');
    });

    it('does not send commands while the store does not confirm the ownership', () => {
      const { world, entry, instances } = createMaintenanceWorld();
      instances.mode = 'refuses';
      writeWave(world);
      world.run(1_000);
      entry.store = 'silent';
      world.run(1_200);
      instances.mode = 'up';
      world.run(6_000);
      expect(entry.state.ownership.role).toBe('owner');
      expect(instances.service.appliedCommands).toEqual([]);
    });

    it('does not repeat a completed wave', () => {
      const { world, instances } = createMaintenanceWorld(2);
      writeWave(world);
      world.run(20_000);
      world.kill(world.owner!);
      const calls = instances.service.appliedCommands.length;
      world.run(10_000);
      expect(instances.service.appliedCommands).toHaveLength(calls);
      expect(readWaveState(world)).toBe('completed');
      expect(world.owner?.state.fleet.cordonedWorkers.size).toBe(0);
    });

    it.each([1, 2])(
      'does not cut off tasks after %i takeovers while the list of instances is refused',
      (takeovers) => {
        const { world, instances } = createMaintenanceWorld(4);
        world.behave = () => ({ durationMs: 20_000, end: 'done' });
        instances.mode = 'refuses';
        writeWave(world);
        world.run(1_000);
        instances.refuseLists();
        for (let index = 0; index < takeovers; index += 1) replaceOwner(world);
        instances.mode = 'up';
        world.submit(world.owner!, JOB, [{ count: 32, cpuMillis: 1_000, savesProgress: true }]);
        world.run(8_000);
        expect(instances.interruptedRuns).toEqual([]);
        instances.acceptLists();
        world.run(40_000);
        expect(instances.interruptedRuns).toEqual([]);
        expect(readWaveState(world)).toBe('completed');
      },
    );

    it('does not send a command in the tick in which the owner gives up after a failure', () => {
      const { world, entry, instances } = createMaintenanceWorld();
      const { state } = entry;
      instances.mode = 'refuses';
      writeWave(world);
      const isDue = (): boolean =>
        state.fleet.maintenance
          .list()
          .some((row) => row.phase === 'ordered' && row.callId === '' && row.retryAt <= now());
      const now = (): number => world.clock.now + 1;
      while (!isDue()) world.run(1);
      world.clock.advance(1);
      const effects: SchedulerEffect[] = [];
      const loop = Loop.create({
        state,
        systems: [FailingSystem.create(), MaintenanceSystem.create(GracefulMaintenance.create())],
        clock: world.clock,
        random: SeededRandom.create(1),
        handleEffect: (effect: SchedulerEffect) => {
          effects.push(effect);
        },
        handleFailure: ({ name }) => {
          recoverFromFailure(state, name, world.clock.now);
        },
      });
      loop.runTick();
      expect(state.ownership.role).toBe('follower');
      expect(effects.filter(({ kind }) => kind === 'callInstances')).toEqual([]);
    });
  });
});
