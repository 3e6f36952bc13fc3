import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { Resources } from '../../model/resources.ts';
import { addResources, hasRoom, NO_RESOURCES, removeResources } from '../../model/resources.ts';
import type { TaskRow } from '../../model/task.ts';
import type { WorkerRow } from '../../model/worker.ts';
import { findHeldDuty } from '../duties/shards.ts';
import { computeProofAge } from '../leases/ownerAnswer.ts';
import { hasPendingChange, queueTaskChange } from '../ledger/ledgerChanges.ts';

const WORKER_SILENCE_MS = 5_000;

/**
 * Baseline of placement: each queued task goes to the first worker of its pool with room.
 * Reads `tasks`, `workers`, `runs`, `pendingChanges`, the configuration. Writes `pendingChanges`.
 * Runs each turn after the leases.
 */
export class FirstFitPlacementSystem extends System<EntryState> {
  override readonly name = 'firstFitPlacement';

  private constructor() {
    super();
  }

  static create(): FirstFitPlacementSystem {
    return new FirstFitPlacementSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    const queued = [...state.tasks.values()].filter(
      (task) => task.phase === 'queued' && !hasPendingChange(state, task.id),
    );
    if (queued.length === 0) return;
    const free = this.computeFree(state);
    for (const task of queued) this.place(state, tick, task, free);
  }

  /** Capacity of each worker without everything assigned to it, reported by it or about to be assigned. */
  private computeFree(state: EntryState): Map<string, Resources> {
    const committed = new Map<string, Map<string, Resources>>();
    const commit = (workerId: string | undefined, task: TaskRow | undefined): void => {
      if (workerId === undefined || task === undefined) return;
      const tasks = committed.get(workerId) ?? new Map<string, Resources>();
      committed.set(workerId, tasks.set(task.id, task.demand));
    };
    for (const worker of state.workers.values()) {
      for (const task of state.tasksByWorker.list(worker.id)) commit(worker.id, task);
      for (const run of state.runsByWorker.list(worker.id))
        commit(worker.id, state.tasks.get(run.taskId));
    }
    for (const { change } of state.pendingChanges.values()) {
      if (change.kind === 'put') commit(change.task.workerId, change.task);
    }
    const free = new Map<string, Resources>();
    for (const worker of state.workers.values()) {
      const demands = [...(committed.get(worker.id)?.values() ?? [])];
      const used = demands.reduce(addResources, NO_RESOURCES);
      free.set(worker.id, removeResources(worker.capacity, used));
    }
    return free;
  }

  private place(state: EntryState, tick: Tick, task: TaskRow, free: Map<string, Resources>): void {
    const duty = findHeldDuty(state, state.taskHomes.get(task.id)?.shard);
    const { current } = state.configuration;
    const pool = current.pools.find((candidate) => candidate.name === task.pool);
    if (duty === undefined || pool === undefined) return;
    const isUsable = (worker: WorkerRow): boolean =>
      pool.zones.includes(worker.zone) &&
      computeProofAge(state, worker.zone, tick.now) !== undefined &&
      !worker.leaving &&
      !task.failedWorkers.includes(worker.id) &&
      worker.setAsideUntilMs <= tick.now &&
      tick.now - worker.lastExchangeMs < WORKER_SILENCE_MS;
    for (const worker of state.workers.values()) {
      const room = free.get(worker.id);
      if (room === undefined || !isUsable(worker) || !hasRoom(room, task.demand)) continue;
      free.set(worker.id, removeResources(room, task.demand));
      const incarnation = task.incarnation + 1;
      const { id: workerId, zone } = worker;
      const next: TaskRow = { ...task, phase: 'assigned', incarnation, workerId, zone };
      queueTaskChange(state, duty.id, next, tick.now, task.workClass !== 'ordinary');
      return;
    }
  }
}
