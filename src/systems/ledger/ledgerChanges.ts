import type { EntryState } from '../../model/entryState.ts';
import type { LedgerChange } from '../../model/ledger.ts';
import type { TaskRow } from '../../model/task.ts';
import { isTaskOpen } from '../../model/task.ts';
import { hashBucket } from './ledgerKeys.ts';
import { estimateTaskBytes } from './ledgerSizes.ts';

/** Whether a change of the task is not confirmed yet. Until then no further decision about the task is made. */
export function hasPendingChange(state: EntryState, taskId: string): boolean {
  return state.pendingChanges.has(taskId);
}

/**
 * Queues the new row of a task for the ledger. The tables change when the write is confirmed.
 * Returns false, and queues nothing, while another change of the task is pending.
 */
export function queueTaskChange(
  state: EntryState,
  shard: string,
  task: TaskRow,
  nowMs: number,
  isUrgent: boolean,
): boolean {
  return queueChange(state, shard, task.id, { kind: 'put', task }, nowMs, isUrgent);
}

/** Queues the removal of a task by the rules of {@link queueTaskChange}. */
export function queueTaskRemoval(
  state: EntryState,
  shard: string,
  taskId: string,
  nowMs: number,
): boolean {
  return queueChange(state, shard, taskId, { kind: 'remove', taskId }, nowMs, false);
}

/** Applies changes that the store has confirmed to the table of tasks. */
export function applyLedgerChanges(state: EntryState, changes: readonly LedgerChange[]): void {
  for (const change of changes) {
    if (change.kind === 'put') state.tasks.set(change.task);
    else state.tasks.remove(change.taskId);
  }
}

/** Applies confirmed changes of a shard and updates the ledger tasks and the sizes of the hash buckets. */
export function applyShardChanges(
  state: EntryState,
  shard: string,
  changes: readonly LedgerChange[],
  nowMs: number,
): void {
  applyLedgerChanges(state, changes);
  const bucketBytes = state.ledgers.get(shard)?.bucketBytes;
  for (const change of changes) {
    const id = change.kind === 'put' ? change.task.id : change.taskId;
    const ledgerTask = state.ledgerTasks.get(id);
    const bucket = ledgerTask?.bucket ?? hashBucket(id);
    const bytes = change.kind === 'put' ? estimateTaskBytes(change.task) : 0;
    if (bucketBytes !== undefined)
      bucketBytes[bucket] = (bucketBytes[bucket] ?? 0) + bytes - (ledgerTask?.bytes ?? 0);
    if (change.kind === 'remove') {
      state.ledgerTasks.remove(id);
      continue;
    }
    const closedMs = isTaskOpen(change.task) ? undefined : (ledgerTask?.closedMs ?? nowMs);
    state.ledgerTasks.set({ id, shard, bucket, bytes, closedMs });
  }
}

function queueChange(
  state: EntryState,
  shard: string,
  id: string,
  change: LedgerChange,
  queuedMs: number,
  isUrgent: boolean,
): boolean {
  if (hasPendingChange(state, id)) return false;
  state.pendingChanges.set({ id, shard, change, isUrgent, queuedMs, segmentSeq: undefined });
  return true;
}
