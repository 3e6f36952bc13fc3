import { formatAdviceId } from '../../model/scheduler/placementAdvice.ts';
import type { RunRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { formatStepKey } from '../../model/scheduler/rows.ts';

/** Time that a start needs to reach its worker: the preceding write, the links and the command. */
const TICKET_MARGIN_MS = 300;

/** Finds the ticket with which a step may start on a worker now. */
export function findTicket(
  state: SchedulerState,
  stepKey: string,
  workerKey: string,
  now: number,
): string | undefined {
  const known = state.advice.get(formatAdviceId(stepKey, workerKey));
  if (known === undefined || known.ticket === '') return undefined;
  return now + TICKET_MARGIN_MS < known.validUntil ? known.ticket : undefined;
}

/** Finds the ticket that the start of a run carries; empty if none is needed. */
export function findRunTicket(state: SchedulerState, run: RunRow, now: number): string {
  const task = state.tasks.get(run.taskId);
  if (task === undefined) return '';
  return findTicket(state, formatStepKey(task), run.workerKey, now) ?? '';
}

/**
 * Ends a ticket that a worker rejected, so that the adviser is asked for another one. That the step
 * may run on the worker stays known.
 */
export function dropRunTicket(state: SchedulerState, run: RunRow): void {
  const task = state.tasks.get(run.taskId);
  if (task === undefined) return;
  const id = formatAdviceId(formatStepKey(task), run.workerKey);
  state.advice.update(id, { validUntil: Number.NEGATIVE_INFINITY });
}
