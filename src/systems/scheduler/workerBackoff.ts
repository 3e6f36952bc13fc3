import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { logEvent } from './storeCalls.ts';
import { TOLERATED_FAILURES } from './taskPlacementPolicy.ts';

/** Backoff before a failing worker gets more work; doubles with each consecutive fault. */
const BACKOFF_INITIAL_MS = 250;
const BACKOFF_MAX_MS = 8_000;

/** Extends the backoff of a worker that rejected a start or on which a run stalled. */
export function extendBackoff(
  state: SchedulerState,
  workerKey: string,
  reason: string,
  now: number,
): void {
  const worker = state.workers.get(workerKey);
  if (worker === undefined) return;
  const recentFailures = worker.recentFailures + 1;
  const pauseMs = Math.min(BACKOFF_MAX_MS, BACKOFF_INITIAL_MS * 2 ** recentFailures);
  state.workers.update(workerKey, { recentFailures, avoidedUntil: now + pauseMs });
  logEvent(state, 'warn', 'worker_troubled', {
    worker: worker.identity.id,
    reason,
    inARow: recentFailures,
    pauseMs,
  });
}

/** Records a failed run; only several consecutive failures start a backoff of the worker. */
export function recordFailure(state: SchedulerState, workerKey: string, now: number): void {
  const worker = state.workers.get(workerKey);
  if (worker === undefined) return;
  if (worker.recentFailures >= TOLERATED_FAILURES) extendBackoff(state, workerKey, 'failed', now);
  else state.workers.update(workerKey, { recentFailures: worker.recentFailures + 1 });
}

/** Clears the backoff of a worker after a successful run. */
export function clearBackoff(state: SchedulerState, workerKey: string): void {
  const worker = state.workers.get(workerKey);
  if (worker !== undefined && worker.recentFailures > 0)
    state.workers.update(workerKey, {
      recentFailures: 0,
      avoidedUntil: Number.NEGATIVE_INFINITY,
    });
}
