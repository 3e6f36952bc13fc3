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
  /** When the link to the owner last opened. */
  linkedAt: number;
  /** Latest news of an owner that the store had confirmed lately, and latest news of any. */
  lastConfirmedUpdateAt: number;
  lastOwnerUpdateAt: number;
  /** When an owner in touch with the store last brought the statuses up to date here. */
  statusesCurrentAt: number;
  /** When the owner last asked whether a peer could take over. */
  takeoverRequestedAt: number;
  /** When this entry last offered to take the duty over. */
  takeoverOfferedAt: number;
  /** The largest of the peers that could take over since the owner asked, and when the first answered. */
  bestCandidate: { readonly id: string; readonly cores: number } | undefined;
  firstCandidateAt: number;
  /** Processor time of the latest owner that this entry heard of, in plain cores. */
  ownerCores: number;
  /** Since when the owner key has been missing. */
  vacantSince: number;
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
    linkedAt: NEVER,
    lastConfirmedUpdateAt: NEVER,
    lastOwnerUpdateAt: NEVER,
    statusesCurrentAt: NEVER,
    takeoverRequestedAt: NEVER,
    takeoverOfferedAt: NEVER,
    bestCandidate: undefined,
    firstCandidateAt: NEVER,
    ownerCores: 0,
    vacantSince: Number.POSITIVE_INFINITY,
    claimableVersion: 0,
    loadedAt: NEVER,
  };
}
