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
import { explainNeverRuns, findBrokenBound, hasQuotaRoom } from './placementBounds.ts';
import type { PlacementPolicy } from './placementPolicy.ts';
import type { PlacementTurn } from './placementTurn.ts';
import { addToSpread, createPlacementTurn, getSpread } from './placementTurn.ts';
import { placeByPreemption } from './preemption.ts';
import { computePlacedDemand, recordSizeFactor } from './sizeCorrection.ts';
import { takeFairQueue } from './teamOrder.ts';

/** Starts decided in one turn; bounds the length of a turn under a flood of work. */
const MAX_STARTS_PER_TURN = 12;
/** Queue entries looked at per class and turn, so that a blocked class does not starve the next. */
const MAX_PROBES_PER_CLASS = 300;
const RETRY_PERIOD_MS = 250;
const CONTINUE_DELAY_MS = 5;
/** Workers report within this time of a takeover; before it a task that fits none may still fit. */
const REPORT_GRACE_MS = 15_000;
const CLASS_ORDER: readonly WorkClass[] = ['latency-critical', 'urgent', 'ordinary'];

interface TurnBudget {
  starts: number;
  probes: number;
  /** Shapes of demand that found no room in this turn. */
  readonly blocked: Set<string>;
}

/**
 * Assigns queued tasks to workers.
 * Reads `queues`, `tasks`, `workers`, `commitments`, `quotaUse`. Writes `pendingChanges`,
 * `reservations`, `startPaces`, `decisions`.
 * Runs each turn after the commitments; a turn does a bounded amount of work and asks for another.
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
    const turn = createPlacementTurn(state, tick);
    if (turn.pools.size === 0) return;
    for (const reservation of state.placement.reservations.values()) {
      const isWaiting = state.tasks.get(reservation.id)?.phase === 'queued';
      if (reservation.untilMs <= tick.now || !isWaiting)
        state.placement.reservations.remove(reservation.id);
    }
    if (tick.now < state.placement.retryAtMs) {
      tick.wakeAt(state.placement.retryAtMs);
      return;
    }
    this.placeQueued(turn);
  }

  private placeQueued(turn: PlacementTurn): void {
    const budget: TurnBudget = { starts: MAX_STARTS_PER_TURN, probes: 0, blocked: new Set() };
    let hasMore = false;
    for (const workClass of CLASS_ORDER) {
      budget.probes = MAX_PROBES_PER_CLASS;
      this.placeClass(turn, workClass, budget);
      if (budget.probes <= 0 || budget.starts <= 0) hasMore = true;
    }
    const { state, tick } = turn;
    const isWaiting = [...state.placement.queues.values()].some((row) => row.entries.length > 0);
    if (!hasMore && !isWaiting) return;
    state.placement.retryAtMs = tick.now + (hasMore ? CONTINUE_DELAY_MS : RETRY_PERIOD_MS);
    tick.wakeAt(state.placement.retryAtMs);
  }

  private placeClass(turn: PlacementTurn, workClass: WorkClass, budget: TurnBudget): void {
    const open = [...turn.state.placement.queues.values()].filter(
      (queue) => queue.workClass === workClass && turn.pools.has(queue.pool),
    );
    while (budget.starts > 0 && budget.probes > 0) {
      const queue = takeFairQueue(turn, open);
      if (queue === undefined) return;
      this.placeNext(turn, queue, budget);
    }
  }

  /** Looks along the queue from its cursor until a task is placed, the budget is used or it ends. */
  private placeNext(turn: PlacementTurn, queue: QueueRow, budget: TurnBudget): void {
    const pool = turn.pools.get(queue.pool);
    if (pool === undefined) return;
    while (queue.cursor < queue.entries.length && budget.probes > 0) {
      budget.probes -= 1;
      const entry = queue.entries[queue.cursor];
      const task = entry === undefined ? undefined : turn.state.tasks.get(entry.id);
      if (task?.phase !== 'queued') {
        queue.entries.splice(queue.cursor, 1);
        continue;
      }
      queue.cursor += 1;
      if (hasPendingChange(turn.state, task.id) || task.stopReason === 'retired') continue;
      if (this.placeTask(turn, pool, task, budget)) return;
    }
  }

  private placeTask(
    turn: PlacementTurn,
    pool: PoolConfig,
    task: TaskRow,
    budget: TurnBudget,
  ): boolean {
    const demand = computePlacedDemand(turn, pool, task);
    const reserved = this.findReservedWorker(turn, pool, task, demand);
    const shape = formatShape(task, demand);
    if (reserved === undefined && budget.blocked.has(shape)) {
      recordWait(
        turn.state,
        task.id,
        `other tasks of its kind and team wait for room in ${pool.name}`,
      );
      return false;
    }
    if (!hasQuotaRoom(turn, pool, task.team, demand)) {
      const isOver = handleNeverRuns(turn, pool, task);
      if (!isOver) recordWait(turn.state, task.id, `the quota of team ${task.team} is used up`);
      budget.blocked.add(shape);
      return false;
    }
    const worker = reserved ?? this.policy.chooseWorker(turn, pool, task, demand);
    if (worker !== undefined) {
      queueAssignment(turn, pool, task, demand, worker, this.policy.name);
      budget.starts -= 1;
      return true;
    }
    const isHandled =
      handleNeverRuns(turn, pool, task) || placeByPreemption(turn, pool, task, demand);
    if (!isHandled) {
      budget.blocked.add(shape);
      recordWait(turn.state, task.id, `no worker of pool ${pool.name} has room for the task now`);
    }
    return false;
  }

  private findReservedWorker(
    turn: PlacementTurn,
    pool: PoolConfig,
    task: TaskRow,
    demand: Resources,
  ): WorkerRow | undefined {
    const reservation = turn.state.placement.reservations.get(task.id);
    const worker =
      reservation === undefined ? undefined : turn.state.workers.get(reservation.workerId);
    if (worker === undefined) return undefined;
    return findBrokenBound(turn, pool, task, demand, worker) === undefined ? worker : undefined;
  }
}

/** Tasks with the same shape find room on the same workers. */
function formatShape(task: TaskRow, demand: Resources): string {
  const { cores, memoryMb, accelerators } = demand;
  const place = `${task.pool}|${task.team}|${task.service ?? ''}|${task.failedWorkers.join(',')}`;
  return `${place}|${cores}|${memoryMb}|${accelerators}`;
}

function queueAssignment(
  turn: PlacementTurn,
  pool: PoolConfig,
  task: TaskRow,
  demand: Resources,
  worker: WorkerRow,
  policyName: string,
): void {
  const { state, tick } = turn;
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
  const pace = state.placement.startPaces.get(worker.id);
  const previousMs = pace?.lastMs ?? Number.NEGATIVE_INFINITY;
  state.placement.startPaces.set({ id: worker.id, lastMs: tick.now, previousMs });
  const health = state.placement.health.get(worker.id);
  if (health?.isOnTrial === true)
    state.placement.health.update(worker.id, { trialTaskId: task.id });
  updateCommitments(state);
  if (task.service !== undefined) addToSpread(turn, getSpread(turn, pool, task.service), worker.id);
  state.counters.add('placements', { workClass: task.workClass });
  recordDecision(state, tick.now, task.id, `assign to ${worker.id}`, policyName);
}

/** Fails a task that no worker of its pool could ever hold. */
function handleNeverRuns(turn: PlacementTurn, pool: PoolConfig, task: TaskRow): boolean {
  const { state, tick } = turn;
  const takenMs = state.duties.get(getShardName(pool))?.takenMs ?? tick.now;
  if (task.service !== undefined || tick.now - takenMs < REPORT_GRACE_MS) return false;
  const reason = explainNeverRuns(turn, pool, task);
  if (reason === undefined) return false;
  const failure = createFailure('job_never_runs', reason);
  const next: TaskRow = { ...task, phase: 'failed', failure };
  queueTaskChange(state, getShardName(pool), next, tick.now, false);
  state.counters.add('jobs_failed', { reason: 'job_never_runs' });
  recordDecision(state, tick.now, task.id, 'fail', reason);
  return true;
}
