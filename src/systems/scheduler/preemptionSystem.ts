import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { QueueTerms } from '../../model/scheduler/queueConfiguration.ts';
import type { RunRow, TaskRow } from '../../model/scheduler/rows.ts';
import { formatStepKey } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { RejectedDemands } from './rejectedDemands.ts';
import { requestStop } from './jobChanges.ts';
import { logEvent } from './storeCalls.ts';
import type { ReadyTask } from './taskOrder.ts';
import type { WorkerCapacity } from './taskPlacementPolicy.ts';
import { canRun, reserveCapacity } from './taskPlacementPolicy.ts';
import { collectCapacities } from './workerCapacities.ts';

const CHECK_INTERVAL_MS = 100;
/**
 * Wait of an urgent task before other runs are stopped; capacity often becomes free within this
 * time.
 */
const MIN_WAIT_MS = 400;
/** Maximum runs that are stopped for one task; with more, the lost work outweighs the wait. */
const MAX_STOPS_PER_TASK = 3;
/** Progress from which a run that saves no progress is left to finish. */
const PREEMPTIBLE_BELOW_PERCENT = 30;
const PREEMPTED = 'a more urgent task needs the room';

interface WaitingStep extends ReadyTask {
  readonly terms: QueueTerms;
}

/** A run that may be stopped, with the priority of its queue. */
interface Candidate {
  readonly run: RunRow;
  readonly priority: number;
}

interface Candidates {
  readonly byWorker: ReadonlyMap<string, readonly Candidate[]>;
  /** Highest priority number among the runs; minus infinity without any. */
  readonly leastUrgentPriority: number;
}

/**
 * Stops runs of less urgent queues for tasks that found no capacity. Reads ready tasks, capacities
 * and `runs`; requests stops. Runs after placement. Covers bursts of urgent jobs on a full pool.
 * Long-running tasks, members of gangs and runs with much unsaved work are never stopped.
 */
export class PreemptionSystem extends System<SchedulerState> {
  override readonly name = 'preemption';

  private constructor() {
    super();
  }

  static create(): PreemptionSystem {
    return new PreemptionSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'owner' || state.readyTasksByStep.keyCount === 0) return;
    if (tick.now < state.timers.preemptionAt) {
      tick.wakeAt(state.timers.preemptionAt);
      return;
    }
    state.timers.preemptionAt = tick.now + CHECK_INTERVAL_MS;
    const waiting = this.listWaitingSteps(state, tick.now);
    if (waiting.length === 0) return;
    const candidates = this.collectCandidates(state);
    if (candidates.leastUrgentPriority === Number.NEGATIVE_INFINITY) return;
    const capacities = collectCapacities(state, tick.now);
    const rejected = RejectedDemands.create();
    for (const ready of waiting) {
      const { terms } = ready;
      if (terms.priority >= candidates.leastUrgentPriority) continue;
      const demandGroup = `${terms.service}@${terms.priority}`;
      if (rejected.hasRejected(demandGroup, ready)) continue;
      const serviceCapacities = capacities.filter(
        ({ worker }) => worker.identity.service === terms.service,
      );
      if (!this.evictForStep(state, ready, serviceCapacities, candidates, tick.now))
        rejected.add(demandGroup, ready);
    }
  }

  /** Lists the first task of each step if it has waited for the minimum time, with its queue. */
  private listWaitingSteps(state: SchedulerState, now: number): WaitingStep[] {
    const waiting: WaitingStep[] = [];
    for (const stepKey of state.readyTasksByStep.keys()) {
      const task = state.readyTasksByStep.getFirst(stepKey);
      const job = state.jobs.get(task?.jobId ?? '');
      const terms = job?.terms;
      if (task === undefined || job === undefined || terms === undefined) continue;
      if (!task.step.gang && now - task.readyAt >= MIN_WAIT_MS) waiting.push({ task, job, terms });
    }
    return waiting;
  }

  /**
   * Collects the runs that may be stopped, by worker, with the least progress first. None while
   * earlier preemptions are in progress: they will free capacity for as many tasks as they were
   * requested for.
   */
  private collectCandidates(state: SchedulerState): Candidates {
    const byWorker = new Map<string, Candidate[]>();
    let leastUrgentPriority = Number.NEGATIVE_INFINITY;
    for (const run of state.runs.values()) {
      if (run.stopReason === PREEMPTED)
        return { byWorker: new Map(), leastUrgentPriority: Number.NEGATIVE_INFINITY };
      if (!isStoppable(run)) continue;
      const priority = state.jobs.get(run.jobId)?.terms?.priority;
      if (priority === undefined) continue;
      leastUrgentPriority = Math.max(leastUrgentPriority, priority);
      const others = byWorker.get(run.workerKey);
      if (others === undefined) byWorker.set(run.workerKey, [{ run, priority }]);
      else others.push({ run, priority });
    }
    for (const candidates of byWorker.values())
      candidates.sort((left, right) => left.run.percent - right.run.percent);
    return { byWorker, leastUrgentPriority };
  }

  /**
   * Frees capacity for the waiting tasks of a step; false when it is impossible for one of them.
   */
  private evictForStep(
    state: SchedulerState,
    { task: first, terms }: WaitingStep,
    capacities: readonly WorkerCapacity[],
    { byWorker }: Candidates,
    now: number,
  ): boolean {
    for (const task of state.readyTasksByStep.list(formatStepKey(first))) {
      if (now - task.readyAt < MIN_WAIT_MS) continue;
      if (!this.evictFor(state, task, terms, capacities, byWorker)) return false;
    }
    return true;
  }

  /**
   * Stops the fewest runs of one worker that free capacity for the task; false if there are none.
   */
  private evictFor(
    state: SchedulerState,
    task: TaskRow,
    terms: QueueTerms,
    capacities: readonly WorkerCapacity[],
    byWorker: Candidates['byWorker'],
  ): boolean {
    let best:
      { readonly capacity: WorkerCapacity; readonly victims: readonly RunRow[] } | undefined;
    for (const capacity of capacities) {
      const candidates = byWorker.get(capacity.worker.id) ?? [];
      const victims = this.findVictims(state, task, terms, capacity, candidates);
      if (victims === undefined) continue;
      if (best === undefined || victims.length < best.victims.length) best = { capacity, victims };
      if (victims.length === 0) break;
    }
    if (best === undefined) return false;
    for (const run of best.victims) {
      logEvent(state, 'info', 'run_preempted', {
        task: run.taskId,
        run: run.run,
        for: task.id,
        percent: run.percent,
        worker: best.capacity.worker.identity.id,
      });
      state.counters.add('preemptions');
      requestStop(state, run, PREEMPTED);
      this.releaseCapacity(state, best.capacity, run);
    }
    reserveCapacity(best.capacity, task);
    return true;
  }

  /**
   * Finds the runs to stop on a worker: none if it has capacity, undefined if not enough can be
   * freed.
   */
  private findVictims(
    state: SchedulerState,
    task: TaskRow,
    terms: QueueTerms,
    capacity: WorkerCapacity,
    candidates: readonly Candidate[],
  ): readonly RunRow[] | undefined {
    const victims: RunRow[] = [];
    for (const { run, priority } of candidates) {
      if (canRun(capacity, task) || victims.length >= MAX_STOPS_PER_TASK) break;
      // An earlier task of this evaluation may have preempted the run already.
      const isStopping = state.runs.get(run.id)?.stopReason !== undefined;
      if (priority <= terms.priority || isStopping) continue;
      victims.push(run);
      this.releaseCapacity(state, capacity, run);
    }
    const isSufficient = canRun(capacity, task);
    for (const run of victims) this.releaseCapacity(state, capacity, run, 1);
    return isSufficient ? victims : undefined;
  }

  private releaseCapacity(
    state: SchedulerState,
    capacity: WorkerCapacity,
    run: RunRow,
    sign: 1 | -1 = -1,
  ): void {
    const task = state.tasks.get(run.taskId);
    if (task !== undefined) reserveCapacity(capacity, task, sign);
  }
}

function isStoppable({ phase, stopReason, step, percent }: RunRow): boolean {
  if (phase !== 'running' || stopReason !== undefined) return false;
  if (step.longRunning || step.gang) return false;
  return step.savesProgress || percent < PREEMPTIBLE_BELOW_PERCENT;
}
