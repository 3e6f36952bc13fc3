import type { Tick } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { TaskRow } from '../../model/task.ts';
import { removeTaskFields } from '../../model/task.ts';
import { formatRunId } from '../../model/run.ts';
import type { RunReport, WorkerRow } from '../../model/worker.ts';
import { recordDecision } from '../decisions.ts';
import { hasPendingChange, queueTaskChange } from '../ledger/ledgerChanges.ts';

/** Minimum time between two ledger writes of a running task's checkpoint. */
const CHECKPOINT_WRITE_PERIOD_MS = 60_000;

/**
 * Builds the row of a task whose incarnation has provably stopped: the task is queued for its next
 * incarnation, or closed when it was cancelled or retired. A queued row keeps its incarnation, so that
 * a second proof of the same stop changes nothing.
 */
export function buildStoppedTask(task: TaskRow, checkpoint: string | undefined): TaskRow {
  const { stopReason } = task;
  const latestCheckpoint = checkpoint ?? task.checkpoint;
  const isClosed = stopReason === 'cancelled' || stopReason === 'retired';
  return {
    ...removeTaskFields(task, ['workerId', 'zone', 'stopReason']),
    ...(latestCheckpoint === undefined ? {} : { checkpoint: latestCheckpoint }),
    phase: isClosed ? 'cancelled' : 'queued',
  };
}

/** Queues the change of a task whose incarnation stopped. Returns false while another change is pending. */
export function queueStoppedTask(
  state: EntryState,
  shard: string,
  task: TaskRow,
  checkpoint: string | undefined,
  nowMs: number,
  reason: string,
): boolean {
  const next = buildStoppedTask(task, checkpoint);
  const isUrgent = task.workClass !== 'ordinary';
  if (!queueTaskChange(state, shard, next, nowMs, isUrgent)) return false;
  state.counters.add('runs_stopped', { reason });
  recordDecision(state, nowMs, task.id, next.phase === 'queued' ? 'requeue' : 'close', reason);
  return true;
}

/** Queues the ledger change that follows from the report of an assigned incarnation, unless one is pending. */
export function queueRunOutcome(
  state: EntryState,
  shard: string,
  task: TaskRow,
  report: RunReport,
  worker: WorkerRow,
  nowMs: number,
): void {
  if (hasPendingChange(state, task.id)) return;
  switch (report.phase) {
    case 'finished':
      queueFinishedTask(state, shard, task, report, worker, nowMs);
      return;
    case 'failed':
      // The worker health system handles failed runs by their rows.
      return;
    case 'stopped':
      queueStoppedTask(
        state,
        shard,
        task,
        report.checkpoint,
        nowMs,
        task.stopReason ?? 'worker-stopped',
      );
      return;
    default:
      queueCheckpoint(state, shard, task, report, nowMs);
  }
}

function queueFinishedTask(
  state: EntryState,
  shard: string,
  task: TaskRow,
  report: RunReport,
  worker: WorkerRow,
  nowMs: number,
): void {
  const fields = removeTaskFields(task, ['stopReason']);
  const checkpoint = report.checkpoint === undefined ? {} : { checkpoint: report.checkpoint };
  queueTaskChange(state, shard, { ...fields, ...checkpoint, phase: 'finished' }, nowMs, false);
  state.counters.add('runs_finished');
  recordDecision(state, nowMs, task.id, 'finish', `worker ${worker.id}`);
}

/** Queues the write of a new checkpoint to the ledger, so that a new owner can resume from it. */
function queueCheckpoint(
  state: EntryState,
  shard: string,
  task: TaskRow,
  report: RunReport,
  nowMs: number,
): void {
  if (report.checkpoint === undefined || report.checkpoint === task.checkpoint) return;
  const run = state.runs.get(formatRunId(task.id, task.incarnation));
  if (run === undefined) return;
  if (nowMs - (run.checkpointQueuedMs ?? run.sinceMs) < CHECKPOINT_WRITE_PERIOD_MS) return;
  state.runs.update(run.id, { checkpointQueuedMs: nowMs });
  queueTaskChange(state, shard, { ...task, checkpoint: report.checkpoint }, nowMs, false);
}

/** Requests the stop, with a checkpoint, of all tasks of a worker whose instance shuts down for good. */
export function stopRunsOfLeavingWorker(
  state: EntryState,
  tick: Tick,
  shard: string,
  workerId: string,
): void {
  for (const task of state.tasksByWorker.list(workerId)) {
    if (task.stopReason !== undefined || hasPendingChange(state, task.id)) continue;
    const next: TaskRow = { ...task, stopReason: 'worker-leaving' };
    queueTaskChange(state, shard, next, tick.now, true);
    state.counters.add('evictions', { reason: 'worker-leaving' });
    recordDecision(state, tick.now, task.id, 'move', `worker ${workerId} is leaving`);
  }
}
