import type { RunRow, WorkerRow } from '../../model/scheduler/rows.ts';
import { formatRunId, NO_BACKOFF } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { logEvent } from './storeCalls.ts';
import { TOLERATED_FAILURES } from './taskPlacementPolicy.ts';

/** Backoff before a failing worker gets more work; doubles with each consecutive fault. */
const BACKOFF_INITIAL_MS = 250;
const BACKOFF_MAX_MS = 8_000;
const AVAILABLE_PERCENT = 100;
/**
 * Time after its start from which an available long-running task shows that its worker is healthy.
 * The percentage is up to 1.5 s old, and a worker that fails its runs may report them as available.
 */
const PROVEN_AFTER_MS = 2_000;

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
  const { backoff } = worker;
  const isProbation = backoff.probationRunId === formatRunId(cause.taskId, cause.run);
  // Repeated probation runs of a task that always fails must not keep the worker closed.
  const failures = backoff.failures + (isProbation ? 0 : 1);
  const pauseMs = Math.min(BACKOFF_MAX_MS, BACKOFF_INITIAL_MS * 2 ** failures);
  const until = isProbation ? backoff.until : now + pauseMs;
  state.workers.update(worker.id, { backoff: { ...backoff, failures, failedAt: now, until } });
  logEvent(state, 'warn', 'worker_troubled', {
    worker: worker.identity.id,
    reason,
    task: cause.taskId,
    run: cause.run,
    inARow: failures,
    pauseMs: Math.max(0, Math.round(until - now)),
  });
}

/**
 * Records a failed run; only several consecutive failures start a backoff of the worker. The end of
 * a run that was not started by this owner or that was already available is not a failed start.
 */
export function recordFailure(
  state: SchedulerState,
  cause: BackoffCause,
  run: RunRow | undefined,
  now: number,
): void {
  const worker = state.workers.get(cause.workerKey);
  if (worker === undefined || run?.workerKey !== worker.id) return;
  if (run.startAttempts === 0 || isProven(run, now)) return;
  const { backoff } = worker;
  if (backoff.failures >= TOLERATED_FAILURES) extendBackoff(state, cause, 'failed', now);
  else
    state.workers.update(worker.id, {
      backoff: { ...backoff, failures: backoff.failures + 1, failedAt: now },
    });
}

/** Clears the backoff of a worker after a successful run. */
export function clearBackoff(state: SchedulerState, cause: BackoffCause): void {
  const worker = state.workers.get(cause.workerKey);
  if (worker === undefined || worker.backoff.failures === 0) return;
  if (worker.backoff.until !== Number.NEGATIVE_INFINITY)
    logEvent(state, 'info', 'worker_recovered', {
      worker: worker.identity.id,
      task: cause.taskId,
      run: cause.run,
      inARow: worker.backoff.failures,
    });
  state.workers.update(worker.id, { backoff: NO_BACKOFF });
}

/** Whether a long-running run that started after the worker's latest failure is available. */
export function hasRecovered(worker: WorkerRow, run: RunRow, now: number): boolean {
  return run.startAttempts > 0 && run.placedAt >= worker.backoff.failedAt && isProven(run, now);
}

function isProven({ phase, step, percent, placedAt }: RunRow, now: number): boolean {
  return (
    phase === 'running' &&
    step.longRunning &&
    percent >= AVAILABLE_PERCENT &&
    now - placedAt >= PROVEN_AFTER_MS
  );
}
