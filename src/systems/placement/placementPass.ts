import type { Tick } from '../../base/common/system.ts';
import type { PoolConfig } from '../../model/configuration.ts';
import { getShardName } from '../../model/configuration.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { Resources } from '../../model/resources.ts';
import { NO_RESOURCES } from '../../model/resources.ts';
import type { TaskRow } from '../../model/task.ts';
import { EffectCache } from '../interference/interferenceModel.ts';
import { getPlacementInputs } from './commitmentSystem.ts';

/** Shared state of one scheduling pass: the configuration indexed for look-ups, and caches. */
export interface PlacementPass {
  readonly state: EntryState;
  readonly tick: Tick;
  /** Pools of the shards that this entry owns. */
  readonly pools: ReadonlyMap<string, PoolConfig>;
  readonly zonesOut: ReadonlySet<string>;
  /** Replicas by location; updated while the pass places more of them. */
  readonly spreads: Map<string, SpreadCounts>;
  /** Zones with workers that are in service, by pool. */
  readonly usableZones: Map<string, readonly string[]>;
  /** Number of racks by zone. */
  readonly rackCounts: Map<string, number>;
  readonly effects: EffectCache;
}

/** Replicas of one service by zone and by rack, `zone/rack`. */
export interface SpreadCounts {
  readonly byLocation: Map<string, number>;
  /** Configured number of replicas. */
  readonly replicas: number;
}

export function createPlacementPass(state: EntryState, tick: Tick): PlacementPass {
  const pools = new Map<string, PoolConfig>();
  for (const pool of state.configuration.current.pools) {
    if (state.duties.get(getShardName(pool))?.phase === 'holding') pools.set(pool.name, pool);
  }
  return {
    state,
    tick,
    pools,
    zonesOut: new Set(state.configuration.current.zonesOut),
    spreads: new Map(),
    usableZones: new Map(),
    rackCounts: new Map(),
    effects: EffectCache.create(state),
  };
}

export function listUsableZones(pass: PlacementPass, pool: PoolConfig): readonly string[] {
  const cached = pass.usableZones.get(pool.name);
  if (cached !== undefined) return cached;
  const { workersByZone } = getPlacementInputs(pass.state);
  const zones = pool.zones.filter(
    (zone) => !pass.zonesOut.has(zone) && workersByZone.count(zone) > 0,
  );
  pass.usableZones.set(pool.name, zones);
  return zones;
}

/** Returns the number of racks with workers in the zone. */
export function countRacks(pass: PlacementPass, zone: string): number {
  if (pass.rackCounts.size === 0) {
    for (const key of getPlacementInputs(pass.state).workersByRack.keys()) {
      const rackZone = key.slice(0, key.indexOf('/'));
      pass.rackCounts.set(rackZone, (pass.rackCounts.get(rackZone) ?? 0) + 1);
    }
  }
  return pass.rackCounts.get(zone) ?? 0;
}

/** Counts the replicas of the service that are not being stopped, by location. */
export function getSpread(pass: PlacementPass, pool: PoolConfig, service: string): SpreadCounts {
  const id = `${pool.name}/${service}`;
  const cached = pass.spreads.get(id);
  if (cached !== undefined) return cached;
  const replicas = pool.services.find((row) => row.name === service)?.replicas ?? 0;
  const spread: SpreadCounts = { byLocation: new Map(), replicas: replicas };
  pass.spreads.set(id, spread);
  for (const claim of pass.state.placement.claimsByService.values(id)) {
    if (!claim.isStopping) addToSpread(pass, spread, claim.workerId);
  }
  return spread;
}

export function addToSpread(pass: PlacementPass, spread: SpreadCounts, workerId: string): void {
  const worker = pass.state.workers.get(workerId);
  if (worker === undefined) return;
  for (const location of [worker.zone, `${worker.zone}/${worker.rack}`]) {
    spread.byLocation.set(location, (spread.byLocation.get(location) ?? 0) + 1);
  }
}

/** Returns the resources of a worker that the pool's tasks may use in total. */
export function computePoolCapacity(pool: PoolConfig, capacity: Resources): Resources {
  return { ...capacity, cores: capacity.cores * pool.maxWorkerShare };
}

export function getTaskShard(pass: PlacementPass, task: TaskRow): string {
  const pool = pass.pools.get(task.pool);
  return pool === undefined ? '' : getShardName(pool);
}

/** The capacity of a pool's largest worker is cached because a scan of all workers is slow. */
const LARGEST_WORKER_CACHE_MS = 5_000;

/** Returns the capacity that the pool may use of its worker with the most cores. */
export function getLargestCapacity(pass: PlacementPass, pool: PoolConfig): Resources {
  const { largestWorkers } = pass.state.placement;
  const cached = largestWorkers.get(pool.name);
  if (cached !== undefined && pass.tick.now - cached.computedAtMs < LARGEST_WORKER_CACHE_MS)
    return cached.capacity;
  let largest = NO_RESOURCES;
  for (const worker of pass.state.workers.values()) {
    if (worker.region !== pool.region || !pool.zones.includes(worker.zone)) continue;
    if (worker.capacity.cores > largest.cores) largest = worker.capacity;
  }
  const capacity = computePoolCapacity(pool, largest);
  largestWorkers.set({ id: pool.name, capacity, computedAtMs: pass.tick.now });
  return capacity;
}
