import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import { isFinalPhase } from '../../model/scheduler/jobRecord.ts';
import type { TaskRow } from '../../model/scheduler/rows.ts';
import { formatStepKey } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { listGangMembers } from './gangs.ts';
import { getService } from './queueTerms.ts';
import { RejectedDemands } from './rejectedDemands.ts';
import type { ReadyTask, TaskOrder } from './taskOrder.ts';
import type { TaskPlacementPolicy, WorkerCapacity } from './taskPlacementPolicy.ts';
import { canRun, reserveCapacity } from './taskPlacementPolicy.ts';
import { canPlace, isDelayedForLong, MAX_DELAY_MS, placeTask } from './taskPlacements.ts';
import { findTicket } from './tickets.ts';
import { applyAttemptLimit, isRetryBlocked } from './attemptLimit.ts';
import { collectCapacities } from './workerCapacities.ts';

/** Ends of runs wake the system; this interval covers workers that become usable only with time. */
const RETRY_MS = 250;
/**
 * Pause between scheduling passes while tasks wait for capacity. Each end of a run wakes the loop,
 * hundreds of times a second on a large pool, and the cost of a pass grows with the waiting steps.
 */
const BACKLOG_PAUSE_MS = 20;
/** Pause between two starts of tasks that were delayed for the maximum time. */
const DELAYED_START_INTERVAL_MS = 500;
/**
 * Fraction of the cores in use below which delayed tasks start without a pause; callers then see
 * idle workers.
 */
const MOSTLY_FREE_FRACTION = 0.6;

/**
 * Assigns ready tasks to workers. Reads `tasks`, `runs`, `workers` and the operator's keys; writes
 * `runs` in phase `placed`, which start once they are stored. Runs after progress, before the
 * commit. Tasks of a step have equal demand, so a pass skips the rest of a step after its first
 * task without a worker: the cost of a tick depends on the number of waiting steps, not of tasks.
 */
export class TaskPlacementSystem extends System<SchedulerState> {
  override readonly name = 'taskPlacement';

  private constructor(
    private readonly policy: TaskPlacementPolicy,
    private readonly delayedPolicy: TaskPlacementPolicy,
    private readonly mostlyFreePolicy: TaskPlacementPolicy,
    private readonly order: TaskOrder,
  ) {
    super();
  }

  /**
   * Best-effort tasks that the policy has delayed for the maximum time are placed by
   * `delayedPolicy`, and by `mostlyFreePolicy` while most cores are not reserved.
   */
  static create(
    policy: TaskPlacementPolicy,
    delayedPolicy: TaskPlacementPolicy,
    mostlyFreePolicy: TaskPlacementPolicy,
    order: TaskOrder,
  ): TaskPlacementSystem {
    return new TaskPlacementSystem(policy, delayedPolicy, mostlyFreePolicy, order);
  }

  override run(state: SchedulerState, tick: Tick): void {
    const { ownership, timers, newlyReadyTasks } = state;
    if (ownership.role !== 'owner' || state.readyTasksByStep.keyCount === 0) return;
    if (newlyReadyTasks.size === 0 && tick.now < timers.placementAt) {
      tick.wakeAt(timers.placementAt);
      return;
    }
    timers.placementAt = tick.now + BACKLOG_PAUSE_MS;
    tick.wakeAt(tick.now + RETRY_MS);
    if (!canPlace(state, tick.now)) return;
    newlyReadyTasks.clear();
    const byService = collectByService(collectCapacities(state, tick.now));
    const rejected = RejectedDemands.create();
    for (const ready of this.order.sort(this.listReadySteps(state), tick.now)) {
      const service = getService(ready.job);
      if (ready.task.step.gang) {
        const candidates = this.listAdvised(state, ready, byService.get(service) ?? [], tick.now);
        this.placeGang(state, ready.task, candidates, tick.now);
      } else if (!rejected.hasRejected(service, ready)) {
        const candidates = this.listAdvised(state, ready, byService.get(service) ?? [], tick.now);
        const isPlaced = this.placeStep(state, ready.task, candidates, tick.now);
        if (!isPlaced) rejected.add(service, ready);
      }
    }
  }

  /** Places the tasks of a step that find capacity; false when one of them finds none. */
  private placeStep(
    state: SchedulerState,
    first: TaskRow,
    candidates: readonly WorkerCapacity[],
    now: number,
  ): boolean {
    for (const task of state.readyTasksByStep.list(formatStepKey(first))) {
      if (task.failures > 0 && applyAttemptLimit(state, task)) return true;
      if (isRetryBlocked(state, task)) continue;
      const capacity =
        this.policy.choose(task, candidates) ?? this.chooseForDelayed(state, task, candidates, now);
      if (capacity === undefined) return false;
      reserveCapacity(capacity, task);
      placeTask(state, task, capacity, task.lastRun + 1, now);
    }
    return true;
  }

  /** Lists the workers that the adviser of the queue allows; all of them without an adviser. */
  private listAdvised(
    state: SchedulerState,
    { task, job }: ReadyTask,
    capacities: readonly WorkerCapacity[],
    now: number,
  ): readonly WorkerCapacity[] {
    if (job.terms?.advice === undefined) return capacities;
    const stepKey = formatStepKey(task);
    return capacities.filter(
      ({ worker }) => findTicket(state, stepKey, worker.id, now) !== undefined,
    );
  }

  /**
   * Chooses a worker for a best-effort task that was delayed for the maximum time, regardless of
   * its cost to serving tasks, so that every job makes progress. On workers that are mostly in use
   * such tasks start one at a time.
   */
  private chooseForDelayed(
    state: SchedulerState,
    task: TaskRow,
    capacities: readonly WorkerCapacity[],
    now: number,
  ): WorkerCapacity | undefined {
    const { timers } = state;
    if (!isDelayedForLong(state, task, now)) return undefined;
    const isMostlyFree = computeUsedFraction(capacities) < MOSTLY_FREE_FRACTION;
    if (now - timers.lastDelayedStartAt < DELAYED_START_INTERVAL_MS && !isMostlyFree)
      return undefined;
    const capacity = (isMostlyFree ? this.mostlyFreePolicy : this.delayedPolicy).choose(
      task,
      capacities,
    );
    if (capacity !== undefined) timers.lastDelayedStartAt = now;
    return capacity;
  }

  /** Lists the first ready task of each step. */
  private listReadySteps(state: SchedulerState): ReadyTask[] {
    const ready: ReadyTask[] = [];
    for (const stepKey of [...state.readyTasksByStep.keys()]) {
      const task = state.readyTasksByStep.getFirst(stepKey);
      const job = task === undefined ? undefined : state.jobs.get(task.jobId);
      if (task === undefined) continue;
      if (job !== undefined && !isFinalPhase(job.phase)) ready.push({ task, job });
      else
        for (const { id } of state.readyTasksByStep.list(stepKey))
          state.tasks.update(id, { phase: 'waiting' });
    }
    return ready;
  }

  /**
   * Places all members of a gang under one run number, or none. A gang of best-effort tasks may
   * request more processors than are ever spare, so it is delayed only for the maximum time.
   */
  private placeGang(
    state: SchedulerState,
    task: TaskRow,
    candidates: readonly WorkerCapacity[],
    now: number,
  ): void {
    const members = listGangMembers(state, task);
    if (members.some((member) => member.phase !== 'ready')) return;
    if (applyAttemptLimit(state, task) || isRetryBlocked(state, task)) return;
    const checkpoint =
      members
        .map((member) => member.checkpoint)
        .sort()
        .at(-1) ?? '';
    const run = Math.max(...members.map((member) => member.lastRun)) + 1;
    const isWithinDelay = now - task.readyAt <= MAX_DELAY_MS;
    const chosen = this.chooseForGang(
      members,
      candidates,
      isWithinDelay ? this.policy : this.mostlyFreePolicy,
    );
    if (chosen === undefined) return;
    for (const [index, member] of members.entries()) {
      const capacity = chosen[index];
      if (capacity === undefined) continue;
      state.tasks.update(member.id, { checkpoint });
      placeTask(state, { ...member, checkpoint }, capacity, run, now);
    }
  }

  private chooseForGang(
    members: readonly TaskRow[],
    candidates: readonly WorkerCapacity[],
    policy: TaskPlacementPolicy,
  ): WorkerCapacity[] | undefined {
    const racks = members[0]?.step.sameRack === true ? listRacks(candidates) : [];
    for (const rack of [...racks, undefined]) {
      const within =
        rack === undefined
          ? candidates
          : candidates.filter((capacity) => capacity.worker.identity.labels.includes(rack));
      const chosen: WorkerCapacity[] = [];
      for (const member of members) {
        const capacity = policy.choose(member, within);
        if (capacity === undefined || !canRun(capacity, member)) break;
        reserveCapacity(capacity, member);
        chosen.push(capacity);
      }
      if (chosen.length === members.length) return chosen;
      for (const [index, capacity] of chosen.entries()) {
        const member = members[index];
        if (member !== undefined) reserveCapacity(capacity, member, -1);
      }
    }
    return undefined;
  }
}

function collectByService(capacities: readonly WorkerCapacity[]): Map<string, WorkerCapacity[]> {
  const byService = new Map<string, WorkerCapacity[]>();
  for (const capacity of capacities) {
    const { service } = capacity.worker.identity;
    const others = byService.get(service);
    if (others === undefined) byService.set(service, [capacity]);
    else others.push(capacity);
  }
  return byService;
}

/** Computes the fraction of the workers' cores that tasks have reserved. */
function computeUsedFraction(capacities: readonly WorkerCapacity[]): number {
  let free = 0;
  let all = 0;
  for (const capacity of capacities) {
    free += Math.max(0, capacity.freeCpuMillis);
    all += capacity.worker.identity.cpuMillis;
  }
  return all === 0 ? 1 : 1 - free / all;
}

/** Lists the labels that may name a rack: those that some of the workers lack. */
function listRacks(candidates: readonly WorkerCapacity[]): string[] {
  const counts = new Map<string, number>();
  for (const capacity of candidates)
    for (const label of capacity.worker.identity.labels)
      counts.set(label, (counts.get(label) ?? 0) + 1);
  return [...counts].filter(([, count]) => count < candidates.length).map(([label]) => label);
}
