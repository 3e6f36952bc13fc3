/** How long a worker may run a task after the clock sample of its last renewal. */
export const TASK_LEASE_MS = 15_000;
/** Allowance for clock drift (1 % of the lease) and scheduling delay. */
export const LEASE_MARGIN_MS = 1_000 + TASK_LEASE_MS * 0.01;
/** How long an owner that cannot reach the store goes on renewing. */
export const OWNER_GRACE_MS = 300_000;
/** Greatest age of the proof that a zone is in service with which the owner sends a start. */
export const MAX_PROOF_AGE_AT_SEND_MS = 2_000;
/** Greatest age of that proof at the start itself. */
export const MAX_PROOF_AGE_AT_START_MS = 3_000;
