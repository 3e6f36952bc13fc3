import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { MaintenanceRow, WaveRow } from '../../model/scheduler/fleet.ts';
import {
  hasInstanceList,
  isCountedAsDown,
  isTransferPending,
  isCommandComplete,
} from '../../model/scheduler/fleet.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { computeCommandsAllowedFrom } from './fleetCalls.ts';
import { countInstanceRuns, drainInstance, listInstanceRuns } from './instanceDrain.ts';
import { receiveCommandReplies, sendMaintenanceCommand } from './maintenanceCommands.ts';
import type { MaintenanceCandidate, MaintenancePolicy } from './maintenancePolicy.ts';
import { canEvict } from './availability.ts';
import { logEvent, recordDuration } from './storeCalls.ts';
import { recordWaveChange } from './waveChanges.ts';

/**
 * Interval of checks; stops and ends of tasks take tens of milliseconds, an instance is down for
 * seconds.
 */
const CHECK_INTERVAL_MS = 100;
const MAINTENANCE_REASON = 'its instance is about to go into maintenance';
const TRANSFER_REASON = 'its instance is about to move to another pool';

/**
 * Maintains the instances of the operator's waves: drains each instance first and never takes more
 * down at one time than a wave allows. Reads the fleet's tables and runs; writes
 * `fleet.maintenance` and `fleet.cordonedWorkers`, requests stops and sends commands. Runs after
 * the wave system, before placement.
 */
export class MaintenanceSystem extends System<SchedulerState> {
  override readonly name = 'maintenance';

  private constructor(private readonly policy: MaintenancePolicy) {
    super();
  }

  static create(policy: MaintenancePolicy): MaintenanceSystem {
    return new MaintenanceSystem(policy);
  }

  override run(state: SchedulerState, tick: Tick): void {
    const { fleet } = state;
    // An entry that gave up the ownership earlier in this tick has no runs in its tables any more.
    if (state.ownership.role !== 'owner') return;
    if (fleet.waves.size === 0 && fleet.transfers.size === 0 && fleet.cordonedWorkers.size === 0)
      return;
    receiveCommandReplies(state, tick.now);
    for (const wave of fleet.waves.list()) {
      this.updateReturned(state, wave, tick.now);
      if (wave.phase === 'running') this.advanceWave(state, wave, tick);
    }
    this.updateCordonedWorkers(state);
  }

  private advanceWave(state: SchedulerState, wave: WaveRow, tick: Tick): void {
    const rows = state.fleet.maintenanceByWave.list(wave.id);
    if (rows.every(isCommandComplete)) {
      this.completeWave(state, wave, rows, tick.now);
      return;
    }
    const allowedDrains = wave.wave.maxDown - rows.filter(isCountedAsDown).length;
    this.startDrains(state, wave, rows, allowedDrains, tick.now);
    for (const row of state.fleet.maintenanceByWave.list(wave.id)) {
      if (row.phase === 'draining') this.drain(state, wave, row, tick.now);
      const isStored = wave.storedChange >= row.reservedChange;
      if (row.phase === 'reserved' && isStored)
        state.fleet.maintenance.update(row.id, { phase: 'ordered' });
      if (state.fleet.maintenance.get(row.id)?.phase === 'ordered')
        this.sendCommand(state, wave, row.id, tick);
    }
    tick.wakeAt(tick.now + CHECK_INTERVAL_MS);
  }

  private completeWave(
    state: SchedulerState,
    { id, startedAt, wave }: WaveRow,
    rows: readonly MaintenanceRow[],
    now: number,
  ): void {
    state.fleet.waves.update(id, { phase: 'completed' });
    recordWaveChange(state, id);
    const tookMs = Math.round(now - startedAt);
    recordDuration(state, 'wave_duration_ms', tookMs);
    state.counters.add('waves_completed', { late: String(tookMs > wave.withinMs) });
    logEvent(state, 'info', 'wave_completed', {
      wave: id,
      instances: rows.length,
      gone: rows.filter(({ phase }) => phase === 'gone').length,
      tookMs,
      withinMs: wave.withinMs,
    });
  }

  /** Marks instances as back when a list that was requested after their maintenance shows it. */
  private updateReturned(state: SchedulerState, wave: WaveRow, now: number): void {
    const { fleet, bounds } = state;
    for (const row of fleet.maintenanceByWave.list(wave.id)) {
      if (row.phase !== 'begun') continue;
      if (fleet.list.completeRequestedAt <= row.begunAt + bounds.maintenanceMs) continue;
      if (fleet.instances.get(row.instanceId)?.state === 'maintenance') continue;
      fleet.maintenance.update(row.id, { phase: 'back' });
      logEvent(state, 'info', 'maintenance_over', {
        wave: row.waveId,
        instance: row.instanceId,
        state: fleet.instances.get(row.instanceId)?.state ?? 'not listed',
        downMs: Math.round(now - row.begunAt),
      });
    }
  }

  private startDrains(
    state: SchedulerState,
    wave: WaveRow,
    rows: readonly MaintenanceRow[],
    allowedDrains: number,
    now: number,
  ): void {
    const rowsByInstance = new Map(rows.map((row) => [row.instanceId, row]));
    let candidates = allowedDrains > 0 ? this.listCandidates(state, rows, now) : [];
    for (let remaining = allowedDrains; remaining > 0; remaining -= 1) {
      const chosen = this.policy.choose(candidates);
      const row = rowsByInstance.get(chosen?.instanceId ?? '');
      if (chosen === undefined || row === undefined) return;
      candidates = candidates.filter((other) => other !== chosen);
      const stopAt = this.policy.computeStopAt({
        now,
        deadlineAt: wave.startedAt + wave.wave.withinMs,
        remainingCount: rows.filter((other) => !isCommandComplete(other)).length,
        maxDown: wave.wave.maxDown,
        maintenanceMs: state.bounds.maintenanceMs,
      });
      state.fleet.maintenance.update(row.id, { phase: 'draining', stopAt });
      logEvent(state, 'info', 'maintenance_draining', {
        wave: wave.id,
        instance: row.instanceId,
        lasting: chosen.longRunning,
        ending: chosen.finite,
        waitMs: Math.round(stopAt - now),
        placesLeft: remaining - 1,
      });
    }
  }

  /**
   * Lists the instances that may be drained now: those listed as up, and those that are no longer
   * listed and have nothing to drain.
   */
  private listCandidates(
    state: SchedulerState,
    rows: readonly MaintenanceRow[],
    now: number,
  ): MaintenanceCandidate[] {
    const { fleet } = state;
    if (!hasInstanceList(fleet)) return [];
    const busyInstances = new Set<string>();
    for (const row of fleet.maintenance.values())
      if (isCountedAsDown(row)) busyInstances.add(row.instanceId);
    for (const row of fleet.transfers.values())
      if (isTransferPending(row)) busyInstances.add(row.id);
    return rows.flatMap(({ phase, instanceId, retryAt }) => {
      if (phase !== 'waiting' || now < retryAt || busyInstances.has(instanceId)) return [];
      if ((fleet.instances.get(instanceId)?.state ?? 'up') !== 'up') return [];
      return [describeCandidate(state, instanceId)];
    });
  }

  private drain(state: SchedulerState, wave: WaveRow, row: MaintenanceRow, now: number): void {
    const urgentAt = wave.startedAt + wave.wave.withinMs / 2;
    drainInstance(state, row.instanceId, {
      isStopDue: now >= row.stopAt,
      isUrgent: now >= urgentAt,
      now,
    });
    if (countInstanceRuns(state, row.instanceId) > 0) return;
    const reservedChange = recordWaveChange(state, wave.id);
    state.fleet.maintenance.update(row.id, { phase: 'reserved', reservedChange });
  }

  /** Sends the command to an instance without runs and repeats it until it is answered. */
  private sendCommand(state: SchedulerState, wave: WaveRow, rowId: string, tick: Tick): void {
    const row = state.fleet.maintenance.get(rowId);
    if (row?.callId !== '' || tick.now < row.retryAt || !hasInstanceList(state.fleet)) return;
    // After a takeover the owner may have placed tasks before it loaded the wave.
    drainInstance(state, row.instanceId, { isStopDue: true, isUrgent: true, now: tick.now });
    if (countInstanceRuns(state, row.instanceId) > 0) return;
    const commandsAllowedFrom = computeCommandsAllowedFrom(state, tick.now);
    if (tick.now < commandsAllowedFrom) tick.wakeAt(commandsAllowedFrom);
    else sendMaintenanceCommand(state, row, wave.wave.number);
  }

  private updateCordonedWorkers({ fleet }: SchedulerState): void {
    fleet.cordonedWorkers.clear();
    const closeWorker = (instanceId: string, reason: string): void => {
      const workerId = fleet.instances.get(instanceId)?.workerId ?? '';
      if (workerId !== '') fleet.cordonedWorkers.set(workerId, reason);
    };
    for (const row of fleet.maintenance.values())
      if (isCountedAsDown(row)) closeWorker(row.instanceId, MAINTENANCE_REASON);
    for (const row of fleet.transfers.values())
      if (isTransferPending(row)) closeWorker(row.id, TRANSFER_REASON);
  }
}

function describeCandidate(state: SchedulerState, instanceId: string): MaintenanceCandidate {
  let longRunning = 0;
  let required = 0;
  let finite = 0;
  for (const run of listInstanceRuns(state, instanceId)) {
    const task = state.tasks.get(run.taskId);
    if (task === undefined || !run.step.longRunning) finite += 1;
    else {
      longRunning += 1;
      if (!canEvict(state, task)) required += 1;
    }
  }
  return { instanceId, longRunning, required, finite };
}
