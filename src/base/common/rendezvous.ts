import murmurhash from 'murmurhash';

/** Hashes text to an unsigned 32-bit integer that is the same in every process and version. */
export function hashText(text: string): number {
  return murmurhash.v3(text);
}

/**
 * Sorts members by rendezvous hashing: every process with the same members computes the same order
 * for a key, and the removal of a member does not change the order of the remaining ones.
 */
export function sortByRendezvous(key: string, members: readonly string[]): string[] {
  const weighted = members.map((member) => ({ member, weight: hashText(`${key}/${member}`) }));
  weighted.sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1));
  return weighted.map((entry) => entry.member);
}
