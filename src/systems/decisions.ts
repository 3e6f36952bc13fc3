import type { Failure } from '../base/common/errors.ts';
import type { Table, TableRow } from '../base/common/table.ts';
import type { EntryState } from '../model/entryState.ts';

/** Maximum numbers of rows; beyond them the oldest rows are removed. */
const MAX_DECISIONS = 20_000;
const MAX_WAITS = 20_000;
/** An overloaded entry refuses thousands of requests; a smaller limit bounds their memory. */
const MAX_REFUSALS = 2_000;

/** Records a decision and its reason for `explain`. */
export function recordDecision(
  state: EntryState,
  nowMs: number,
  subject: string,
  action: string,
  reason: string,
): void {
  const id = `${state.nextDecisionId}`;
  state.nextDecisionId += 1;
  state.decisions.set({ id, subject, action, reason, atMs: nowMs });
  removeOldest(state.decisions, MAX_DECISIONS);
}

/**
 * Records why a queued task was not assigned. The last reason remains until the task is assigned.
 */
export function recordWait(state: EntryState, taskId: string, reason: string): void {
  if (state.waits.get(taskId)?.reason === reason) return;
  state.waits.set({ id: taskId, reason });
  removeOldest(state.waits, MAX_WAITS);
}

/** Records why a request was refused. */
export function recordRefusal(state: EntryState, requestId: string, failure: Failure): void {
  state.refusals.set({ id: requestId, kind: failure.kind, message: failure.message });
  removeOldest(state.refusals, MAX_REFUSALS);
}

function removeOldest<Row extends TableRow>(table: Table<Row>, maxRows: number): void {
  if (table.size <= maxRows) return;
  for (const oldest of table.values()) {
    table.remove(oldest.id);
    return;
  }
}
