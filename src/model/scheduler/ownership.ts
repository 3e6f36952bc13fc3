/** What an entry knows about the owner, and about its own claim. */
export interface Ownership {
  role: 'follower' | 'claiming' | 'loading' | 'owner';
  /** Epoch of the owner that this entry follows or is. */
  epoch: number;
  leaseId: string;
  /** Version of the owner key that this entry wrote. */
  keyVersion: number;
  epochKeyVersion: number;
  /** Start of the latest store call that confirmed the claim; on the monotonic clock. */
  confirmedAt: number;
  renewAt: number;
  /** When the owner key itself is compared next; every commit puts it off. */
  checkAt: number;
  /** Latest comparison of the key; empty after a new claim. */
  checkCallId: string;
  claimAt: number;
  /** Id of the owner, when it is another entry and its record has been read. */
  ownerId: string;
  /** Address of the owner, when it is another entry. */
  ownerAddress: string;
  ownerLink: 'closed' | 'opening' | 'open';
  /** Latest news of an owner that the store had confirmed lately, and latest news of any. */
  ownerHeardAt: number;
  newsAt: number;
  /** When an owner in touch with the store last brought the statuses up to date here. */
  statusesAt: number;
  /** When the owner last asked whether a peer could take over. */
  askedAt: number;
  /** When this entry last offered to take the duty over. */
  offeredAt: number;
  /** Version of an owner key whose holder has handed the duty over; 0 for none. */
  claimableVersion: number;
  /** When the owner's tables were loaded. */
  loadedAt: number;
}

const NEVER = Number.NEGATIVE_INFINITY;

export function createOwnership(): Ownership {
  return {
    role: 'follower',
    epoch: 0,
    leaseId: '',
    keyVersion: 0,
    epochKeyVersion: 0,
    confirmedAt: NEVER,
    renewAt: NEVER,
    checkAt: NEVER,
    checkCallId: '',
    claimAt: NEVER,
    ownerId: '',
    ownerAddress: '',
    ownerLink: 'closed',
    ownerHeardAt: NEVER,
    newsAt: NEVER,
    statusesAt: NEVER,
    askedAt: NEVER,
    offeredAt: NEVER,
    claimableVersion: 0,
    loadedAt: NEVER,
  };
}
