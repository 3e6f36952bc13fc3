import type { RunRow, TaskRow } from '../../model/scheduler/rows.ts';
import { createRunRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { recordJobChange } from './jobChanges.ts';
import { computeLeaseDuration, RUN_LEASE_MS } from './ownershipTimes.ts';
import { logEvent, recordDuration } from './storeCalls.ts';
import type { WorkerCapacity } from './taskPlacementPolicy.ts';
import { getSpareCpu } from './taskPlacementPolicy.ts';

/**
 * Maximum age of the proof that zones and configuration are current; with an older one nothing is
 * placed.
 */
export const MAX_PROOF_AGE_MS = 3_000;
/**
 * Maximum age of the store's last confirmation; with an older one new placements could not be
 * stored soon.
 */
export const MAX_CONFIRMATION_AGE_MS = 1_500;

/** Time for which a job of best-effort tasks may have no run while there is capacity, ms. */
export const MAX_DELAY_MS = 1_500;

/** Whether the owner's knowledge is recent enough to place tasks. */
export function canPlace({ operator, ownership }: SchedulerState, now: number): boolean {
  return (
    now - operator.verifiedAt <= MAX_PROOF_AGE_MS &&
    now - ownership.confirmedAt <= MAX_CONFIRMATION_AGE_MS
  );
}

/**
 * Whether a best-effort task has waited so long, without any run of its job, that it is placed
 * regardless of its cost to serving tasks.
 */
export function isDelayedForLong(state: SchedulerState, task: TaskRow, now: number): boolean {
  if (!task.step.fills || now - task.readyAt <= MAX_DELAY_MS) return false;
  return state.runsByJob.count(task.jobId) === 0;
}

/** Places a task on a worker and returns the run, which starts once it is stored. */
export function placeTask(
  state: SchedulerState,
  task: TaskRow,
  capacity: WorkerCapacity,
  run: number,
  now: number,
  isOnProbation = false,
): RunRow {
  state.tasks.update(task.id, { phase: 'active', lastRun: run });
  const placedChange = recordJobChange(state, task.jobId);
  const row = createRunRow(
    task,
    run,
    capacity.worker.id,
    'placed',
    placedChange,
    now,
    findLongLeaseEnd(state, capacity.worker.id, now),
  );
  state.runs.set(row);
  state.counters.add('placements');
  recordDuration(state, 'task_wait_duration_ms', now - task.readyAt, {
    queue: state.jobs.get(task.jobId)?.job.queue ?? '',
  });
  logEvent(state, 'info', 'task_placed', {
    task: task.id,
    run,
    worker: capacity.worker.identity.id,
    waitedMs: Math.round(now - task.readyAt),
    reportAgeMs: Math.round(now - capacity.worker.lastReportAt),
    ...(isOnProbation ? { probation: true } : {}),
    ...(task.step.fills
      ? {
          fillingCpu: capacity.bestEffortCpuMillis,
          leftCpu: Math.round(getSpareCpu(capacity)),
        }
      : {}),
  });
  return row;
}

/**
 * Finds the end of a lease that a call to the worker's previous incarnation may have granted to it.
 * Only the present process of the agent knows of such a lease, so the next owner reads it from the
 * store.
 */
function findLongLeaseEnd(
  state: SchedulerState,
  workerKey: string,
  now: number,
): number | undefined {
  const leaseEndsAt = state.workers.get(workerKey)?.leaseEndsAt ?? Number.NEGATIVE_INFINITY;
  return leaseEndsAt > now + computeLeaseDuration(RUN_LEASE_MS) ? leaseEndsAt : undefined;
}
