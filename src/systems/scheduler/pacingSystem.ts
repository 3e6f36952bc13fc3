import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { RunRow, WorkerRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { canEvict } from './availability.ts';
import { requestStop } from './jobChanges.ts';
import { FULL_PACE_PERCENT, sendPaceCommand } from './paceCommands.ts';
import { computeSlack, getPairCost, updateSlackModel } from './slackModel.ts';
import type { WorkerCapacity } from './taskPlacementPolicy.ts';
import { canRun, estimateSlackWith } from './taskPlacementPolicy.ts';
import { collectCapacities } from './workerCapacities.ts';

/** Interval of evaluations; a load figure covers half a second. */
const EVALUATION_INTERVAL_MS = 500;
/**
 * Fraction of the allowed duration of a latency violation after which all best-effort tasks beside
 * the serving task are halted.
 */
const HALT_AFTER_FRACTION = 0.4;
/**
 * Slack (latency target over tail latency) below which best-effort tasks are throttled, the slack
 * that throttling aims at, and the slack above which they speed up again. Loads change within
 * seconds and the figures are rough, so the target is well above 1.
 */
const THROTTLE_BELOW_SLACK = 1.15;
const TARGET_SLACK = 1.3;
const RAISE_ABOVE_SLACK = 1.4;
/** Largest rise of a pace in one evaluation, and the minimum cost that is assumed for a task. */
const MAX_RAISE_PERCENT = 100;
const MIN_COST = 0.1;
/**
 * Expected slack of serving tasks above which a worker may take a task that violated a latency
 * target elsewhere.
 */
const MOVE_ABOVE_SLACK = 1.6;
/** A task that would be throttled below this pace makes more progress on another worker. */
const MOVE_BELOW_PERCENT = 60;
/** Maximum moves of a task; each move loses the progress that is not saved. */
const MAX_MOVES_PER_TASK = 2;
/** A load figure covers half a second, and a pace takes effect 0.1 s after its command. */
const REPORT_DELAY_MS = 600;
/** Delay before a command without effect is sent again; reports come every second. */
const COMMAND_REPEAT_MS = 1_000;

/**
 * One evaluation of all workers. Their capacities are collected once, when the first task could
 * move.
 */
interface Evaluation {
  readonly now: number;
  capacities: readonly WorkerCapacity[] | undefined;
}

/** The tasks of a worker that pacing considers. */
interface PacedWorker {
  readonly serving: readonly RunRow[];
  readonly bestEffort: readonly RunRow[];
  /**
   * Whether the latest report covers the present best-effort tasks and paces; the model would learn
   * from an older report that they cost nothing.
   */
  readonly hasCurrentReport: boolean;
}

/**
 * Throttles best-effort tasks beside a serving task whose slack runs out, the most costly first and
 * only by the missing slack, and speeds them up when there is slack again. Reads the loads of
 * `runs`; writes their pace and the slack model. Runs before placement.
 */
export class PacingSystem extends System<SchedulerState> {
  override readonly name = 'pacing';

  private constructor() {
    super();
  }

  static create(): PacingSystem {
    return new PacingSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'owner') return;
    if (tick.now < state.timers.pacingAt) {
      tick.wakeAt(state.timers.pacingAt);
      return;
    }
    state.timers.pacingAt = tick.now + EVALUATION_INTERVAL_MS;
    tick.wakeAt(state.timers.pacingAt);
    const evaluation: Evaluation = { now: tick.now, capacities: undefined };
    const workers = [...state.workers.values()].map((worker) => this.describeWorker(state, worker));
    const reported = workers.filter((worker) => worker.hasCurrentReport);
    updateSlackModel(
      state,
      reported.flatMap(({ serving, bestEffort }) =>
        serving.map((run) => ({ serving: run, bestEffort })),
      ),
    );
    for (const { serving, bestEffort, hasCurrentReport } of workers) {
      if (bestEffort.length === 0) continue;
      this.paceWorker(state, serving, bestEffort, hasCurrentReport, evaluation);
      for (const { id } of bestEffort) this.repeatPace(state, id, tick.now);
    }
  }

  private describeWorker(state: SchedulerState, worker: WorkerRow): PacedWorker {
    const runs = state.runsByWorker.list(worker.id).filter((run) => run.phase === 'running');
    const bestEffort = runs.filter((run) => run.step.fills);
    return {
      serving: runs.filter((run) => run.step.targetMs > 0),
      bestEffort,
      hasCurrentReport: bestEffort.every(
        (run) => run.paceChangedAt + REPORT_DELAY_MS < worker.lastReportAt,
      ),
    };
  }

  private paceWorker(
    state: SchedulerState,
    serving: readonly RunRow[],
    bestEffort: readonly RunRow[],
    hasCurrentReport: boolean,
    evaluation: Evaluation,
  ): void {
    const { now } = evaluation;
    let worst: RunRow | undefined;
    let leastSlack = Number.POSITIVE_INFINITY;
    let violationMs = 0;
    for (const run of serving) {
      if (run.overTargetSince !== undefined)
        violationMs = Math.max(violationMs, now - run.overTargetSince);
      const slack = computeSlack(run);
      if (slack === undefined || slack >= leastSlack) continue;
      worst = run;
      leastSlack = slack;
    }
    if (worst === undefined) {
      for (const run of bestEffort) this.setPace(state, run, FULL_PACE_PERCENT, leastSlack, now);
    } else if (violationMs >= state.bounds.harmMs * HALT_AFTER_FRACTION) {
      for (const run of bestEffort) this.setPace(state, run, 0, leastSlack, now);
    } else if (!hasCurrentReport) {
      // The reported loads do not show the latest change of pace; another change would overshoot.
      return;
    } else if (leastSlack < THROTTLE_BELOW_SLACK) {
      this.throttleBestEffort(state, worst, leastSlack, bestEffort, evaluation);
    } else if (leastSlack > RAISE_ABOVE_SLACK) {
      this.resumeBestEffort(state, worst, leastSlack, bestEffort, now);
    }
  }

  private throttleBestEffort(
    state: SchedulerState,
    serving: RunRow,
    slack: number,
    bestEffort: readonly RunRow[],
    evaluation: Evaluation,
  ): void {
    let missingSlack = TARGET_SLACK - slack;
    for (const { run, cost } of this.sortByCost(state, serving, bestEffort).reverse()) {
      if (missingSlack <= 0) return;
      const percent = Math.max(
        0,
        Math.floor(run.pacePercent - (missingSlack / cost) * FULL_PACE_PERCENT),
      );
      missingSlack -= (cost * (run.pacePercent - percent)) / FULL_PACE_PERCENT;
      if (percent < MOVE_BELOW_PERCENT && this.canMove(state, run, evaluation))
        this.moveRun(state, run, slack, evaluation.now);
      else this.setPace(state, run, percent, slack, evaluation.now);
    }
  }

  private resumeBestEffort(
    state: SchedulerState,
    serving: RunRow,
    slack: number,
    bestEffort: readonly RunRow[],
    now: number,
  ): void {
    let spareSlack = slack - TARGET_SLACK;
    for (const { run, cost } of this.sortByCost(state, serving, bestEffort)) {
      if (spareSlack <= 0) return;
      const risePercent = Math.min(
        MAX_RAISE_PERCENT,
        FULL_PACE_PERCENT - run.pacePercent,
        Math.ceil((spareSlack / cost) * FULL_PACE_PERCENT),
      );
      spareSlack -= (cost * risePercent) / FULL_PACE_PERCENT;
      this.setPace(state, run, run.pacePercent + risePercent, slack, now);
    }
  }

  private sortByCost(
    state: SchedulerState,
    serving: RunRow,
    bestEffort: readonly RunRow[],
  ): { readonly run: RunRow; readonly cost: number }[] {
    return bestEffort
      .map((run) => ({
        run,
        cost: Math.max(MIN_COST, getPairCost(state, serving.step.image, run.step.image)),
      }))
      .sort((left, right) => left.cost - right.cost);
  }

  /**
   * Whether the task saves its progress and another worker could run it without a latency
   * violation.
   */
  private canMove(state: SchedulerState, run: RunRow, evaluation: Evaluation): boolean {
    const task = state.tasks.get(run.taskId);
    if (task?.step.savesProgress !== true || task.avoidedWorkerIds.length >= MAX_MOVES_PER_TASK)
      return false;
    if (!canEvict(state, task)) return false;
    evaluation.capacities ??= collectCapacities(state, evaluation.now);
    return evaluation.capacities.some(
      (capacity) =>
        capacity.worker.id !== run.workerKey &&
        capacity.worker.identity.service === state.workers.get(run.workerKey)?.identity.service &&
        canRun(capacity, task) &&
        estimateSlackWith(capacity, task) > MOVE_ABOVE_SLACK &&
        capacity.bestEffortCpuMillis + task.step.cpuMillis <= capacity.freeCpuMillis,
    );
  }

  private moveRun(state: SchedulerState, run: RunRow, slack: number, now: number): void {
    const task = state.tasks.get(run.taskId);
    const workerId = state.workers.get(run.workerKey)?.identity.id;
    if (task === undefined || workerId === undefined) return;
    state.tasks.update(task.id, { avoidedWorkerIds: [...task.avoidedWorkerIds, workerId] });
    this.setPace(state, run, 0, slack, now);
    requestStop(state, run, 'harms a serving task');
  }

  private setPace(
    state: SchedulerState,
    run: RunRow,
    percent: number,
    slack: number,
    now: number,
  ): void {
    if (percent !== run.pacePercent)
      sendPaceCommand(state, run, percent, now, { slack: Math.round(slack * 100) / 100 });
  }

  /**
   * Repeats a pace command without effect, since commands may get lost. Reports do not contain the
   * pace, so the processor use of the task shows whether it took effect.
   */
  private repeatPace(state: SchedulerState, runId: string, now: number): void {
    const run = state.runs.get(runId);
    const worker = state.workers.get(run?.workerKey ?? '');
    if (run === undefined || worker === undefined || run.stopReason !== undefined) return;
    const { pacePercent, paceSentAt, load } = run;
    if (worker.lastReportAt < paceSentAt + REPORT_DELAY_MS) return;
    if (now - paceSentAt < COMMAND_REPEAT_MS || load > 0 === pacePercent > 0) return;
    const repeated =
      pacePercent > 0 ? 'the task uses no processors' : 'the task still uses processors';
    sendPaceCommand(state, run, pacePercent, now, { load, repeated });
  }
}
