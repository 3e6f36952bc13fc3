import type { EntryState } from '../../model/entryState.ts';
import type { LedgerChange } from '../../model/ledger.ts';
import { formatRunId } from '../../model/run.ts';
import type { RunReport } from '../../model/worker.ts';

/** Adds a run for each assigned incarnation without one, and removes runs that the changes end. */
export function updateAssignedRuns(
  state: EntryState,
  changes: readonly LedgerChange[],
  nowMs: number,
  leaseUntilMs: number,
): void {
  for (const change of changes) {
    if (change.kind === 'remove') continue;
    const { task } = change;
    if (task.incarnation > 1) state.runs.remove(formatRunId(task.id, task.incarnation - 1));
    const id = formatRunId(task.id, task.incarnation);
    if (task.phase !== 'assigned' || task.workerId === undefined) {
      state.runs.remove(id);
      continue;
    }
    if (state.runs.has(id)) continue;
    state.runs.set({
      id,
      taskId: task.id,
      incarnation: task.incarnation,
      workerId: task.workerId,
      phase: 'unconfirmed',
      checkpoint: task.checkpoint,
      throttle: 1,
      leaseUntilMs,
      sinceMs: nowMs,
    });
  }
}

/** Records the report of a worker about one of its runs. */
export function recordReportedRun(
  state: EntryState,
  workerId: string,
  report: RunReport,
  nowMs: number,
): void {
  const id = formatRunId(report.taskId, report.incarnation);
  const previous = state.runs.get(id);
  state.runs.set({
    leaseUntilMs: nowMs,
    sinceMs: nowMs,
    ...previous,
    id,
    taskId: report.taskId,
    incarnation: report.incarnation,
    workerId,
    phase: report.phase,
    checkpoint: report.checkpoint ?? previous?.checkpoint,
    throttle: report.throttle,
    ...(report.message === undefined ? {} : { message: report.message }),
  });
}
