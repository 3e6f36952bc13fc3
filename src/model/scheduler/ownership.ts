import type { LastOwner } from './jobRecord.ts';

/** An owner that has counted this entry among its followers. */
export interface FollowedOwner {
  readonly epoch: number;
  /** When the entry sent the message that the owner answered, monotonic clock ms. */
  readonly at: number;
  /** When the owners before it have certainly granted their last lease, monotonic clock ms. */
  readonly grantsEndAt: number;
}

/** State of an entry about the owner and about its own claim to the ownership. */
export interface Ownership {
  role: 'follower' | 'claiming' | 'loading' | 'owner';
  /** Epoch of the owner, which is this entry or the one that it follows. */
  epoch: number;
  leaseId: string;
  /** Version of the owner key that this entry wrote. */
  keyVersion: number;
  epochKeyVersion: number;
  /** Start of the latest store call that confirmed the claim, monotonic clock ms. */
  confirmedAt: number;
  /** Start of the latest store call that found this entry's owner key unchanged, monotonic clock ms. */
  keyConfirmedAt: number;
  /** When the owners before this one have certainly granted their last lease, monotonic clock ms. */
  earlierGrantsEndAt: number;
  /** The latest owner before this entry's claim, and when those before it have granted their last lease. */
  lastOwner: (LastOwner & { readonly grantsEndAt: number }) | undefined;
  /** Version of the last owner's record, as this entry has read it. */
  lastOwnerVersion: number;
  /** How long earlier owners may grant leases by this owner's own record, ms. */
  recordedGrantsMs: number;
  /** Whether the store has confirmed a record that allows this owner to grant leases in an outage. */
  canGrantInOutage: boolean;
  /** Version of this owner's record, on which its next update depends. */
  recordVersion: number;
  /** The pending update of this owner's record; the call id is empty without one. */
  recordUpdate: { callId: string; grantsMs: number; grantsInOutage: boolean };
  /** When this entry's claim was confirmed, monotonic clock ms. */
  claimedAt: number;
  /** How long after the pending claim earlier owners may grant leases, ms. */
  claimedGrantsMs: number;
  /** The latest owners that have counted this entry among their followers. */
  followed: FollowedOwner;
  followedBefore: FollowedOwner;
  /** Latest epoch whose owner process has certainly ended or given up. */
  endedEpoch: number;
  /** When this entry last noticed that it had been suspended, monotonic clock ms. */
  resumedAt: number;
  renewAt: number;
  /** When the owner key is verified next; every commit postpones it. */
  checkAt: number;
  /** Id of the latest verification call of the key; empty after a new claim. */
  checkCallId: string;
  claimAt: number;
  /** Id of the owner when it is another entry whose record has been read. */
  ownerId: string;
  /** Address of the owner, when it is another entry. */
  ownerAddress: string;
  ownerLink: 'closed' | 'opening' | 'open';
  /** When the link to the owner last opened. */
  linkedAt: number;
  /** When the latest status update came from a recently confirmed owner, and from any owner. */
  lastConfirmedUpdateAt: number;
  lastOwnerUpdateAt: number;
  /** When a status update of a recently confirmed owner last made the statuses of this entry current. */
  statusesCurrentAt: number;
  /** When the owner last asked its peers to take over. */
  takeoverRequestedAt: number;
  /** When this entry last offered to take over the ownership. */
  takeoverOfferedAt: number;
  /** The largest peer that has offered to take over since the owner asked, and when the first offer came. */
  bestCandidate: { readonly id: string; readonly cores: number } | undefined;
  firstCandidateAt: number;
  /** Processor time of the latest known owner, in cores. */
  ownerCores: number;
  /** Time since which the owner key has been missing. */
  vacantSince: number;
  /** Version of an owner key whose holder has released the ownership; 0 for none. */
  claimableVersion: number;
  /** When this entry loaded the tables as the owner. */
  loadedAt: number;
}

const NEVER = Number.NEGATIVE_INFINITY;
const UNKNOWN_OWNER: FollowedOwner = { epoch: 0, at: NEVER, grantsEndAt: Number.POSITIVE_INFINITY };

export function createOwnership(): Ownership {
  return {
    role: 'follower',
    epoch: 0,
    leaseId: '',
    keyVersion: 0,
    epochKeyVersion: 0,
    confirmedAt: NEVER,
    keyConfirmedAt: NEVER,
    earlierGrantsEndAt: NEVER,
    lastOwner: undefined,
    lastOwnerVersion: 0,
    recordedGrantsMs: 0,
    canGrantInOutage: false,
    recordVersion: 0,
    recordUpdate: { callId: '', grantsMs: 0, grantsInOutage: false },
    claimedAt: NEVER,
    claimedGrantsMs: 0,
    followed: UNKNOWN_OWNER,
    followedBefore: UNKNOWN_OWNER,
    endedEpoch: 0,
    resumedAt: NEVER,
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

/**
 * Records that a store call confirmed the claim. The answer to a call that was sent before a
 * suspension is older than the monotonic clock tells, and confirms nothing.
 */
export function confirmOwnership(ownership: Ownership, sentAt: number): void {
  if (sentAt > ownership.resumedAt) ownership.confirmedAt = Math.max(ownership.confirmedAt, sentAt);
}

/** Records that a store call found the owner key unchanged. */
export function confirmOwnerKey(ownership: Ownership, sentAt: number): void {
  confirmOwnership(ownership, sentAt);
  if (sentAt > ownership.resumedAt)
    ownership.keyConfirmedAt = Math.max(ownership.keyConfirmedAt, sentAt);
}
