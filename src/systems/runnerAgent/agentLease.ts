import type { RunnerAgentState } from '../../model/scheduler/runnerAgentState.ts';
import { computeLeaseDuration, RUN_LEASE_MS } from '../scheduler/ownershipTimes.ts';

/**
 * Records that an earlier process of this agent may have passed on a lease. The worker's clock was
 * read for it before this process started.
 */
export function recordProcessStart({ lease }: RunnerAgentState, now: number): void {
  lease.endsAt ??= now + computeLeaseDuration(RUN_LEASE_MS);
}

/** Records a lease that a command of the owner grants, whether or not the worker receives it. */
export function recordLease(
  state: RunnerAgentState,
  bornMs: number,
  untilMs: number,
  now: number,
): void {
  const { lease, poll } = state;
  // Without a reading of this worker's clock, the owner's reading is from the time up to now.
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
