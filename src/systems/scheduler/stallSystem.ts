import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { RunRow, TaskRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { requestStop, updateTask } from './jobChanges.ts';
import { isSlowRun } from './stepTimes.ts';
import { logEvent } from './storeCalls.ts';
import { recordTrouble } from './workerTrouble.ts';

const LOOK_EVERY_MS = 500;
/**
 * Time without progress after which a run counts as stalled. Tasks take a few seconds, so a sound one
 * shows several percent in this time, also on a worker that is a few times slow.
 */
const STALLED_MS = 2_500;
/** A worker out of touch tells no progress; that says nothing about its runs. */
const REPORT_FRESH_MS = 1_500;
/** Times that a task is moved for standing still; a task that stalls everywhere has a fault of its own. */
const MAX_MOVES = 3;
const AT_WORK_PERCENT = 100;

/**
 * Moves runs that stand still, or lag far behind their step, on workers that otherwise look sound;
 * steps that allow it get a copy instead. Reads the progress of `runs`; requests stops and copies. Runs after the reports. Filling tasks are left out: without processors left they
 * stand still rightly.
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
    if (tick.now < state.timetable.stallAt) {
      tick.wakeAt(state.timetable.stallAt);
      return;
    }
    state.timetable.stallAt = tick.now + LOOK_EVERY_MS;
    tick.wakeAt(state.timetable.stallAt);
    for (const run of [...state.runs.values()]) {
      const task = state.tasks.get(run.taskId);
      if (task === undefined || !this.canMove(state, task, run, tick.now)) continue;
      if (this.isStalled(run, tick.now)) this.moveAway(state, task, run, 'stalled', tick.now);
      else if (this.canLoseRun(task) && isSlowRun(state, task, run, tick.now))
        this.moveAway(state, task, run, 'slow', tick.now);
    }
  }

  private canMove(state: SchedulerState, task: TaskRow, run: RunRow, now: number): boolean {
    if (run.phase !== 'running' || run.stopReason !== undefined) return false;
    if (run.step.fills || run.step.gang || task.phase !== 'active') return false;
    if (task.avoided.length >= MAX_MOVES || state.runsByTask.count(task.id) > 1) return false;
    const worker = state.workers.get(run.workerKey);
    return worker !== undefined && now - worker.lastReportAt < REPORT_FRESH_MS;
  }

  /** A slow run may be a long task; only what loses nothing by another run is moved or copied. */
  private canLoseRun({ step, avoided }: TaskRow): boolean {
    return step.speculative || (step.savesProgress && avoided.length === 0);
  }

  private isStalled(run: RunRow, now: number): boolean {
    if (run.step.longRunning && run.percent >= AT_WORK_PERCENT) return false;
    return now - run.progressAt >= STALLED_MS;
  }

  /** A step that allows copies keeps the run and gets another one beside it. */
  private moveAway(
    state: SchedulerState,
    task: TaskRow,
    run: RunRow,
    reason: string,
    now: number,
  ): void {
    const workerId = state.workers.get(run.workerKey)?.identity.id ?? '';
    logEvent(state, 'warn', 'run_stalled', {
      task: run.taskId,
      run: run.run,
      worker: workerId,
      reason,
      copied: run.step.speculative,
      percent: run.percent,
      stillMs: Math.round(now - run.progressAt),
    });
    state.counters.add('stalled_runs', { reason });
    recordTrouble(state, run.workerKey, reason, now);
    const avoided = [...task.avoided, workerId];
    if (run.step.speculative) updateTask(state, task.id, { avoided, phase: 'ready', readyAt: now });
    else {
      updateTask(state, task.id, { avoided });
      requestStop(state, run, `it is ${reason}`);
    }
  }
}
