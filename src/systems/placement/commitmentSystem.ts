import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { ClaimRow, PlacementInputs, QueueRow } from '../../model/placement.ts';
import type { Resources } from '../../model/resources.ts';
import {
  addResources,
  hasSameResources,
  NO_RESOURCES,
  removeResources,
} from '../../model/resources.ts';
import type { RunRow } from '../../model/run.ts';
import { formatRunId } from '../../model/run.ts';
import type { TaskRow } from '../../model/task.ts';
import { isTaskOpen } from '../../model/task.ts';
import type { WorkerRow } from '../../model/worker.ts';

/** Limits the tick duration when many tasks are cancelled or restarted at once. */
const MAX_RELEASES_PER_TICK = 120;

/**
 * Updates claims, committed demand, quota use and queues from the ledger, the pending changes and
 * the reported runs.
 * Reads `tasks`, `pendingChanges`, `runs`, `workers`. Writes `claims`, `commitments`, `quotaUse`,
 * `queues`.
 * Runs each tick before the systems that place or stop tasks; its cost is proportional to the changes.
 */
export class CommitmentSystem extends System<EntryState> {
  override readonly name = 'commitment';

  private constructor() {
    super();
  }

  static create(): CommitmentSystem {
    return new CommitmentSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    state.placement.releaseBudget = MAX_RELEASES_PER_TICK;
    updateCommitments(state);
    if (getPlacementInputs(state).deferredTasks.size > 0) tick.wakeAt(tick.now + 1);
  }
}

/** Applies the changes since the last call to the derived tables. */
export function updateCommitments(state: EntryState): void {
  const inputs = getPlacementInputs(state);
  const taskIds = collectTasksToUpdate(state, inputs);
  const workerIds = new Set<string>();
  for (const workerId of inputs.changedWorkers) {
    if (!isCommitmentCurrent(state, workerId)) workerIds.add(workerId);
  }
  for (const id of inputs.changedTasks) updateQueue(state, id);
  for (const id of taskIds) updateClaims(state, id, workerIds);
  for (const id of workerIds) updateCommitment(state, id);
  for (const changes of [inputs.changedTasks, inputs.changedPendingTasks, inputs.changedRuns]) {
    changes.clear();
  }
  inputs.changedWorkers.clear();
  if (taskIds.size + workerIds.size > 0) state.placement.retryAtMs = 0;
}

/** Returns the tasks to update now and defers the others to the budget of a later tick. */
function collectTasksToUpdate(state: EntryState, inputs: PlacementInputs): Set<string> {
  const taskIds = new Set<string>();
  const endedTasks = new Set<string>();
  for (const runId of inputs.changedRuns) {
    const run = state.runs.get(runId);
    const isLive = run !== undefined && isRunLive(run);
    // A live run without a claim uses capacity that no commitment counts, so it is not deferred.
    if (!isLive) endedTasks.add(parseTaskId(runId));
    else if (!state.placement.claims.has(runId)) taskIds.add(run.taskId);
  }
  // Without a budget no deferred task can be updated, so the set is not iterated.
  const deferred = state.placement.releaseBudget > 0 ? inputs.deferredTasks : [];
  for (const changes of [deferred, inputs.changedTasks, inputs.changedPendingTasks, endedTasks]) {
    for (const id of changes) {
      if (taskIds.has(id)) continue;
      if (!isRelease(state, id)) taskIds.add(id);
      else if (state.placement.releaseBudget > 0) {
        state.placement.releaseBudget -= 1;
        taskIds.add(id);
      } else inputs.deferredTasks.add(id);
    }
  }
  for (const id of taskIds) inputs.deferredTasks.delete(id);
  return taskIds;
}

/**
 * Whether the change can only release capacity. Such a change may be deferred, because until then
 * more is committed than needed. A task without claims may be new to this owner and is not deferred.
 */
function isRelease(state: EntryState, taskId: string): boolean {
  if (state.placement.claimsByTask.count(taskId) === 0) return false;
  const change = state.pendingChanges.get(taskId)?.change;
  const latest = change?.kind === 'put' ? change.task : state.tasks.get(taskId);
  return latest?.phase !== 'assigned' || latest.stopReason !== undefined;
}

function isSameClaim(previous: RunRow | undefined, next: RunRow | undefined): boolean {
  if (previous === undefined || next === undefined) return false;
  if (previous.workerId !== next.workerId) return false;
  return previous.phase === next.phase || (isRunLive(previous) && isRunLive(next));
}

function isRunLive({ phase }: RunRow): boolean {
  return phase === 'running' || phase === 'suspended' || phase === 'unconfirmed';
}

function isSameCapacity(previous: WorkerRow | undefined, next: WorkerRow | undefined): boolean {
  if (previous === undefined || next === undefined) return false;
  if (previous.zone !== next.zone) return false;
  return previous.capacity === next.capacity || hasSameResources(previous.capacity, next.capacity);
}

export function getPlacementInputs(state: EntryState): PlacementInputs {
  const { placement, tasks, pendingChanges, runs, workers } = state;
  placement.inputs ??= {
    changedTasks: tasks.addChangeSet(),
    changedPendingTasks: pendingChanges.addChangeSet(),
    deferredTasks: new Set(),
    // Lease renewals replace every run and worker row each second without changing a claim.
    changedRuns: runs.addChangeSet((a, b) => !isSameClaim(a, b)),
    changedWorkers: workers.addChangeSet((a, b) => !isSameCapacity(a, b)),
    runsToEvaluate: runs.addChangeSet(
      (_, next) =>
        next !== undefined && (next.phase === 'failed' || placement.health.has(next.workerId)),
    ),
    runsByTask: runs.addIndex((row) => row.taskId),
    workersByZone: workers.addIndex((row) => row.zone),
    workersByRack: workers.addIndex((row) => `${row.zone}/${row.rack}`),
    assignedByZone: tasks.addIndex((row) => (row.phase === 'assigned' ? row.zone : undefined)),
    openByService: tasks.addIndex((row) =>
      row.service !== undefined && (row.phase === 'queued' || row.phase === 'assigned')
        ? `${row.pool}/${row.service}`
        : undefined,
    ),
  };
  return placement.inputs;
}

/** Computes the claims of a task from the source tables. */
export function listTaskClaims(state: EntryState, taskId: string): ClaimRow[] {
  const claims = new Map<string, ClaimRow>();
  const task = state.tasks.get(taskId);
  const change = state.pendingChanges.get(taskId)?.change;
  const proposed = change?.kind === 'put' ? change.task : undefined;
  const latest = proposed ?? task;
  for (const row of [task, proposed]) {
    if (row?.phase !== 'assigned' || row.workerId === undefined) continue;
    const claim = buildClaim(row, row.workerId, row.incarnation, row.demand, true);
    claims.set(claim.id, claim);
  }
  for (const run of getPlacementInputs(state).runsByTask.values(taskId)) {
    if (run.phase === 'stopped' || run.phase === 'finished' || run.phase === 'failed') continue;
    if (claims.has(run.id)) continue;
    // The demand of a run without a ledger row is unknown, so it claims the whole worker.
    const demand = latest?.demand ?? state.workers.get(run.workerId)?.capacity ?? NO_RESOURCES;
    claims.set(run.id, buildClaim(latest, run.workerId, run.incarnation, demand, false, taskId));
  }
  return [...claims.values()];
}

function buildClaim(
  task: TaskRow | undefined,
  workerId: string,
  incarnation: number,
  demand: Resources,
  isCurrent: boolean,
  taskId = task?.id ?? '',
): ClaimRow {
  return {
    id: formatRunId(taskId, incarnation),
    taskId,
    workerId,
    pool: task?.pool ?? '',
    team: task?.team ?? '',
    service: task?.service,
    taskKind: task?.taskKind ?? '',
    workClass: task?.workClass ?? 'latency-critical',
    demand,
    isCurrent,
    isStopping: !isCurrent || task?.stopReason !== undefined,
  };
}

function updateClaims(state: EntryState, taskId: string, workerIds: Set<string>): void {
  const { claims, claimsByTask } = state.placement;
  const nextClaims = listTaskClaims(state, taskId);
  for (const claim of claimsByTask.list(taskId)) {
    if (nextClaims.some((other) => other.id === claim.id)) continue;
    claims.remove(claim.id);
    if (claim.isCurrent) addQuotaUse(state, claim, -1);
    workerIds.add(claim.workerId);
  }
  for (const claim of nextClaims) {
    const previous = claims.get(claim.id);
    if (previous?.isCurrent === true) addQuotaUse(state, previous, -1);
    if (previous !== undefined) workerIds.add(previous.workerId);
    claims.set(claim);
    if (claim.isCurrent) addQuotaUse(state, claim, 1);
    workerIds.add(claim.workerId);
  }
}

function addQuotaUse(state: EntryState, claim: ClaimRow, sign: 1 | -1): void {
  const id = `${claim.pool}/${claim.team}`;
  const used = state.placement.quotaUse.get(id)?.used ?? NO_RESOURCES;
  const next = sign === 1 ? addResources(used, claim.demand) : removeResources(used, claim.demand);
  state.placement.quotaUse.set({ id, used: { ...next, cores: roundCores(next.cores) } });
}

/** Removes the binary rounding error of repeated sums and differences of fractional cores. */
function roundCores(cores: number): number {
  return Math.round(cores * 1e6) / 1e6;
}

/** Recomputes the sum of a worker's claims, so that no rounding error accumulates. */
function updateCommitment(state: EntryState, workerId: string): void {
  const worker = state.workers.get(workerId);
  if (worker === undefined) {
    state.placement.commitments.remove(workerId);
    return;
  }
  let demand = NO_RESOURCES;
  const poolCores = new Map<string, number>();
  const claims = state.placement.claimsByWorker.list(workerId);
  for (const claim of claims) {
    demand = addResources(demand, claim.demand);
    poolCores.set(claim.pool, (poolCores.get(claim.pool) ?? 0) + claim.demand.cores);
  }
  const freeCores = roundCores(worker.capacity.cores - demand.cores);
  state.placement.commitments.set({
    id: workerId,
    zone: worker.zone,
    demand,
    poolCores,
    freeCores,
    claims,
  });
}

function updateQueue(state: EntryState, taskId: string): void {
  const task = state.tasks.get(taskId);
  const { placement } = state;
  if (task !== undefined) placement.lastSequence = Math.max(placement.lastSequence, task.sequence);
  if (task === undefined || !isTaskOpen(task)) placement.sizeFactors.remove(taskId);
  // The scheduling pass removes the entries of tasks that are no longer queued.
  if (task?.phase !== 'queued') return;
  const id = `${task.workClass}/${task.pool}/${task.team}`;
  let queue = placement.queues.get(id);
  if (queue === undefined) {
    const { workClass, pool, team } = task;
    queue = { id, workClass, pool, team, entries: [], cursor: 0 };
    placement.queues.set(queue);
  }
  insertQueueEntry(queue, task);
}

function insertQueueEntry(queue: QueueRow, task: TaskRow): void {
  const { entries } = queue;
  let low = 0;
  let high = entries.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    const entry = entries[middle];
    if (entry !== undefined && entry.sequence < task.sequence) low = middle + 1;
    else high = middle;
  }
  for (let at = low; entries[at]?.sequence === task.sequence; at += 1) {
    if (entries[at]?.id === task.id) return;
  }
  entries.splice(low, 0, { id: task.id, sequence: task.sequence });
  if (low < queue.cursor) queue.cursor = low;
}

/** Whether the commitment already has the zone and the free cores of the worker's row. */
function isCommitmentCurrent(state: EntryState, workerId: string): boolean {
  const worker = state.workers.get(workerId);
  const commitment = state.placement.commitments.get(workerId);
  if (worker === undefined || commitment === undefined) return false;
  const freeCores = roundCores(worker.capacity.cores - commitment.demand.cores);
  return commitment.zone === worker.zone && commitment.freeCores === freeCores;
}

function parseTaskId(runId: string): string {
  return runId.slice(0, runId.lastIndexOf('#'));
}
