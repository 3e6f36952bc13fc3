import type { RunnerAgentState } from '../../model/scheduler/runnerAgentState.ts';
import {
  computeLeaseDuration,
  MAX_CALL_DELAY_MS,
  RUN_LEASE_MS,
} from '../scheduler/ownershipTimes.ts';

/**
 * Records the lease that an earlier process of this agent may have passed on. The worker's clock was
 * read for it before this process started.
 */
export function recordEarlierProcess({ lease }: RunnerAgentState, now: number): void {
  lease.endsAt ??= now + computeLeaseDuration(RUN_LEASE_MS);
}

/**
 * Records the leases of calls to an earlier incarnation that the worker's present one may have
 * executed before it received its own fence. On its clock, which begins at 0, they last as long
 * as the worker accepts.
 */
export function recordIncarnation(
  { lease, owner }: RunnerAgentState,
  clockMs: number,
  now: number,
): void {
  if (clockMs > owner.longestLeaseMs + MAX_CALL_DELAY_MS) return;
  const endsAt = now + computeLeaseDuration(owner.longestLeaseMs);
  lease.endsAt = Math.max(lease.endsAt ?? now, endsAt);
}

/** Records a lease that a command of the owner grants, whether or not the worker receives it. */
export function recordLease(
  state: RunnerAgentState,
  bornMs: number,
  untilMs: number,
  now: number,
): void {
  const { lease, poll } = state;
  // Without a reading of this worker's clock, the owner has one of an earlier process.
  const hasReading = poll.answeredWorkerStartedMs === bornMs;
  const endsAt = hasReading
    ? poll.clockReadAt + computeLeaseDuration(Math.max(0, untilMs - poll.clockMs))
    : now + computeLeaseDuration(RUN_LEASE_MS);
  lease.endsAt = Math.max(lease.endsAt ?? now, endsAt);
}

/** Computes how long a lease may still last on this instance, ms; 0 once all have certainly ended. */
export function computeLeaseLeft({ lease }: RunnerAgentState, now: number): number {
  return Math.max(0, Math.ceil((lease.endsAt ?? Number.POSITIVE_INFINITY) - now));
}
