import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { RunRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { requestStop } from './jobChanges.ts';
import { logEvent } from './storeCalls.ts';
import { extendBackoff } from './workerBackoff.ts';

const CHECK_INTERVAL_MS = 500;
/**
 * Time without progress after which a run counts as stalled. Tasks take a few seconds, so a healthy
 * run progresses by several percent in this time, also on a worker that is a few times slower.
 */
const STALL_TIMEOUT_MS = 2_500;
/**
 * Maximum age of a worker's report; an older report says nothing about the progress of its runs.
 */
const MAX_PROGRESS_REPORT_AGE_MS = 1_500;
/** Maximum moves of a stalled task; a task that stalls on every worker is faulty itself. */
const MAX_MOVES_PER_TASK = 3;
const AVAILABLE_PERCENT = 100;
/** Reason of the stops of stalled runs. */
export const STALLED_REASON = 'it stands still';

/**
 * Moves stalled runs off workers that otherwise look healthy. Reads the progress of `runs`;
 * requests stops. Runs after the reports. Best-effort tasks are excluded: without spare processors
 * they are expected to make no progress.
 */
export class StallSystem extends System<SchedulerState> {
  override readonly name = 'stall';

  private constructor() {
    super();
  }

  static create(): StallSystem {
    return new StallSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'owner') return;
    if (tick.now < state.timers.stallCheckAt) {
      tick.wakeAt(state.timers.stallCheckAt);
      return;
    }
    state.timers.stallCheckAt = tick.now + CHECK_INTERVAL_MS;
    tick.wakeAt(state.timers.stallCheckAt);
    for (const run of [...state.runs.values()])
      if (this.isStalled(state, run, tick.now)) this.moveRun(state, run, tick.now);
  }

  private isStalled(state: SchedulerState, run: RunRow, now: number): boolean {
    if (run.phase !== 'running' || run.stopReason !== undefined || run.step.fills) return false;
    if (run.step.gang) return false;
    if (run.step.longRunning && run.percent >= AVAILABLE_PERCENT) return false;
    if (now - run.progressAt < STALL_TIMEOUT_MS) return false;
    const worker = state.workers.get(run.workerKey);
    return worker !== undefined && now - worker.lastReportAt < MAX_PROGRESS_REPORT_AGE_MS;
  }

  private moveRun(state: SchedulerState, run: RunRow, now: number): void {
    const task = state.tasks.get(run.taskId);
    const worker = state.workers.get(run.workerKey);
    if (
      task === undefined ||
      worker === undefined ||
      task.avoidedWorkerIds.length >= MAX_MOVES_PER_TASK
    )
      return;
    logEvent(state, 'warn', 'run_stalled', {
      task: run.taskId,
      run: run.run,
      worker: worker.identity.id,
      percent: run.percent,
      stillMs: Math.round(now - run.progressAt),
    });
    state.counters.add('stalled_runs');
    extendBackoff(state, run, 'stalled', now);
    state.tasks.update(task.id, {
      avoidedWorkerIds: [...task.avoidedWorkerIds, worker.identity.id],
    });
    requestStop(state, run, STALLED_REASON);
  }
}
