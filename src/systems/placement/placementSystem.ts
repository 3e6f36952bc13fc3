import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import { createFailure } from '../../base/common/errors.ts';
import type { PoolConfig } from '../../model/configuration.ts';
import { getShardName } from '../../model/configuration.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { QueueRow } from '../../model/placement.ts';
import type { Resources } from '../../model/resources.ts';
import type { TaskRow, WorkClass } from '../../model/task.ts';
import type { WorkerRow } from '../../model/worker.ts';
import { recordDecision, recordWait } from '../decisions.ts';
import { hasPendingChange, queueTaskChange } from '../ledger/ledgerChanges.ts';
import { updateCommitments } from './commitmentSystem.ts';
import {
  explainUnschedulable,
  findViolatedConstraint,
  hasQuotaCapacity,
} from './placementConstraints.ts';
import type { PlacementPolicy } from './placementPolicy.ts';
import type { PlacementPass } from './placementPass.ts';
import { addToSpread, createPlacementPass, getSpread } from './placementPass.ts';
import { placeByPreemption } from './preemption.ts';
import { computePlacedDemand, recordSizeFactor } from './sizeCorrection.ts';
import { chooseFairQueue } from './fairQueue.ts';

/** Limits the tick duration when many tasks are queued. */
const MAX_STARTS_PER_TICK = 12;
/** Queue entries checked per class and tick, so that a blocked class does not starve the next. */
const MAX_ENTRIES_PER_CLASS = 300;
const RETRY_PERIOD_MS = 250;
const CONTINUE_DELAY_MS = 5;
/** Workers report within this time of a takeover; before, a worker that fits may be unknown. */
const REPORT_GRACE_MS = 15_000;
const CLASS_ORDER: readonly WorkClass[] = ['latency-critical', 'urgent', 'ordinary'];

interface PassBudget {
  remainingStarts: number;
  remainingEntries: number;
  /** Task shapes that found no capacity in this pass. */
  readonly blockedShapes: Set<string>;
}

/**
 * Assigns queued tasks to workers.
 * Reads `queues`, `tasks`, `workers`, `commitments`, `quotaUse`. Writes `pendingChanges`,
 * `reservations`, `startPaces`, `decisions`.
 * Runs each tick after the commitments, does a bounded amount of work and requests another tick.
 */
export class PlacementSystem extends System<EntryState> {
  override readonly name = 'placement';

  private constructor(private readonly policy: PlacementPolicy) {
    super();
  }

  static create(policy: PlacementPolicy): PlacementSystem {
    return new PlacementSystem(policy);
  }

  override run(state: EntryState, tick: Tick): void {
    updateCommitments(state);
    const pass = createPlacementPass(state, tick);
    if (pass.pools.size === 0) return;
    for (const reservation of state.placement.reservations.values()) {
      const isQueued = state.tasks.get(reservation.id)?.phase === 'queued';
      if (reservation.untilMs <= tick.now || !isQueued)
        state.placement.reservations.remove(reservation.id);
    }
    if (tick.now < state.placement.retryAtMs) {
      tick.wakeAt(state.placement.retryAtMs);
      return;
    }
    this.placeQueued(pass);
  }

  private placeQueued(pass: PlacementPass): void {
    const budget: PassBudget = {
      remainingStarts: MAX_STARTS_PER_TICK,
      remainingEntries: 0,
      blockedShapes: new Set(),
    };
    let hasMore = false;
    for (const workClass of CLASS_ORDER) {
      budget.remainingEntries = MAX_ENTRIES_PER_CLASS;
      this.placeClass(pass, workClass, budget);
      if (budget.remainingEntries <= 0 || budget.remainingStarts <= 0) hasMore = true;
    }
    const { state, tick } = pass;
    const hasQueuedTasks = [...state.placement.queues.values()].some(
      (row) => row.entries.length > 0,
    );
    if (!hasMore && !hasQueuedTasks) return;
    state.placement.retryAtMs = tick.now + (hasMore ? CONTINUE_DELAY_MS : RETRY_PERIOD_MS);
    tick.wakeAt(state.placement.retryAtMs);
  }

  private placeClass(pass: PlacementPass, workClass: WorkClass, budget: PassBudget): void {
    const openQueues = [...pass.state.placement.queues.values()].filter(
      (queue) => queue.workClass === workClass && pass.pools.has(queue.pool),
    );
    while (budget.remainingStarts > 0 && budget.remainingEntries > 0) {
      const queue = chooseFairQueue(pass, openQueues);
      if (queue === undefined) return;
      this.placeNextTask(pass, queue, budget);
    }
  }

  /**
   * Tries the queued tasks from the cursor until one is placed, the budget is exhausted or the
   * queue ends.
   */
  private placeNextTask(pass: PlacementPass, queue: QueueRow, budget: PassBudget): void {
    const pool = pass.pools.get(queue.pool);
    if (pool === undefined) return;
    while (queue.cursor < queue.entries.length && budget.remainingEntries > 0) {
      budget.remainingEntries -= 1;
      const entry = queue.entries[queue.cursor];
      const task = entry === undefined ? undefined : pass.state.tasks.get(entry.id);
      if (task?.phase !== 'queued') {
        queue.entries.splice(queue.cursor, 1);
        continue;
      }
      queue.cursor += 1;
      if (hasPendingChange(pass.state, task.id) || task.stopReason === 'retired') continue;
      if (this.placeTask(pass, pool, task, budget)) return;
    }
  }

  private placeTask(
    pass: PlacementPass,
    pool: PoolConfig,
    task: TaskRow,
    budget: PassBudget,
  ): boolean {
    const demand = computePlacedDemand(pass, pool, task);
    const reserved = this.findReservedWorker(pass, pool, task, demand);
    const shape = formatShape(task, demand);
    if (reserved === undefined && budget.blockedShapes.has(shape)) {
      recordWait(
        pass.state,
        task.id,
        `other tasks of its kind and team wait for capacity in ${pool.name}`,
      );
      return false;
    }
    if (!hasQuotaCapacity(pass, pool, task.team, demand)) {
      const hasFailed = handleUnschedulable(pass, pool, task);
      if (!hasFailed)
        recordWait(pass.state, task.id, `the quota of team ${task.team} is exhausted`);
      budget.blockedShapes.add(shape);
      return false;
    }
    const worker = reserved ?? this.policy.chooseWorker(pass, pool, task, demand);
    if (worker !== undefined) {
      queueAssignment(pass, pool, task, demand, worker, this.policy.name);
      budget.remainingStarts -= 1;
      return true;
    }
    const isHandled =
      handleUnschedulable(pass, pool, task) || placeByPreemption(pass, pool, task, demand);
    if (!isHandled) {
      budget.blockedShapes.add(shape);
      recordWait(
        pass.state,
        task.id,
        `no worker of pool ${pool.name} has capacity for the task now`,
      );
    }
    return false;
  }

  private findReservedWorker(
    pass: PlacementPass,
    pool: PoolConfig,
    task: TaskRow,
    demand: Resources,
  ): WorkerRow | undefined {
    const reservation = pass.state.placement.reservations.get(task.id);
    const worker =
      reservation === undefined ? undefined : pass.state.workers.get(reservation.workerId);
    if (worker === undefined) return undefined;
    return findViolatedConstraint(pass, pool, task, demand, worker) === undefined
      ? worker
      : undefined;
  }
}

/** Formats a key that is equal for tasks that fit on the same workers. */
function formatShape(task: TaskRow, demand: Resources): string {
  const { cores, memoryMb, accelerators } = demand;
  const scope = `${task.pool}|${task.team}|${task.service ?? ''}|${task.failedWorkers.join(',')}`;
  return `${scope}|${cores}|${memoryMb}|${accelerators}`;
}

function queueAssignment(
  pass: PlacementPass,
  pool: PoolConfig,
  task: TaskRow,
  demand: Resources,
  worker: WorkerRow,
  policyName: string,
): void {
  const { state, tick } = pass;
  const next: TaskRow = {
    ...task,
    demand,
    phase: 'assigned',
    incarnation: task.incarnation + 1,
    workerId: worker.id,
    zone: worker.zone,
  };
  delete next.stopReason;
  const isUrgent = task.workClass !== 'ordinary';
  queueTaskChange(state, getShardName(pool), next, tick.now, isUrgent);
  recordSizeFactor(state, task, demand);
  state.placement.reservations.remove(task.id);
  state.waits.remove(task.id);
  const recentStarts = state.placement.startPaces.get(worker.id);
  const previousMs = recentStarts?.lastMs ?? Number.NEGATIVE_INFINITY;
  state.placement.startPaces.set({ id: worker.id, lastMs: tick.now, previousMs });
  const health = state.placement.health.get(worker.id);
  if (health?.isOnProbation === true)
    state.placement.health.update(worker.id, { probationTaskId: task.id });
  updateCommitments(state);
  if (task.service !== undefined) addToSpread(pass, getSpread(pass, pool, task.service), worker.id);
  state.counters.add('placements', { workClass: task.workClass });
  recordDecision(state, tick.now, task.id, `assign to ${worker.id}`, policyName);
}

/** Fails a task that can never run in its pool. */
function handleUnschedulable(pass: PlacementPass, pool: PoolConfig, task: TaskRow): boolean {
  const { state, tick } = pass;
  const takenMs = state.duties.get(getShardName(pool))?.takenMs ?? tick.now;
  if (task.service !== undefined || tick.now - takenMs < REPORT_GRACE_MS) return false;
  const reason = explainUnschedulable(pass, pool, task);
  if (reason === undefined) return false;
  const failure = createFailure('job_never_runs', reason);
  const next: TaskRow = { ...task, phase: 'failed', failure };
  queueTaskChange(state, getShardName(pool), next, tick.now, false);
  state.counters.add('jobs_failed', { reason: 'job_never_runs' });
  recordDecision(state, tick.now, task.id, 'fail', reason);
  return true;
}
