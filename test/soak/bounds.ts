/** Bounds of the promises, in ms, as the platform states them for the deployments of the first milestone. */
export const SOAK_BOUNDS = {
  /** A process counts as in touch after so long without a disruption of it or of the store. */
  contactMs: 3_000,
  configMs: 2_000,
  /** Time after which an entry that showed a version may not answer by an older one. */
  regressionMs: 250,
  evacuationMs: 5_000,
  drainMs: 2_000,
  cancelMs: 3_000,
  /** Longest time a stopped run takes to end. */
  stopMs: 900,
  visibleMs: 3_000,
  /** From SIGTERM to SIGKILL. */
  graceMs: 6_000,
  /** An answer may be cut so shortly after its request was sent while the entry stops as planned. */
  lossSlackMs: 200,
  leaseMaxMs: 6_000,
  /** Longest lease on other deployments. */
  longLeaseMaxMs: 10_000,
  /** A lasting task may be without a run for so long after its last one. */
  lastingAfterRunMs: 6_000,
  /** Beyond that it may be without a run for so long, if the time before it was calm. */
  idleMs: 3_000,
  calmBeforeMs: 4_000,
  /** From the end of the faults until the system serves again. */
  recoverMs: 12_000,
  /** From then on until every accepted job has to have ended. */
  finishMs: 14_000,
} as const;

/** A machine at whose link packets wait for longer counts as slowed, so a later turn of the soak does too. */
export const MAX_LAG_MS = 500;
