/** When systems that look now and then do so next, and what they remember between turns; clock ms. */
export interface Timetable {
  pacingAt: number;
  stallAt: number;
  copyAt: number;
  /** Latest start of a filling task that had been held for long. */
  heldStartAt: number;
  placementAt: number;
  preemptionAt: number;
  retentionAt: number;
  newsSentAt: number;
  /** Since when the link to the owner has been opening. */
  ownerOpeningAt: number;
  stopStartedAt: number;
  /** Wall clock minus monotonic clock in the turn before. */
  lastOffsetMs: number | undefined;
}

const NEVER = Number.NEGATIVE_INFINITY;

export function createTimetable(): Timetable {
  return {
    pacingAt: NEVER,
    stallAt: NEVER,
    copyAt: NEVER,
    heldStartAt: NEVER,
    placementAt: NEVER,
    preemptionAt: NEVER,
    retentionAt: NEVER,
    newsSentAt: NEVER,
    ownerOpeningAt: NEVER,
    stopStartedAt: NEVER,
    lastOffsetMs: undefined,
  };
}
