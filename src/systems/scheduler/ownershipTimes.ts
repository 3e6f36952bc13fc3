/**
 * How long an owner keeps granting run leases without a confirmation from the store, ms. Store
 * outages of up to 10 s are common and running work survives them; a successor that the owner may not
 * know waits this long for workers that it cannot reach.
 */
export const GRANT_WINDOW_MS = 10_000;

/**
 * How long after a confirmation an owner grants leases, ms: one of the owner key by the store, which
 * comes at least every second, or one by all followers that they cannot take over. A successor among
 * the followers waits only this long for workers that it cannot reach.
 */
export const GRANT_CONFIRMATION_MS = 1_600;

/**
 * Longest lease that an owner grants to runs, ms; long enough to outlast a takeover, short enough
 * to move lost work soon.
 */
export const RUN_LEASE_MS = 5_000;

/** Excess of the owner key's lease over the store's minimum, ms; it covers a slow store. */
export const OWNER_LEASE_MARGIN_MS = 500;

/**
 * Interval between comparisons of the owner key with the store, ms. The key can be deleted while
 * its lease is still renewed. Commits compare it too, so only an owner with nothing to store makes
 * extra calls.
 */
export const OWNER_KEY_CHECK_INTERVAL_MS = 1_000;

/** Factor by which a worker's clock may run slow. */
const MAX_CLOCK_DRIFT_FACTOR = 1.02;

/** Allowance for rounding and for the time from a worker's clock reading to its answer, ms. */
export const LEASE_MARGIN_MS = 250;

/**
 * Computes the longest time that a lease may last once the worker's clock has been read, ms. Leases
 * are counted from such a reading.
 */
export function computeLeaseDuration(leaseMs: number): number {
  return leaseMs * MAX_CLOCK_DRIFT_FACTOR + LEASE_MARGIN_MS;
}

/** Calls to a worker may be executed so late, ms; the platform names 12 s, and polls take 1.6 s. */
export const MAX_CALL_DELAY_MS = 14_000;

/** Age of a report beyond which its worker gets no new work and no lease, ms. */
export const MAX_REPORT_AGE_MS = 2_500;

/**
 * Timeout for opening the link to the owner, ms. A handshake takes several ticks of the owner, and
 * a tick of a small entry with a backlog can take 0.8 s.
 */
export const OWNER_HANDSHAKE_TIMEOUT_MS = 3_000;

/**
 * Ratio of processor time from which an entry is preferred as the owner over a smaller one. A
 * change of the owner stops new starts for some tenths of a second.
 */
export const LARGER_ENTRY_FACTOR = 2;

/**
 * How long smaller entries wait for larger ones to claim ownership, ms. Entries check the owner key
 * every 200 ms. A new owner with 0.32 cores needs 1.6 s until its first start, one with 1.35 cores
 * 0.4 s.
 */
export const SMALLER_ENTRY_DELAY_MS = 300;
