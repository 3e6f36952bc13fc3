import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import { isFinalPhase } from '../../model/scheduler/jobRecord.ts';
import type { RunRow, TaskRow } from '../../model/scheduler/rows.ts';
import { parseWorkerKey } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { recordMove } from './moves.ts';
import { STALLED_REASON } from './stallSystem.ts';
import { logEvent } from './storeCalls.ts';

/**
 * Age of a worker's latest report after which its runs are copied. Reports come every second. A
 * copy costs the work of one task; waiting for the lease of a silent worker costs several seconds.
 */
const SILENT_AFTER_MS = 1_500;
const CHECK_INTERVAL_MS = 250;

/**
 * Requests a second run of a task whose step allows speculative copies, when the first run has
 * stalled or its worker is silent. Reads `runs` and `workers`; makes tasks ready again. Runs before
 * placement. Covers lost workers and lost links to workers.
 */
export class CopySystem extends System<SchedulerState> {
  override readonly name = 'copy';

  private constructor() {
    super();
  }

  static create(): CopySystem {
    return new CopySystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'owner') return;
    if (tick.now < state.timers.speculativeCopyAt) {
      tick.wakeAt(state.timers.speculativeCopyAt);
      return;
    }
    state.timers.speculativeCopyAt = tick.now + CHECK_INTERVAL_MS;
    tick.wakeAt(state.timers.speculativeCopyAt);
    for (const run of state.runs.values()) {
      if (!run.step.speculative || run.step.longRunning || run.step.gang) continue;
      const task = state.tasks.get(run.taskId);
      if (isFinalPhase(state.jobs.get(run.jobId)?.phase ?? 'cancelled')) continue;
      // At most one copy: a task that stalls on every worker must not occupy the pool.
      if (task?.phase !== 'active' || state.runsByTask.count(task.id) > 1) continue;
      const reason = this.findReason(state, run, tick.now);
      if (reason !== undefined) this.requestCopy(state, task, run, reason, tick.now);
    }
  }

  private findReason(state: SchedulerState, run: RunRow, now: number): string | undefined {
    if (run.phase === 'placed') return undefined;
    if (run.stopReason === STALLED_REASON) return 'it stands still';
    if (run.stopReason !== undefined) return undefined;
    const lastReportAt = state.workers.get(run.workerKey)?.lastReportAt ?? state.ownership.loadedAt;
    return now - lastReportAt > SILENT_AFTER_MS ? 'its worker is silent' : undefined;
  }

  private requestCopy(
    state: SchedulerState,
    task: TaskRow,
    run: RunRow,
    reason: string,
    now: number,
  ): void {
    const workerId = parseWorkerKey(run.workerKey).workerId;
    logEvent(state, 'info', 'run_copied', {
      task: task.id,
      run: run.run,
      worker: workerId,
      reason,
      percent: run.percent,
    });
    state.counters.add('run_copies', { reason });
    recordMove(state, run, `copied: ${reason}`, now, 'copy');
    state.tasks.update(task.id, {
      phase: 'ready',
      readyAt: now,
      avoidedWorkerIds: [...task.avoidedWorkerIds.filter((id) => id !== workerId), workerId],
    });
  }
}
