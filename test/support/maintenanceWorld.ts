import type { MaintenanceWave } from '../../src/model/scheduler/maintenanceWave.ts';
import { STORE_KEYS } from '../../src/model/scheduler/jobRecord.ts';
import { OPERATOR_KEYS } from '../../src/model/scheduler/queueConfiguration.ts';
import { createWorld } from './jobWorld.ts';
import type { SchedulerWorld } from './schedulerWorld.ts';
import type { WorldInstances } from './worldInstances.ts';
import { toInstanceId } from './worldInstances.ts';
import type { EntryNode } from './worldNodes.ts';

/** Creates a world whose workers run on instances, with an owner that may send commands for them. */
export function createMaintenanceWorld(
  entries = 1,
  agents = 4,
): { world: SchedulerWorld; entry: EntryNode; instances: WorldInstances } {
  const { world, entry } = createWorld(entries, agents);
  const instances = world.addInstances();
  // A new owner waits until commands of the previous owner can no longer be executed.
  world.run(2_000);
  return { world, entry, instances };
}

/** Writes a wave, by default over all instances, and returns it. */
export function writeWave(
  world: SchedulerWorld,
  wave: Partial<MaintenanceWave> = {},
): MaintenanceWave {
  const written: MaintenanceWave = {
    number: 1,
    instances: world.agents.map(toInstanceId),
    withinMs: 30_000,
    maxDown: 1,
    ...wave,
  };
  writeWaveValue(world, String(written.number), { kind: 'wave', wave: written });
  return written;
}

export function writeWaveValue(world: SchedulerWorld, id: string, value: unknown): void {
  const key = OPERATOR_KEYS.wave(id);
  const read = world.store.handle({ op: 'read', key });
  const expectedVersion = read.kind === 'entry' ? read.entry.version : 0;
  world.store.handle({ op: 'write', key, expectedVersion, value });
}

export function withdrawWave(world: SchedulerWorld, id = '1'): void {
  const key = OPERATOR_KEYS.wave(id);
  const read = world.store.handle({ op: 'read', key });
  if (read.kind === 'entry')
    world.store.handle({ op: 'delete', key, expectedVersion: read.entry.version });
}

/** Reads the state of a wave as the operator; empty before one is stored. */
export function readWaveState(world: SchedulerWorld, id = '1'): unknown {
  const read = world.store.handle({ op: 'read', key: STORE_KEYS.waveStatus(id) });
  return read.kind === 'entry' ? (read.entry.value as { state?: unknown } | undefined)?.state : '';
}

/** Runs the world in steps of 50 ms and calls the check after each. */
export function runChecked(world: SchedulerWorld, durationMs: number, check: () => void): void {
  for (let elapsed = 0; elapsed < durationMs; elapsed += 50) {
    world.run(50);
    check();
  }
}
