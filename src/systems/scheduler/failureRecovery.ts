import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { OWNER_LEASE_MARGIN_MS } from './ownershipTimes.ts';
import { resetToFollower } from './resetToFollower.ts';

/**
 * Gives up the ownership after a system has failed: the owner's tables may be inconsistent, and the
 * next owner builds them from the store. Until the lease of the owner key ends, and as long again,
 * other entries may claim first. The other tables hold no decisions and stay.
 */
export function recoverFromFailure(state: SchedulerState, system: string, now: number): void {
  const { ownership, bounds } = state;
  if (ownership.role === 'follower') return;
  resetToFollower(state, `system ${system} failed`, now);
  ownership.claimAt = now + 2 * (bounds.storeLeaseMinMs + OWNER_LEASE_MARGIN_MS);
}
