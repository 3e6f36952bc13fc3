/**
 * How long an owner goes on renewing runs without a word from the store. Outages of up to 10 s are
 * common and running work survives them; a successor waits this long for workers out of its reach.
 */
export const GRANT_WINDOW_MS = 10_000;

/** Longest lease that an owner grants to runs, ms; long enough for a takeover, short enough to move work soon. */
export const RUN_LEASE_MS = 5_000;

/** Lease of the owner key over the shortest that the store grants, ms; a slow store needs the slack. */
export const OWNER_LEASE_MARGIN_MS = 500;

/**
 * Pause between comparisons of the owner key, ms. A key may be taken away while its lease is still
 * renewed; commits compare it too, so only an owner with nothing to store makes extra calls.
 */
export const OWNER_KEY_CHECK_INTERVAL_MS = 1_000;

/** Workers' clocks may be this much slow. */
export const MAX_CLOCK_DRIFT_FACTOR = 1.02;

/** Rounding and the time from a worker's clock reading to its answer, ms. */
export const LEASE_MARGIN_MS = 250;

/** Age of a report beyond which a worker gets no new work and no grant, ms. */
export const MAX_REPORT_AGE_MS = 2_500;

/**
 * Time in which the link to the owner has to open, ms. A handshake takes several turns of the owner,
 * and turns of 0.8 s were seen at a small entry with a backlog.
 */
export const OWNER_HANDSHAKE_TIMEOUT_MS = 3_000;

/**
 * How much larger a processor has to be to matter for the choice of the owner. A change of the owner
 * stops new starts for some tenths of a second.
 */
export const LARGER_ENTRY_FACTOR = 2;

/**
 * Time that smaller entries leave to larger ones when the duty passes on, ms. Entries look at the
 * owner key every 200 ms; an owner with 0.32 cores needed 1.6 s to the first start on
 * hanbit-sched-grown, one with 1.35 cores 0.4 s.
 */
export const SMALLER_ENTRY_DELAY_MS = 300;
