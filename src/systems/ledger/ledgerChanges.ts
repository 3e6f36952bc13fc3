import type { EntryState } from '../../model/entryState.ts';
import type { LedgerChange } from '../../model/ledger.ts';
import type { TaskRow } from '../../model/task.ts';

/** Whether a change of the task waits for the store. Such a task must not be decided on again. */
export function hasPendingChange(state: EntryState, taskId: string): boolean {
  return state.pendingChanges.has(taskId);
}

/**
 * Queues the new row of a task for the ledger. The tables change only when the write is confirmed.
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

/** Queues the removal of a task. Same rules as {@link queueTaskChange}. */
export function queueTaskRemoval(
  state: EntryState,
  shard: string,
  taskId: string,
  nowMs: number,
): boolean {
  return queueChange(state, shard, taskId, { kind: 'remove', taskId }, nowMs, false);
}

/** Applies changes that are known to be in the store. */
export function applyLedgerChanges(state: EntryState, changes: readonly LedgerChange[]): void {
  for (const change of changes) {
    if (change.kind === 'put') state.tasks.set(change.task);
    else state.tasks.remove(change.taskId);
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
  state.pendingChanges.set({ id, shard, change, isUrgent, queuedMs, segment: undefined });
  return true;
}
