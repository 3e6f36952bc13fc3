import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { RunRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { requestStop, updateTask } from './jobChanges.ts';
import { getPairPressure, learnPressure } from './pressureModel.ts';
import { logEvent } from './storeCalls.ts';
import { canHold, estimateWorst } from './taskPlacementPolicy.ts';
import { collectRooms } from './workerRooms.ts';

/** Longest time between looks; a load figure covers half a second. */
const LOOK_EVERY_MS = 500;
/**
 * Parts of the allowed harm time. A task that is over its target for the first part has its
 * neighbours slowed, the most harmful one first; after the second part all of them stand still.
 */
const SLOW_AFTER_PART = 0.15;
const HALT_AFTER_PART = 0.4;
/** Expected pressure, relative to the target, up to which a worker may take a task that harmed elsewhere. */
const MOVE_BELOW = 0.6;
/** Share of the target below which filling tasks may speed up again, and by how much a look. */
const RAISE_AT = 0.75;
const RAISE_STEP_PERCENT = 20;
const FULL_PERCENT = 100;
/** Times that a task is moved; each move costs what it has not saved. */
const MAX_MOVES = 2;

/**
 * Slows filling tasks beside a serving task that stays over its latency target, and speeds them up
 * again when it has slack. Short peaks are left alone: they end by themselves more often than not,
 * and slowed work is lost. Reads the loads of `runs`; writes their pace and what is learnt of pairs.
 * Runs before placement.
 */
export class PacingSystem extends System<SchedulerState> {
  override readonly name = 'pacing';
  private lookAt = Number.NEGATIVE_INFINITY;

  private constructor() {
    super();
  }

  static create(): PacingSystem {
    return new PacingSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'owner') return;
    if (tick.now < this.lookAt) {
      tick.wakeAt(this.lookAt);
      return;
    }
    this.lookAt = tick.now + LOOK_EVERY_MS;
    tick.wakeAt(this.lookAt);
    for (const worker of state.workers.values()) {
      const runs = state.runsByWorker.list(worker.id).filter((run) => run.phase === 'running');
      const serving = runs.filter((run) => run.step.targetMs > 0);
      const filling = runs.filter((run) => run.step.fills);
      for (const run of serving) learnPressure(state, run, filling);
      if (filling.length > 0) this.paceWorker(state, serving, filling, tick.now);
    }
  }

  private paceWorker(
    state: SchedulerState,
    serving: readonly RunRow[],
    filling: readonly RunRow[],
    now: number,
  ): void {
    const { harmMs } = state.bounds;
    let worst: RunRow | undefined;
    let pressure = 0;
    for (const run of serving) {
      pressure = Math.max(pressure, run.load / run.step.targetMs);
      if (run.overSince === undefined) continue;
      if (worst?.overSince === undefined || run.overSince < worst.overSince) worst = run;
    }
    const overMs = worst?.overSince === undefined ? 0 : now - worst.overSince;
    if (worst !== undefined && overMs >= harmMs * HALT_AFTER_PART) {
      for (const run of filling) this.setPace(state, run, 0, pressure);
    } else if (worst !== undefined && overMs >= harmMs * SLOW_AFTER_PART) {
      const target = this.findMostHarmful(state, worst, filling);
      if (target === undefined) return;
      if (this.canMove(state, target, now)) this.moveAway(state, target, pressure);
      else this.setPace(state, target, Math.floor(target.pacePercent / 2), pressure);
    } else if (pressure < RAISE_AT) {
      for (const run of filling)
        this.setPace(
          state,
          run,
          Math.min(FULL_PERCENT, run.pacePercent + RAISE_STEP_PERCENT),
          pressure,
        );
    }
  }

  /** Whether the task keeps its progress and another worker could take it without harm. */
  private canMove(state: SchedulerState, run: RunRow, now: number): boolean {
    const task = state.tasks.get(run.taskId);
    if (task?.step.savesProgress !== true || task.avoided.length >= MAX_MOVES) return false;
    return collectRooms(state, now).some(
      (room) =>
        room.worker.id !== run.workerKey &&
        room.worker.identity.service === state.workers.get(run.workerKey)?.identity.service &&
        canHold(room, task) &&
        estimateWorst(room, task) < MOVE_BELOW &&
        room.fillingCpuMillis + task.step.cpuMillis <= room.freeCpuMillis,
    );
  }

  private moveAway(state: SchedulerState, run: RunRow, pressure: number): void {
    const task = state.tasks.get(run.taskId);
    const workerId = state.workers.get(run.workerKey)?.identity.id;
    if (task === undefined || workerId === undefined) return;
    updateTask(state, task.id, { avoided: [...task.avoided, workerId] });
    this.setPace(state, run, 0, pressure);
    requestStop(state, run, 'harms a serving task');
  }

  private findMostHarmful(
    state: SchedulerState,
    serving: RunRow,
    filling: readonly RunRow[],
  ): RunRow | undefined {
    let found: RunRow | undefined;
    let foundHarm = 0;
    for (const run of filling) {
      const pair = getPairPressure(state, serving.step.image, run.step.image);
      const harm = (pair + Number.EPSILON) * run.pacePercent;
      if (harm <= foundHarm) continue;
      found = run;
      foundHarm = harm;
    }
    return found;
  }

  private setPace(state: SchedulerState, run: RunRow, percent: number, pressure: number): void {
    const worker = state.workers.get(run.workerKey);
    if (worker === undefined || percent === run.pacePercent) return;
    state.runs.update(run.id, { pacePercent: percent });
    state.counters.add('pace_orders');
    logEvent(state, 'info', 'run_paced', {
      task: run.taskId,
      run: run.run,
      percent,
      pressure: Math.round(pressure * 100) / 100,
    });
    state.outbox.append({
      kind: 'orderAgent',
      agentId: worker.agentId,
      order: {
        kind: 'pace',
        bornMs: worker.identity.bornMs,
        task: run.taskId,
        run: run.run,
        percent,
      },
    });
  }
}
