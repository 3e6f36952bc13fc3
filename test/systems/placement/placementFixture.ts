import type { System } from '../../../src/base/common/system.ts';
import type { PoolConfig } from '../../../src/model/configuration.ts';
import type { EntryState } from '../../../src/model/entryState.ts';
import { createPlacementSystems } from '../../../src/systems/entrySystems.ts';
import { OrderedMove } from '../../../src/systems/evacuation/evacuationPolicy.ts';
import { InterferenceAwarePlacement } from '../../../src/systems/placement/placementPolicy.ts';
import { SHARD, WorkerModel } from '../../../bench/workerModel.ts';

export const ZONES = ['za', 'zb', 'zc'];

export function createBatchPool(overrides: Partial<PoolConfig> = {}): PoolConfig {
  return {
    ...{ name: 'batch', region: SHARD, zones: ZONES, workClass: 'batch', services: [] },
    ...{ quotas: [], spread: 'none', maxWorkerShare: 1 },
    ...overrides,
  };
}

export function createServicePool(replicas: number, spread: PoolConfig['spread']): PoolConfig {
  const demand = { cores: 2, memoryMb: 100, accelerators: 0 };
  return createBatchPool({
    ...{ name: 'services', workClass: 'latency-critical', spread },
    services: [{ name: 'kit', replicas, demand, taskKind: 'kit', command: [] }],
  });
}

interface FixtureOptions {
  readonly pools?: PoolConfig[];
  readonly workers?: number;
  readonly seed?: number;
  readonly effect?: (victim: string, aggressor: string) => number;
  readonly systems?: System<EntryState>[];
}

/** Creates a model with workers of 10 cores in three zones and with the default policies. */
export function createFixture(options: FixtureOptions = {}): WorkerModel {
  return WorkerModel.create({
    ...{ seed: options.seed ?? 1, stepMs: 100, advanceMs: 1_000 },
    pools: options.pools ?? [createBatchPool()],
    workers: Array.from({ length: options.workers ?? 6 }, (_, index) => ({
      ...{ id: `w${index}`, zone: ZONES[index % 3] ?? '', rack: `r${index % 2}` },
      ...{ cores: 10, memoryMb: 10_000 },
    })),
    systems:
      options.systems ??
      createPlacementSystems(InterferenceAwarePlacement.create(), OrderedMove.create()),
    computeEffect: options.effect ?? (() => 0),
    ...{ checkpointMs: 1_000, hasStopCheckpoint: true, periodicCheckpointMs: 10_000 },
  });
}

export function createDemand(
  cores: number,
  memoryMb = 100,
): { cores: number; memoryMb: number; accelerators: number } {
  return { cores, memoryMb, accelerators: 0 };
}

export function listAssigned(model: WorkerModel): string[] {
  return [...model.state.tasks.values()]
    .filter((task) => task.phase === 'assigned')
    .map((task) => task.id);
}
