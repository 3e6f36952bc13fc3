import type { RunRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';

/**
 * Latest moves that are retained for `explain`; about 1 MB. A day at the design size has about 600
 * restarts and failures of instances, each with up to a few tasks.
 */
const MAX_STORED_MOVES = 4_000;

/** Records why a run was moved, lost or copied; a release retains the reason of an earlier copy. */
export function recordMove(
  state: SchedulerState,
  run: RunRow,
  reason: string,
  movedAt: number,
  kind: 'release' | 'copy',
): void {
  const previous = state.moves.remove(run.id);
  const isCopied = kind === 'release' && previous !== undefined;
  state.moves.set({
    id: run.id,
    jobId: run.jobId,
    workerId: run.workerKey.split('|')[1] ?? '',
    reason: isCopied ? `${previous.reason}; ${reason}` : reason,
    movedAt,
  });
  if (state.moves.size <= MAX_STORED_MOVES) return;
  for (const oldest of state.moves.values()) {
    state.moves.remove(oldest.id);
    return;
  }
}
