import type { Tick } from '../../base/common/system.ts';
import type { PoolConfig } from '../../model/configuration.ts';
import { getShardName } from '../../model/configuration.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { Resources } from '../../model/resources.ts';
import { NO_RESOURCES } from '../../model/resources.ts';
import type { TaskRow } from '../../model/task.ts';
import { EffectCache } from '../interference/interferenceModel.ts';
import { getPlacementInputs } from './commitmentSystem.ts';

/** What the decisions of one turn share: the configuration in a form for look-ups, and caches. */
export interface PlacementPass {
  readonly state: EntryState;
  readonly tick: Tick;
  /** Pools of the shards whose duty this entry holds. */
  readonly pools: ReadonlyMap<string, PoolConfig>;
  readonly zonesOut: ReadonlySet<string>;
  /** Replicas by place, kept up to date while the turn places more of them. */
  readonly spreads: Map<string, SpreadCounts>;
  /** Zones of a pool that are in service and have workers. */
  readonly usableZones: Map<string, readonly string[]>;
  /** Racks in a zone. */
  readonly rackCounts: Map<string, number>;
  readonly effects: EffectCache;
}

/** Replicas of one service by zone, rack and worker. */
export interface SpreadCounts {
  readonly byLocation: Map<string, number>;
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

/** Number of racks with workers in the zone. */
export function countRacks(pass: PlacementPass, zone: string): number {
  if (pass.rackCounts.size === 0) {
    for (const key of getPlacementInputs(pass.state).workersByRack.keys()) {
      const rackZone = key.slice(0, key.indexOf('/'));
      pass.rackCounts.set(rackZone, (pass.rackCounts.get(rackZone) ?? 0) + 1);
    }
  }
  return pass.rackCounts.get(zone) ?? 0;
}

/** Replicas of the service that are current and not being stopped, by place. */
export function getSpread(pass: PlacementPass, pool: PoolConfig, service: string): SpreadCounts {
  const id = `${pool.name}/${service}`;
  const cached = pass.spreads.get(id);
  if (cached !== undefined) return cached;
  const replicas = pool.services.find((row) => row.name === service)?.replicas ?? 0;
  const spread: SpreadCounts = { byLocation: new Map(), replicas };
  pass.spreads.set(id, spread);
  for (const claim of pass.state.placement.claimsByService.values(id)) {
    if (!claim.isStopping) addToSpread(pass, spread, claim.workerId);
  }
  return spread;
}

export function addToSpread(pass: PlacementPass, spread: SpreadCounts, workerId: string): void {
  const worker = pass.state.workers.get(workerId);
  if (worker === undefined) return;
  for (const place of [worker.zone, `${worker.zone}/${worker.rack}`]) {
    spread.byLocation.set(place, (spread.byLocation.get(place) ?? 0) + 1);
  }
}

/** How many cores and how much memory a worker may give to the pool's tasks in total. */
export function computePoolCapacity(pool: PoolConfig, capacity: Resources): Resources {
  return { ...capacity, cores: capacity.cores * pool.maxWorkerShare };
}

export function getTaskShard(pass: PlacementPass, task: TaskRow): string {
  const pool = pass.pools.get(task.pool);
  return pool === undefined ? '' : getShardName(pool);
}

/** Time for which the largest worker of a pool is remembered; looking at all workers is slow. */
const LARGEST_WORKER_CACHE_MS = 5_000;

/** What the pool may use of its largest worker, by cores. */
export function getLargestCapacity(pass: PlacementPass, pool: PoolConfig): Resources {
  const { largestWorkers } = pass.state.placement;
  const kept = largestWorkers.get(pool.name);
  if (kept !== undefined && pass.tick.now - kept.computedAtMs < LARGEST_WORKER_CACHE_MS)
    return kept.capacity;
  let largest = NO_RESOURCES;
  for (const worker of pass.state.workers.values()) {
    if (worker.region !== pool.region || !pool.zones.includes(worker.zone)) continue;
    if (worker.capacity.cores > largest.cores) largest = worker.capacity;
  }
  const capacity = computePoolCapacity(pool, largest);
  largestWorkers.set({ id: pool.name, capacity, computedAtMs: pass.tick.now });
  return capacity;
}
