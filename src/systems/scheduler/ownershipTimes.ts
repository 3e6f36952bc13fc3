/**
 * How long an owner goes on renewing runs without a word from the store. Outages of up to 10 s are
 * common and running work survives them; a successor waits this long for workers out of its reach.
 */
export const GRANT_WINDOW_MS = 10_000;

/** Longest lease that an owner grants to runs, ms; long enough for a takeover, short enough to move work soon. */
export const RUN_LEASE_MS = 5_000;

/** Lease of the owner key over the shortest that the store grants, ms; a slow store needs the slack. */
export const OWNER_LEASE_SLACK_MS = 500;

/**
 * Pause between comparisons of the owner key, ms. A key may be taken away while its lease is still
 * renewed; commits compare it too, so only an owner with nothing to store makes extra calls.
 */
export const KEY_CHECK_MS = 1_000;

/** Workers' clocks may be this much slow. */
export const CLOCK_DRIFT = 1.02;

/** Rounding and the time from a worker's clock reading to its answer, ms. */
export const LEASE_MARGIN_MS = 250;

/** Age of a report beyond which a worker gets no new work and no grant, ms. */
export const REPORT_FRESH_MS = 2_500;

/**
 * Time in which the link to the owner has to open, ms. A handshake takes several turns of the owner,
 * and turns of 0.8 s were seen at a small entry with a backlog.
 */
export const OWNER_HANDSHAKE_MS = 3_000;
