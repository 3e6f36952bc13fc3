import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { RunRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { logEvent } from './storeCalls.ts';

/** Share of the latency target from which filling tasks are slowed; the figure of a worker is rough. */
const SLOW_AT = 0.85;
/** Share of the target below which filling tasks may speed up again. */
const RAISE_AT = 0.6;
/** Longest time between looks; a load figure covers half a second. */
const LOOK_EVERY_MS = 500;
/** Filling tasks speed up by this much a look, and slow down by half or at once when over target. */
const RAISE_STEP_PERCENT = 10;
const FULL_PERCENT = 100;

/**
 * Slows filling tasks beside a serving task that comes near its latency target, and speeds them up
 * slowly when it has slack. Reads the loads of `runs`; writes their pace. Runs before placement.
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
    if (tick.now < this.lookAt) return;
    this.lookAt = tick.now + LOOK_EVERY_MS;
    tick.wakeAt(this.lookAt);
    for (const worker of state.workers.values()) {
      const runs = state.runsByWorker.list(worker.id).filter((run) => run.phase === 'running');
      const filling = runs.filter((run) => run.step.fills);
      if (filling.length === 0) continue;
      const pressure = this.computePressure(runs);
      for (const run of filling) {
        const percent = this.choosePace(run, pressure);
        if (percent !== run.pacePercent) this.setPace(state, run, percent, pressure);
      }
    }
  }

  /** Highest tail latency of the worker's serving tasks, relative to its target. */
  private computePressure(runs: readonly RunRow[]): number {
    let pressure = 0;
    for (const run of runs)
      if (run.step.targetMs > 0) pressure = Math.max(pressure, run.load / run.step.targetMs);
    return pressure;
  }

  private choosePace(run: RunRow, pressure: number): number {
    if (pressure >= 1) return 0;
    if (pressure >= SLOW_AT) return Math.floor(run.pacePercent / 2);
    if (pressure < RAISE_AT) return Math.min(FULL_PERCENT, run.pacePercent + RAISE_STEP_PERCENT);
    return run.pacePercent;
  }

  private setPace(state: SchedulerState, run: RunRow, percent: number, pressure: number): void {
    const worker = state.workers.get(run.workerKey);
    if (worker === undefined) return;
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
