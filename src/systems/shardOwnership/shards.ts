import { sortByRendezvous } from '../../base/common/rendezvous.ts';
import type { Configuration } from '../../model/configuration.ts';
import { getShardName } from '../../model/configuration.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { ShardOwnershipRow } from '../../model/ledger.ts';

/** Lists the shards that this entry may own: those of the pools in its region. */
export function listRegionShards(state: EntryState): string[] {
  const shards = state.configuration.current.pools
    .filter((pool) => pool.region === state.self.info.region)
    .map(getShardName);
  return [...new Set(shards)].sort();
}

/** Lists the shards of all regions in the configuration. */
export function listAllShards(state: EntryState): string[] {
  return [...new Set(state.configuration.current.pools.map(getShardName))].sort();
}

/**
 * Finds the shard of a worker. When several shards cover its zone, rendezvous hashing selects exactly
 * one of them, so that no two owners allocate the same capacity.
 */
export function findWorkerShard(
  configuration: Configuration,
  workerId: string,
  region: string,
  zone: string,
): string | undefined {
  const shards = configuration.pools
    .filter((pool) => pool.region === region && pool.zones.includes(zone))
    .map(getShardName);
  return sortByRendezvous(workerId, [...new Set(shards)])[0];
}

/** Finds the ownership of a shard if this entry holds it and has recovered its ledger. */
export function findHeldOwnership(
  state: EntryState,
  shard: string | undefined,
): ShardOwnershipRow | undefined {
  const ownership = shard === undefined ? undefined : state.duties.get(shard);
  return ownership?.phase === 'holding' ? ownership : undefined;
}
