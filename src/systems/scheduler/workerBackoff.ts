import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { logEvent } from './storeCalls.ts';
import { TOLERATED_FAILURES } from './taskPlacementPolicy.ts';

/** Backoff before a failing worker gets more work; doubles with each consecutive fault. */
const BACKOFF_INITIAL_MS = 250;
const BACKOFF_MAX_MS = 8_000;

/** A run whose end, rejection or stall changes the backoff of its worker. */
export interface BackoffCause {
  readonly workerKey: string;
  readonly taskId: string;
  readonly run: number;
}

/** Extends the backoff of a worker that rejected a start or on which a run stalled. */
export function extendBackoff(
  state: SchedulerState,
  cause: BackoffCause,
  reason: string,
  now: number,
): void {
  const worker = state.workers.get(cause.workerKey);
  if (worker === undefined) return;
  const recentFailures = worker.recentFailures + 1;
  const pauseMs = Math.min(BACKOFF_MAX_MS, BACKOFF_INITIAL_MS * 2 ** recentFailures);
  state.workers.update(worker.id, { recentFailures, avoidedUntil: now + pauseMs });
  logEvent(state, 'warn', 'worker_troubled', {
    worker: worker.identity.id,
    reason,
    task: cause.taskId,
    run: cause.run,
    inARow: recentFailures,
    pauseMs,
  });
}

/** Records a failed run; only several consecutive failures start a backoff of the worker. */
export function recordFailure(state: SchedulerState, cause: BackoffCause, now: number): void {
  const worker = state.workers.get(cause.workerKey);
  if (worker === undefined) return;
  if (worker.recentFailures >= TOLERATED_FAILURES) extendBackoff(state, cause, 'failed', now);
  else state.workers.update(worker.id, { recentFailures: worker.recentFailures + 1 });
}

/** Clears the backoff of a worker after a successful run. */
export function clearBackoff(state: SchedulerState, cause: BackoffCause): void {
  const worker = state.workers.get(cause.workerKey);
  if (worker === undefined || worker.recentFailures === 0) return;
  if (worker.avoidedUntil !== Number.NEGATIVE_INFINITY)
    logEvent(state, 'info', 'worker_recovered', {
      worker: worker.identity.id,
      task: cause.taskId,
      run: cause.run,
      inARow: worker.recentFailures,
    });
  state.workers.update(worker.id, { recentFailures: 0, avoidedUntil: Number.NEGATIVE_INFINITY });
}
