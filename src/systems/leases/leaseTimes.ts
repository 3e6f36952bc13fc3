/** Time for which a worker may run a task, counted from the clock sample of its last renewal. */
export const TASK_LEASE_MS = 15_000;
/** Margin for clock drift (1 % of the lease) and scheduling delay. */
export const LEASE_MARGIN_MS = 1_000 + TASK_LEASE_MS * 0.01;
/** Time for which an owner that cannot reach the store continues to renew leases. */
export const OWNER_GRACE_MS = 300_000;
/** Maximum age of the proof that a zone is in service when the owner sends a start. */
export const MAX_PROOF_AGE_AT_SEND_MS = 2_000;
/** Maximum age of that proof when the worker starts the task. */
export const MAX_PROOF_AGE_AT_START_MS = 3_000;
