import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import { isFinalPhase } from '../../model/scheduler/jobRecord.ts';
import type { TaskRow, WorkerRow } from '../../model/scheduler/rows.ts';
import { formatStepKey } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { isRetryBlocked } from './attemptLimit.ts';
import { getService } from './queueTerms.ts';
import type { TaskPlacementPolicy, WorkerCapacity } from './taskPlacementPolicy.ts';
import { canPlace, placeTask } from './taskPlacements.ts';
import { findTicket } from './tickets.ts';
import { collectCapacities, explainUnusableWorker } from './workerCapacities.ts';

const CHECK_INTERVAL_MS = 250;
/**
 * Time for which a long-running task waits for a worker without backoff. A new one must run within
 * 3 s and a restarted one within 9 s, while a backoff lasts up to 8 s and other failures extend it.
 */
const PROBATION_WAIT_MS = 2_000;
/** Interval between two probation runs on one worker; bounds the starts that a failing worker gets. */
const PROBATION_INTERVAL_MS = 1_000;

/**
 * Places long-running tasks that wait for lack of another candidate on workers in backoff, the
 * longest waiting first and one at a time per worker. Their attempts are not limited, so a start
 * that fails costs little, and one that succeeds ends the backoff. Reads `tasks` and `workers`;
 * writes `runs` in phase `placed` and the probation of `workers`. Runs after the placement.
 */
export class ProbationSystem extends System<SchedulerState> {
  override readonly name = 'probation';

  private constructor(private readonly policy: TaskPlacementPolicy) {
    super();
  }

  static create(policy: TaskPlacementPolicy): ProbationSystem {
    return new ProbationSystem(policy);
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'owner' || state.readyTasksByStep.keyCount === 0) return;
    if (tick.now < state.timers.probationAt) {
      tick.wakeAt(state.timers.probationAt);
      return;
    }
    state.timers.probationAt = tick.now + CHECK_INTERVAL_MS;
    tick.wakeAt(state.timers.probationAt);
    if (!canPlace(state, tick.now)) return;
    let capacities = collectCapacities(state, tick.now, (worker) =>
      isOpenForProbation(state, worker, tick.now),
    );
    if (capacities.length === 0) return;
    for (const task of this.listWaiting(state, tick.now)) {
      const capacity = this.policy.choose(task, this.listCandidates(state, task, capacities, tick));
      if (capacity === undefined) continue;
      this.placeOnProbation(state, task, capacity, tick.now);
      capacities = capacities.filter((other) => other !== capacity);
      if (capacities.length === 0) return;
    }
  }

  /** Lists the tasks that have waited long enough, the longest waiting first. */
  private listWaiting(state: SchedulerState, now: number): TaskRow[] {
    const waiting: TaskRow[] = [];
    for (const stepKey of state.readyTasksByStep.keys()) {
      const first = state.readyTasksByStep.getFirst(stepKey);
      if (first?.step.longRunning !== true || first.step.gang) continue;
      for (const task of state.readyTasksByStep.list(stepKey))
        if (now - task.readyAt >= PROBATION_WAIT_MS && !isRetryBlocked(state, task))
          waiting.push(task);
    }
    return waiting.sort((left, right) => left.readyAt - right.readyAt);
  }

  private listCandidates(
    state: SchedulerState,
    task: TaskRow,
    capacities: readonly WorkerCapacity[],
    { now }: Tick,
  ): WorkerCapacity[] {
    const job = state.jobs.get(task.jobId);
    if (job === undefined || isFinalPhase(job.phase)) return [];
    const needsTicket = job.terms?.advice !== undefined;
    const stepKey = formatStepKey(task);
    return capacities.filter(
      ({ worker }) =>
        worker.identity.service === getService(job) &&
        (!needsTicket || findTicket(state, stepKey, worker.id, now) !== undefined),
    );
  }

  private placeOnProbation(
    state: SchedulerState,
    task: TaskRow,
    capacity: WorkerCapacity,
    now: number,
  ): void {
    const run = placeTask(state, task, capacity, task.lastRun + 1, now, true);
    const { id, backoff } = capacity.worker;
    state.workers.update(id, {
      backoff: { ...backoff, probationRunId: run.id, probationAt: now },
    });
  }
}

function isOpenForProbation(state: SchedulerState, worker: WorkerRow, now: number): boolean {
  const { until, probationAt } = worker.backoff;
  if (now >= until || now - probationAt < PROBATION_INTERVAL_MS) return false;
  return explainUnusableWorker(state, worker, now) === undefined;
}
