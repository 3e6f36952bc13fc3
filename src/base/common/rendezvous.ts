import murmurhash from 'murmurhash';

/** Hashes text to an unsigned 32-bit integer. The same in every process and version. */
export function hashText(text: string): number {
  return murmurhash.v3(text);
}

/**
 * Orders members by rendezvous hashing: every process with the same members computes the same order
 * for a key, and a member that leaves changes the place of no other pair.
 */
export function sortByRendezvous(key: string, members: readonly string[]): string[] {
  const weighted = members.map((member) => ({ member, weight: hashText(`${key}/${member}`) }));
  weighted.sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1));
  return weighted.map((entry) => entry.member);
}
