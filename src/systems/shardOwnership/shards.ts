import { sortByRendezvous } from '../../base/common/rendezvous.ts';
import type { Configuration } from '../../model/configuration.ts';
import { getShardName } from '../../model/configuration.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { ShardOwnershipRow } from '../../model/ledger.ts';

/** Shards that this entry may own: those of the pools of its region. */
export function listRegionShards(state: EntryState): string[] {
  const shards = state.configuration.current.pools
    .filter((pool) => pool.region === state.self.info.region)
    .map(getShardName);
  return [...new Set(shards)].sort();
}

/** Every shard of the configuration, also those of other regions. */
export function listAllShards(state: EntryState): string[] {
  return [...new Set(state.configuration.current.pools.map(getShardName))].sort();
}

/**
 * Shard that a worker serves. When several shards cover its zone, each worker belongs to exactly one
 * of them, chosen by rendezvous hashing, so that no two owners commit the same capacity.
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

/** The ownership of a shard when this entry holds it and has read its ledger. */
export function findHeldOwnership(
  state: EntryState,
  shard: string | undefined,
): ShardOwnershipRow | undefined {
  const ownership = shard === undefined ? undefined : state.duties.get(shard);
  return ownership?.phase === 'holding' ? ownership : undefined;
}
