import { hashText, sortByRendezvous } from '../../base/common/rendezvous.ts';
import type { EntryInfo } from '../../model/exchange.ts';

/** Returns a hash of the entry list that does not depend on its order; 0 for an empty list. */
export function hashEntryList(entries: Iterable<EntryInfo>): number {
  const parts = [...entries].map(({ id, zone, address }) => `${id} ${zone} ${address}`);
  return parts.length === 0 ? 0 : hashText(parts.sort().join('\n'));
}

/** Sorts entry addresses by the agent's preference; the first one is its home entry. */
export function sortHomeAddresses(
  agentId: string,
  entries: Iterable<EntryInfo>,
  seedAddresses: readonly string[],
): string[] {
  const addresses = new Map([...entries].map((entry) => [entry.id, entry.address]));
  if (addresses.size === 0) return sortByRendezvous(agentId, seedAddresses);
  return sortByRendezvous(agentId, [...addresses.keys()]).flatMap((id) => addresses.get(id) ?? []);
}
