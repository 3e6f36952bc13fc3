import type { FollowedOwner, Ownership } from '../../model/scheduler/ownership.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import {
  computeLeaseDuration,
  GRANT_CONFIRMATION_MS,
  GRANT_WINDOW_MS,
  RUN_LEASE_MS,
} from './ownershipTimes.ts';

/** Suspensions of an owner that it does not notice are shorter, ms. */
const UNNOTICED_SUSPENSION_MS = 500;
/** Age of the answered message up to which an entry relies on being counted among the followers, ms. */
const FOLLOWED_VALID_MS = 15_000;
/** A claim may be executed so long after it was sent, ms; the platform names 6 s. */
const MAX_CLAIM_DELAY_MS = 8_000;

/**
 * Time without a message after which an owner no longer counts an entry among its followers, ms. A
 * claim that relied on the last message comes so early that the owner's grant window has ended.
 */
export const FOLLOWER_TIMEOUT_MS = FOLLOWED_VALID_MS + MAX_CLAIM_DELAY_MS + GRANT_WINDOW_MS;

/** How long an owner may grant leases once one of its followers has claimed or follows another, ms. */
const LAST_GRANT_DELAY_MS = GRANT_CONFIRMATION_MS + UNNOTICED_SUSPENSION_MS;

/**
 * Whether no other entry can have released the runs of this owner's workers: either the store has
 * confirmed the owner key lately, or each follower, which may claim the ownership, has answered
 * lately that it does not get an answer of the store. The latter counts only once the owner's record
 * tells other entries about it.
 */
export function canGrantLeases(state: SchedulerState, now: number): boolean {
  const { keyConfirmedAt, canGrantInOutage } = state.ownership;
  const keyConfirmedMs = now - keyConfirmedAt;
  if (keyConfirmedMs < GRANT_CONFIRMATION_MS) return true;
  if (keyConfirmedMs >= GRANT_WINDOW_MS || !canGrantInOutage) return false;
  return now - findFollowersConfirmation(state) < GRANT_CONFIRMATION_MS;
}

/** Finds since when some follower may have claimed the ownership; infinite without followers. */
function findFollowersConfirmation({ followers }: SchedulerState): number {
  let confirmedAt = Number.POSITIVE_INFINITY;
  for (const { declinedAt } of followers.values()) confirmedAt = Math.min(confirmedAt, declinedAt);
  return confirmedAt;
}

/** Finds what an entry knows of the owner of an epoch that counts it among its followers. */
export function findFollowedOwner(
  { followed, followedBefore }: Ownership,
  epoch: number,
  now: number,
): FollowedOwner | undefined {
  return [followed, followedBefore].find(
    (owner) => owner.epoch === epoch && now - owner.at < FOLLOWED_VALID_MS,
  );
}

/** Records an answer of the owner that counts this entry among its followers. */
export function recordFollowedOwner(ownership: Ownership, owner: FollowedOwner): void {
  const { followed } = ownership;
  if (owner.epoch < followed.epoch) return;
  ownership.epoch = Math.max(ownership.epoch, owner.epoch);
  if (owner.epoch > followed.epoch) {
    ownership.followedBefore = followed;
    ownership.followed = owner;
    return;
  }
  ownership.followed = {
    epoch: owner.epoch,
    at: Math.max(owner.at, followed.at),
    grantsEndAt: Math.min(owner.grantsEndAt, followed.grantsEndAt),
  };
}

/** Computes how long after a claim the owners before it may grant leases, ms. */
export function computeEarlierGrantsMs(ownership: Ownership, now: number): number {
  const { epoch, endedEpoch, lastOwner, epochKeyVersion } = ownership;
  // Without an epoch there has been no owner.
  if (epochKeyVersion === 0 && epoch === 0) return 0;
  const lastGrantMs = endedEpoch === epoch ? 0 : LAST_GRANT_DELAY_MS;
  const ends: number[] = [];
  const followed = findFollowedOwner(ownership, epoch, now);
  if (followed !== undefined) ends.push(followed.grantsEndAt);
  // The claim compares the record, so it still holds when the claim takes effect. Without grants in
  // an outage, the owner needs a confirmation of its key, which the claim ends.
  if (lastOwner?.epoch === epoch && (endedEpoch === epoch || !lastOwner.grantsInOutage)) {
    ends.push(lastOwner.grantsEndAt);
    // The last owner may not have known what this entry knows of the one before.
    const followedBefore = findFollowedOwner(ownership, epoch - 1, now);
    if (followedBefore !== undefined)
      ends.push(Math.max(followedBefore.grantsEndAt, now + LAST_GRANT_DELAY_MS));
  }
  if (ends.length === 0) return GRANT_WINDOW_MS;
  return Math.max(lastGrantMs, Math.ceil(Math.min(...ends) - now));
}

/**
 * Shortens the wait for earlier owners by what a follower knows that the previous owner counted among
 * its followers. It no longer answers that owner, which therefore grants nothing soon.
 */
export function applyFollowerKnowledge(
  ownership: Ownership,
  previous: { readonly epoch: number; readonly earlierGrantsMs: number },
  now: number,
): void {
  if (previous.epoch !== ownership.epoch - 1) return;
  const lastGrantMs = ownership.endedEpoch === previous.epoch ? 0 : LAST_GRANT_DELAY_MS;
  const endAt = now + Math.max(lastGrantMs, previous.earlierGrantsMs);
  ownership.earlierGrantsEndAt = Math.min(ownership.earlierGrantsEndAt, endAt);
}

/**
 * Shortens the wait for earlier owners if another process has the place of the last one: two processes
 * cannot listen at one address. Until now, the other process may have answered an owner before that.
 */
export function applyReplacedOwner(
  ownership: Ownership,
  process: { readonly entryId: string; readonly bootId: string; readonly address: string },
  now: number,
): void {
  const { lastOwner, epoch } = ownership;
  if (lastOwner?.epoch !== epoch - 1 || lastOwner.bootId === process.bootId) return;
  if (lastOwner.entryId !== process.entryId || lastOwner.address !== process.address) return;
  ownership.endedEpoch = Math.max(ownership.endedEpoch, lastOwner.epoch);
  const endAt = Math.max(now + LAST_GRANT_DELAY_MS, lastOwner.grantsEndAt);
  ownership.earlierGrantsEndAt = Math.min(ownership.earlierGrantsEndAt, endAt);
}

/** Computes until when leases of the owners before this one may last where no agent tells. */
export function computeEarlierLeaseEnd({ ownership }: SchedulerState): number {
  return ownership.earlierGrantsEndAt + computeLeaseDuration(RUN_LEASE_MS);
}
