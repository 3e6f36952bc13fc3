import type { RunRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { logEvent } from './storeCalls.ts';

export const FULL_PACE_PERCENT = 100;

/** Sends a pace command for a run on a worker that has reported, and records the pace. */
export function sendPaceCommand(
  state: SchedulerState,
  run: RunRow,
  percent: number,
  now: number,
  reason: Readonly<Record<string, number | string>>,
): void {
  const worker = state.workers.get(run.workerKey);
  if (worker === undefined) return;
  const hasChanged = !run.isPaceKnown || percent !== run.pacePercent;
  state.runs.update(run.id, {
    pacePercent: percent,
    paceChangedAt: hasChanged ? now : run.paceChangedAt,
    paceSentAt: now,
    isPaceKnown: true,
  });
  state.counters.add('pace_orders');
  logEvent(state, 'info', 'run_paced', { task: run.taskId, run: run.run, percent, ...reason });
  state.outbox.append({
    kind: 'orderAgent',
    agentId: worker.agentId,
    command: {
      kind: 'pace',
      bornMs: worker.identity.bornMs,
      task: run.taskId,
      run: run.run,
      percent,
    },
  });
}
