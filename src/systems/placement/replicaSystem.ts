import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { PoolConfig, PoolServiceConfig } from '../../model/configuration.ts';
import { getShardName } from '../../model/configuration.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { TaskRow } from '../../model/task.ts';
import { isTaskOpen } from '../../model/task.ts';
import { recordDecision } from '../decisions.ts';
import { hasPendingChange, queueTaskChange } from '../ledger/ledgerChanges.ts';
import { getPlacementInputs } from './commitmentSystem.ts';
import type { PlacementPass } from './placementPass.ts';
import { createPlacementPass, listUsableZones } from './placementPass.ts';

const PERIOD_MS = 500;
/** A replica is replaced when its worker has had no exchange for this time. */
const WORKER_UNREACHABLE_MS = 10_000;
const MAX_CREATED_PER_CHECK = 50;
/** Difference in replicas between two zones at which the emptier zone receives another replica. */
const ZONE_SKEW_LIMIT = 2;

/**
 * Reconciles the replicas of each service with their configured number.
 * Reads `configuration`, `tasks`, `workers`, `runs`. Writes `pendingChanges`, `decisions`.
 * Runs every 500 ms.
 */
export class ReplicaSystem extends System<EntryState> {
  override readonly name = 'replica';

  private constructor() {
    super();
  }

  static create(): ReplicaSystem {
    return new ReplicaSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    const { placement } = state;
    if (tick.now >= placement.replicaCheckAtMs) {
      placement.replicaCheckAtMs = tick.now + PERIOD_MS;
      const pass = createPlacementPass(state, tick);
      const proposed = listProposedReplicas(state);
      for (const pool of pass.pools.values()) {
        for (const service of pool.services) reconcileService(pass, pool, service, proposed);
      }
    }
    tick.wakeAt(placement.replicaCheckAtMs);
  }
}

/** Lists the replicas that exist only as pending changes. */
function listProposedReplicas(state: EntryState): TaskRow[] {
  const proposed: TaskRow[] = [];
  for (const { change } of state.pendingChanges.values()) {
    if (change.kind !== 'put' || change.task.service === undefined) continue;
    if (!state.tasks.has(change.task.id)) proposed.push(change.task);
  }
  return proposed;
}

function reconcileService(
  pass: PlacementPass,
  pool: PoolConfig,
  service: PoolServiceConfig,
  proposed: readonly TaskRow[],
): void {
  const { state } = pass;
  const key = `${pool.name}/${service.name}`;
  const openReplicas = getPlacementInputs(state).openByService.list(key);
  if (openReplicas.length === 0 && service.replicas === 0) return;
  const live: TaskRow[] = proposed.filter(
    (row) => row.pool === pool.name && row.service === service.name,
  );
  for (const row of openReplicas) {
    const change = state.pendingChanges.get(row.id)?.change;
    const latest = change?.kind === 'put' ? change.task : row;
    if (isReplicaLive(pass, pool, latest)) live.push(latest);
    else if (latest.stopReason !== 'retired' && !isZoneOutOfService(pass, latest))
      stopReplica(pass, pool, row, 'its worker is unreachable');
    else if (latest.phase === 'queued') stopReplica(pass, pool, row, 'it was replaced');
  }
  const missing = service.replicas - live.length;
  if (missing > 0) addReplicas(pass, pool, service, Math.min(missing, MAX_CREATED_PER_CHECK));
  else if (missing < 0) removeSurplusReplicas(pass, pool, live, -missing);
  else if (computeSkew(pass, pool, live) >= ZONE_SKEW_LIMIT) addReplicas(pass, pool, service, 1);
}

/** Whether the replica counts towards the configured number. */
export function isReplicaLive(pass: PlacementPass, pool: PoolConfig, task: TaskRow): boolean {
  if (!isTaskOpen(task) || task.stopReason === 'retired') return false;
  if (task.phase === 'queued') return true;
  if (task.stopReason !== undefined || isZoneOutOfService(pass, task)) return false;
  const takenMs = pass.state.duties.get(getShardName(pool))?.takenMs ?? 0;
  const worker = task.workerId === undefined ? undefined : pass.state.workers.get(task.workerId);
  // After a takeover a worker has this time for its first report before it counts as unreachable.
  const lastMs = Math.max(worker?.lastExchangeMs ?? 0, takenMs);
  return pass.tick.now - lastMs <= WORKER_UNREACHABLE_MS;
}

function isZoneOutOfService(pass: PlacementPass, task: TaskRow): boolean {
  return task.phase === 'assigned' && task.zone !== undefined && pass.zonesOut.has(task.zone);
}

function addReplicas(
  pass: PlacementPass,
  pool: PoolConfig,
  service: PoolServiceConfig,
  count: number,
): void {
  const { state, tick } = pass;
  if (service.demand === undefined) return;
  const shard = getShardName(pool);
  const epoch = state.duties.get(shard)?.epoch ?? 0;
  for (let added = 0; added < count; added += 1) {
    // The epoch prevents collisions with the ids of an earlier owner.
    const id = `${pool.name}.${service.name}.${epoch}.${state.placement.nextReplicaNumber}`;
    state.placement.nextReplicaNumber += 1;
    if (state.tasks.has(id)) continue;
    state.placement.lastSequence += 1;
    const task: TaskRow = {
      id,
      pool: pool.name,
      service: service.name,
      team: service.name,
      taskKind: service.taskKind ?? service.name,
      workClass: 'latency-critical',
      demand: service.demand,
      command: service.command,
      expectedSeconds: 86_400,
      value: 1,
      phase: 'queued',
      incarnation: 0,
      failedWorkers: [],
      sequence: state.placement.lastSequence,
    };
    queueTaskChange(state, shard, task, tick.now, true);
    recordDecision(state, tick.now, id, 'add replica', `${service.name} has too few replicas`);
  }
}

/** Retires queued replicas first, then the newest replica of the zone with the most replicas. */
function removeSurplusReplicas(
  pass: PlacementPass,
  pool: PoolConfig,
  live: readonly TaskRow[],
  surplus: number,
): void {
  const { runs } = pass.state;
  const isRunning = (task: TaskRow): boolean =>
    runs.get(`${task.id}#${task.incarnation}`)?.phase === 'running';
  // A replica that was added to balance the zones must run before another one is retired.
  const isRebalancing = surplus === 1 && computeSkew(pass, pool, live) >= ZONE_SKEW_LIMIT;
  if (isRebalancing && !live.every(isRunning)) return;
  const remaining = [...live];
  for (let removed = 0; removed < surplus; removed += 1) {
    const counts = countByZone(remaining);
    const rank = (task: TaskRow): number =>
      task.phase === 'queued' ? Number.POSITIVE_INFINITY : (counts.get(task.zone ?? '') ?? 0);
    remaining.sort((a, b) => compareNumbers(rank(b), rank(a)) || b.sequence - a.sequence);
    const chosen = remaining.shift();
    if (chosen !== undefined) stopReplica(pass, pool, chosen, 'more replicas than configured');
  }
}

function compareNumbers(a: number, b: number): number {
  return a === b ? 0 : a - b;
}

function countByZone(tasks: readonly TaskRow[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { zone } of tasks) {
    if (zone !== undefined) counts.set(zone, (counts.get(zone) ?? 0) + 1);
  }
  return counts;
}

/**
 * Returns the difference in assigned replicas between the usable zones with the most and the
 * fewest.
 */
function computeSkew(pass: PlacementPass, pool: PoolConfig, live: readonly TaskRow[]): number {
  if (pool.spread === 'none') return 0;
  const counts = countByZone(live.filter((task) => task.phase === 'assigned'));
  const inZones = listUsableZones(pass, pool).map((zone) => counts.get(zone) ?? 0);
  return inZones.length < 2 ? 0 : Math.max(...inZones) - Math.min(...inZones);
}

/**
 * Retires a replica. A queued one is cancelled; an assigned one is closed when its stop is proven.
 */
export function stopReplica(
  pass: PlacementPass,
  pool: PoolConfig,
  task: TaskRow,
  reason: string,
): void {
  const { state, tick } = pass;
  if (hasPendingChange(state, task.id)) return;
  const next: TaskRow =
    task.phase === 'queued' ? { ...task, phase: 'cancelled' } : { ...task, stopReason: 'retired' };
  queueTaskChange(state, getShardName(pool), next, tick.now, false);
  recordDecision(state, tick.now, task.id, 'retire', reason);
}
