/** Next times of the periodic systems, and the times that they keep between ticks; clock ms. */
export interface SystemTimers {
  pacingAt: number;
  stallCheckAt: number;
  speculativeCopyAt: number;
  /** Latest start of a best-effort task after a long delay. */
  lastDelayedStartAt: number;
  placementAt: number;
  probationAt: number;
  adviceCheckAt: number;
  recoveryCheckAt: number;
  preemptionAt: number;
  taskWaitLogAt: number;
  retentionAt: number;
  /** When the rest of longer leases is stored next. */
  longLeaseWriteAt: number;
  statusUpdateSentAt: number;
  /** When the record of the last owner may be written again. */
  lastOwnerWriteAt: number;
  /** When the entry next tells the owner that it follows it. */
  followAt: number;
  /** Epoch that it named in its latest message to the owner. */
  followEpoch: number;
  /** Time since which the link to the owner has been opening. */
  ownerLinkOpeningSince: number;
  shutdownStartedAt: number;
  /** Wall clock minus monotonic clock in the previous tick. */
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
    probationAt: NEVER,
    adviceCheckAt: NEVER,
    recoveryCheckAt: NEVER,
    preemptionAt: NEVER,
    taskWaitLogAt: NEVER,
    retentionAt: NEVER,
    longLeaseWriteAt: NEVER,
    statusUpdateSentAt: NEVER,
    lastOwnerWriteAt: NEVER,
    followAt: NEVER,
    followEpoch: 0,
    ownerLinkOpeningSince: NEVER,
    shutdownStartedAt: NEVER,
    lastWallOffsetMs: undefined,
  };
}
