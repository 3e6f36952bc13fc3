import type { Tick } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { TaskRow } from '../../model/task.ts';
import { removeTaskFields } from '../../model/task.ts';
import { formatRunId } from '../../model/run.ts';
import type { RunReport, WorkerRow } from '../../model/worker.ts';
import { recordDecision } from '../decisions.ts';
import { hasPendingChange, queueTaskChange } from '../ledger/ledgerChanges.ts';

/** A checkpoint of a running task is written at most this often. */
const CHECKPOINT_WRITE_PERIOD_MS = 60_000;

/**
 * Row of a task whose incarnation is proven stopped: the task waits for its next incarnation, or is
 * closed when it was to end. The row stays `queued` at the same incarnation, so a second proof of the
 * same stop finds nothing to do.
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

/** Queues the return of a stopped incarnation's task. False while another change is pending. */
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

/** Turns the report of an assigned incarnation into a change of the ledger, once. */
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
      // The worker health system judges failed runs from their rows.
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

/** Keeps the checkpoint in the ledger too, so that a new owner resumes from it. */
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

/** Wants every task of a worker stopped with a checkpoint, because its instance stops for good. */
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
