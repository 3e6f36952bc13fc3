import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import { createFailure } from '../../base/common/errors.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { WorkerHealthRow } from '../../model/placement.ts';
import type { RunRow } from '../../model/run.ts';
import type { TaskRow } from '../../model/task.ts';
import { recordDecision } from '../decisions.ts';
import { buildStoppedTask } from '../leases/runOutcomes.ts';
import { queueTaskChange } from '../ledger/ledgerChanges.ts';
import { getPlacementInputs } from './commitmentSystem.ts';
import { createPlacementPass, getTaskShard } from './placementPass.ts';

const FAILED_STARTS_LIMIT = 3;
const INITIAL_BACKOFF_MS = 10_000;
const MAX_BACKOFF_MS = 600_000;
/** A run that fails within this time counts as a failed start. */
const START_FAILURE_WINDOW_MS = 10_000;
/** A run that lasts this long counts as a successful start. */
const START_SUCCESS_MS = 3_000;
/** A task fails when its runs have failed on this many healthy workers. */
const FAILED_WORKERS_LIMIT = 3;

/**
 * Distinguishes workers that fail every task from jobs that fail on every worker.
 * Reads `runs`, `tasks`. Writes `health`, the health fields of `workers`, `pendingChanges`.
 * Runs each tick over the runs that changed.
 */
export class WorkerHealthSystem extends System<EntryState> {
  override readonly name = 'workerHealth';

  private constructor() {
    super();
  }

  static create(): WorkerHealthSystem {
    return new WorkerHealthSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    const { runsToEvaluate } = getPlacementInputs(state);
    for (const id of runsToEvaluate) {
      const run = state.runs.get(id);
      if (run?.phase === 'failed') handleFailure(state, tick, run);
      else if (run !== undefined && state.placement.health.has(run.workerId))
        handleProgress(state, tick, run);
    }
    runsToEvaluate.clear();
  }
}

function handleFailure(state: EntryState, tick: Tick, run: RunRow): void {
  const task = state.tasks.get(run.taskId);
  if (task?.phase !== 'assigned' || task.incarnation !== run.incarnation) return;
  const isStartFailure = tick.now - run.sinceMs <= START_FAILURE_WINDOW_MS;
  const failedBefore = task.failedWorkers.filter((id) => id !== run.workerId);
  if (isStartFailure && failedBefore.length === 0) addFailedStart(state, tick, run);
  // After failures on two workers the task is the likely cause, so the first worker is cleared.
  else for (const id of failedBefore) removeFailedStart(state, id, task.id);
  if (failedBefore.length > 0) resetProbation(state, run.workerId, task.id);
  queueAfterFailure(state, tick, task, run);
}

function handleProgress(state: EntryState, tick: Tick, run: RunRow): void {
  const health = state.placement.health.get(run.workerId);
  if (health === undefined || run.sinceMs <= health.lastFailureMs) return;
  const hasStarted =
    run.phase === 'finished' ||
    (run.phase === 'running' && tick.now - run.sinceMs >= START_SUCCESS_MS);
  if (!hasStarted) return;
  state.placement.health.remove(run.workerId);
  state.workers.update(run.workerId, { failedStarts: 0, setAsideUntilMs: 0 });
}

function addFailedStart(state: EntryState, tick: Tick, run: RunRow): void {
  const previous: WorkerHealthRow = state.placement.health.get(run.workerId) ?? {
    id: run.workerId,
    failedTasks: [],
    lastFailureMs: 0,
    backoffMs: 0,
    quarantinedUntilMs: 0,
    isOnProbation: false,
    probationTaskId: undefined,
  };
  if (previous.failedTasks.includes(run.taskId)) return;
  const failedTasks = [...previous.failedTasks, run.taskId];
  const hasFailedProbation = previous.isOnProbation && previous.quarantinedUntilMs <= tick.now;
  let next: WorkerHealthRow = { ...previous, failedTasks, lastFailureMs: tick.now };
  if (
    hasFailedProbation ||
    (!previous.isOnProbation && failedTasks.length >= FAILED_STARTS_LIMIT)
  ) {
    const doubled = Math.min(MAX_BACKOFF_MS, previous.backoffMs * 2);
    const backoffMs = Math.max(INITIAL_BACKOFF_MS, doubled);
    const quarantinedUntilMs = tick.now + backoffMs;
    next = {
      ...next,
      backoffMs,
      quarantinedUntilMs,
      isOnProbation: true,
      probationTaskId: undefined,
    };
    state.counters.add('worker_quarantines');
    const reason = `${failedTasks.length} consecutive starts failed; quarantined for ${backoffMs} ms`;
    recordDecision(state, tick.now, run.workerId, 'quarantine', reason);
    tick.wakeAt(quarantinedUntilMs);
  }
  state.placement.health.set(next);
  state.workers.update(run.workerId, {
    failedStarts: failedTasks.length,
    setAsideUntilMs: next.quarantinedUntilMs,
  });
}

function removeFailedStart(state: EntryState, workerId: string, taskId: string): void {
  const health = state.placement.health.get(workerId);
  if (health === undefined || health.isOnProbation) return;
  const failedTasks = health.failedTasks.filter((id) => id !== taskId);
  state.placement.health.update(workerId, { failedTasks });
  state.workers.update(workerId, { failedStarts: failedTasks.length });
}

/** Allows another probation task when the failed one had failed on other workers before. */
function resetProbation(state: EntryState, workerId: string, taskId: string): void {
  const health = state.placement.health.get(workerId);
  if (health?.probationTaskId === taskId)
    state.placement.health.update(workerId, { probationTaskId: undefined });
}

/** Requeues the task for another worker, or fails it after failures on enough healthy workers. */
function queueAfterFailure(state: EntryState, tick: Tick, task: TaskRow, run: RunRow): void {
  const pass = createPlacementPass(state, tick);
  if (!pass.pools.has(task.pool)) return;
  const failedWorkers = [...task.failedWorkers, run.workerId];
  const healthyWorkers = failedWorkers.filter(
    (id) => state.placement.health.get(id)?.isOnProbation !== true,
  );
  const message = run.message ?? 'the run failed';
  const stopped = buildStoppedTask({ ...task, failedWorkers }, run.checkpoint);
  const isFailed = stopped.phase === 'queued' && healthyWorkers.length >= FAILED_WORKERS_LIMIT;
  const reason = isFailed
    ? `failed on ${healthyWorkers.length} healthy workers: ${healthyWorkers.join(', ')}; ${message}`
    : message;
  const next: TaskRow = isFailed
    ? { ...stopped, phase: 'failed', failure: createFailure('endpoint_failed', reason) }
    : stopped;
  const isUrgent = task.workClass !== 'ordinary';
  if (!queueTaskChange(state, getTaskShard(pass, task), next, tick.now, isUrgent)) return;
  state.counters.add('runs_failed');
  if (isFailed) state.counters.add('jobs_failed', { reason: 'failed_starts' });
  recordDecision(state, tick.now, task.id, isFailed ? 'fail' : 'requeue', reason);
}
