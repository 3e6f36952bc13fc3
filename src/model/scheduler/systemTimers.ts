/** When systems that look now and then do so next, and what they remember between turns; clock ms. */
export interface SystemTimers {
  pacingAt: number;
  stallCheckAt: number;
  speculativeCopyAt: number;
  /** Latest start of a filling task that had been held for long. */
  lastDelayedStartAt: number;
  placementAt: number;
  preemptionAt: number;
  retentionAt: number;
  statusUpdateSentAt: number;
  /** Since when the link to the owner has been opening. */
  ownerLinkOpeningSince: number;
  shutdownStartedAt: number;
  /** Wall clock minus monotonic clock in the turn before. */
  lastWallOffsetMs: number | undefined;
}

const NEVER = Number.NEGATIVE_INFINITY;

export function createSystemTimers(): SystemTimers {
  return {
    pacingAt: NEVER,
    stallCheckAt: NEVER,
    speculativeCopyAt: NEVER,
    lastDelayedStartAt: NEVER,
    placementAt: NEVER,
    preemptionAt: NEVER,
    retentionAt: NEVER,
    statusUpdateSentAt: NEVER,
    ownerLinkOpeningSince: NEVER,
    shutdownStartedAt: NEVER,
    lastWallOffsetMs: undefined,
  };
}
