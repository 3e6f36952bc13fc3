import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { EvacuationRow } from '../../model/placement.ts';
import type { TaskRow } from '../../model/task.ts';
import { recordDecision } from '../decisions.ts';
import { hasPendingChange, queueTaskChange } from '../ledger/ledgerChanges.ts';
import { getPlacementInputs } from '../placement/commitmentSystem.ts';
import type { PlacementPass } from '../placement/placementPass.ts';
import { createPlacementPass, getTaskShard } from '../placement/placementPass.ts';
import { isReplicaLive, stopReplica } from '../placement/replicaSystem.ts';
import type { EvacuationPolicy } from './evacuationPolicy.ts';

const PERIOD_MS = 200;
/** After this time replicas stop even without a replacement. */
const REPLACEMENT_TIMEOUT_MS = 120_000;
/** Limits the ledger changes of one tick when a large zone goes out of service. */
const MAX_STOPS_PER_TICK = 500;

/**
 * Drains zones that are out of service.
 * Reads `configuration`, `tasks`, `runs`. Writes `evacuations`, `pendingChanges`, `decisions`.
 * Runs each tick; does nothing while all zones are in service.
 */
export class EvacuationSystem extends System<EntryState> {
  override readonly name = 'evacuation';

  private constructor(private readonly policy: EvacuationPolicy) {
    super();
  }

  static create(policy: EvacuationPolicy): EvacuationSystem {
    return new EvacuationSystem(policy);
  }

  override run(state: EntryState, tick: Tick): void {
    const pass = createPlacementPass(state, tick);
    for (const { id } of state.placement.evacuations.values()) {
      // The zone is back in service: its tasks stay, and the next outage starts a new evacuation.
      if (!pass.zonesOut.has(id)) state.placement.evacuations.remove(id);
    }
    for (const zone of pass.zonesOut) this.drainZone(pass, zone);
  }

  private drainZone(pass: PlacementPass, zone: string): void {
    const { state, tick } = pass;
    const tasks = getPlacementInputs(state)
      .assignedByZone.list(zone)
      .filter((task) => pass.pools.has(task.pool));
    if (tasks.length === 0) return;
    const evacuation = this.getEvacuation(state, zone, tasks.length, tick.now);
    tick.wakeAt(tick.now + PERIOD_MS);
    this.drainReplicas(pass, evacuation, tasks);
    const batch = tasks.filter((task) => task.service === undefined);
    const changeable = batch.filter((task) => !hasPendingChange(state, task.id));
    // A pending stop counts as stopping, so the limit of a quarter holds while writes are slow.
    const pending = batch.length - changeable.length;
    const stops = this.policy.listTasksToStop(pass, evacuation, changeable);
    const count = this.policy.replacesReplicasFirst
      ? Math.max(0, stops.length - pending)
      : stops.length;
    for (const task of stops.slice(0, Math.min(count, MAX_STOPS_PER_TICK))) {
      this.stopTask(pass, task, zone);
    }
  }

  private getEvacuation(
    state: EntryState,
    zone: string,
    initialTaskCount: number,
    nowMs: number,
  ): EvacuationRow {
    const existing = state.placement.evacuations.get(zone);
    if (existing !== undefined) return existing;
    const row: EvacuationRow = { id: zone, sinceMs: nowMs, initialTaskCount };
    state.placement.evacuations.set(row);
    recordDecision(
      state,
      nowMs,
      zone,
      'evacuate',
      `${initialTaskCount} tasks, ${this.policy.name}`,
    );
    return row;
  }

  private stopTask(pass: PlacementPass, task: TaskRow, zone: string): void {
    const { state, tick } = pass;
    const next: TaskRow = { ...task, stopReason: 'zone-out' };
    queueTaskChange(state, getTaskShard(pass, task), next, tick.now, false);
    state.counters.add('evictions', { reason: 'zone-out' });
    recordDecision(state, tick.now, task.id, 'move', `zone ${zone} is out of service`);
  }

  /** Retires as many replicas as have a running replacement in another zone. */
  private drainReplicas(
    pass: PlacementPass,
    evacuation: EvacuationRow,
    tasks: readonly TaskRow[],
  ): void {
    const { state, tick } = pass;
    const isOverdue = tick.now - evacuation.sinceMs >= REPLACEMENT_TIMEOUT_MS;
    const surplusByService = new Map<string, number>();
    for (const task of tasks) {
      const pool = pass.pools.get(task.pool);
      if (task.service === undefined || pool === undefined) continue;
      if (task.stopReason !== undefined || hasPendingChange(state, task.id)) continue;
      const key = `${task.pool}/${task.service}`;
      const surplus = surplusByService.get(key) ?? this.countSurplus(pass, task.pool, task.service);
      surplusByService.set(key, surplus - 1);
      if (surplus > 0 || isOverdue || !this.policy.replacesReplicasFirst)
        stopReplica(pass, pool, task, `zone ${evacuation.id} is out of service`);
    }
  }

  /** Counts the replicas of the service in all zones beyond the configured number. */
  private countSurplus(pass: PlacementPass, poolName: string, service: string): number {
    const { state } = pass;
    const pool = pass.pools.get(poolName);
    const replicas = pool?.services.find((row) => row.name === service)?.replicas ?? 0;
    let running = 0;
    for (const task of getPlacementInputs(state).openByService.values(`${poolName}/${service}`)) {
      if (pool === undefined || task.phase !== 'assigned' || task.stopReason !== undefined)
        continue;
      const isZoneOut = task.zone !== undefined && pass.zonesOut.has(task.zone);
      const isRunning = state.runs.get(`${task.id}#${task.incarnation}`)?.phase === 'running';
      const isCounted = isZoneOut
        ? !hasPendingChange(state, task.id)
        : isRunning && isReplicaLive(pass, pool, task);
      if (isCounted) running += 1;
    }
    return running - replicas;
  }
}
