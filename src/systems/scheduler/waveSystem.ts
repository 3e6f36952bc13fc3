import { parseValue } from '../../base/common/parse.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { MaintenanceRow, WaveRow } from '../../model/scheduler/fleet.ts';
import { formatMaintenanceId, isCommandComplete } from '../../model/scheduler/fleet.ts';
import { STORE_KEYS } from '../../model/scheduler/jobRecord.ts';
import type { MaintenanceWave, WaveProgress } from '../../model/scheduler/maintenanceWave.ts';
import { waveProgressSchema } from '../../model/scheduler/maintenanceWave.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import type { StoreEntry, StoreReply } from '../../model/store.ts';
import { listStoreReplies, logEvent, sendStoreCall } from './storeCalls.ts';
import { recordUnreadableEntry } from './unreadableEntries.ts';
import { recordWaveChange } from './waveChanges.ts';

const READ = 'waveRead';
const WRITE = 'waveWrite';
const CALL_TIMEOUT_MS = 1_000;
const RETRY_MS = 300;

/**
 * Keeps a row for each wave of the operator, loads its stored progress and stores every change
 * together with the status that the operator reads. Reads `operator.waves` and store replies; writes
 * `fleet.waves` and `fleet.maintenance`. Runs before the maintenance system.
 */
export class WaveSystem extends System<SchedulerState> {
  override readonly name = 'wave';

  private constructor() {
    super();
  }

  static create(): WaveSystem {
    return new WaveSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'owner') return;
    this.updateWaves(state, tick.now);
    for (const { callId, reply } of listStoreReplies(state, READ))
      this.receiveProgress(state, callId, reply, tick.now);
    for (const { callId, reply } of listStoreReplies(state, WRITE))
      this.receiveWrite(state, callId, reply, tick.now);
    for (const row of state.fleet.waves.list()) this.sendCall(state, row, tick);
  }

  /** Applies the operator's keys: new, changed and withdrawn waves. */
  private updateWaves(state: SchedulerState, now: number): void {
    const { fleet, operator } = state;
    for (const row of fleet.waves.list()) {
      const wave = operator.waves.get(row.id);
      if (wave === undefined) this.removeWave(state, row);
      else if (wave !== row.wave) this.updateWave(state, row, wave);
    }
    for (const [id, wave] of operator.waves)
      if (!fleet.waves.has(id)) addWave(state, id, wave, now);
  }

  private removeWave(state: SchedulerState, row: WaveRow): void {
    const { fleet } = state;
    logEvent(state, 'info', 'wave_withdrawn', { wave: row.id, phase: row.phase });
    for (const { id } of fleet.maintenanceByWave.list(row.id)) fleet.maintenance.remove(id);
    fleet.waves.remove(row.id);
  }

  private updateWave(state: SchedulerState, row: WaveRow, wave: MaintenanceWave): void {
    const { fleet } = state;
    fleet.waves.update(row.id, { wave });
    if (row.phase === 'loading') return;
    const named = new Set(wave.instances);
    for (const { id, instanceId } of fleet.maintenanceByWave.list(row.id))
      if (!named.has(instanceId)) fleet.maintenance.remove(id);
    for (const instanceId of wave.instances) addInstance(state, row.id, instanceId, 'waiting');
    const isOpen = fleet.maintenanceByWave.list(row.id).some((other) => !isCommandComplete(other));
    if (row.phase === 'completed' && isOpen) fleet.waves.update(row.id, { phase: 'running' });
    recordWaveChange(state, row.id);
  }

  private sendCall(state: SchedulerState, row: WaveRow, tick: Tick): void {
    if (row.callId !== '') return;
    if (row.phase !== 'loading' && row.change === row.storedChange) return;
    if (tick.now < row.retryAt) {
      tick.wakeAt(row.retryAt);
      return;
    }
    const callId =
      row.phase === 'loading'
        ? sendStoreCall(
            state,
            READ,
            { op: 'read', key: STORE_KEYS.waveProgress(row.id) },
            CALL_TIMEOUT_MS,
          )
        : this.sendWrite(state, row);
    state.fleet.waves.update(row.id, { callId, sentChange: row.change });
  }

  private sendWrite(state: SchedulerState, row: WaveRow): string {
    const key = STORE_KEYS.waveProgress(row.id);
    const value = buildProgress(state, row);
    return sendStoreCall(
      state,
      WRITE,
      {
        op: 'transact',
        expected: [
          { key: STORE_KEYS.owner, version: state.ownership.keyVersion },
          { key, version: row.storeVersion },
        ],
        puts: [
          { key, value },
          {
            key: STORE_KEYS.waveStatus(row.id),
            value: { state: value.isCompleted ? 'completed' : 'running' },
          },
        ],
        deletes: [],
      },
      CALL_TIMEOUT_MS,
    );
  }

  private receiveProgress(
    state: SchedulerState,
    callId: string,
    reply: StoreReply,
    now: number,
  ): void {
    const row = findByCall(state, callId);
    if (row === undefined) return;
    if (reply.kind !== 'entry') {
      state.fleet.waves.update(row.id, { callId: '', retryAt: now + RETRY_MS });
      return;
    }
    const progress = this.parseProgress(state, row, reply.entry);
    const startedAt =
      progress === undefined ? row.startedAt : progress.startedAtMs - state.wallOffsetMs;
    for (const instanceId of row.wave.instances) {
      const stored = findStoredPhase(progress, instanceId) ?? 'waiting';
      // A completed wave sends no more commands, so instances that are still down do not count.
      const isOver = stored === 'begun' && progress?.isCompleted === true;
      addInstance(state, row.id, instanceId, isOver ? 'back' : stored, now);
    }
    const isOpen = state.fleet.maintenanceByWave
      .list(row.id)
      .some((other) => !isCommandComplete(other));
    state.fleet.waves.update(row.id, {
      phase: progress?.isCompleted === true && !isOpen ? 'completed' : 'running',
      // A clock that was set back must not extend the time that the operator gave the wave.
      startedAt: Math.min(startedAt, row.startedAt),
      storeVersion: reply.entry.version,
      callId: '',
    });
    logEvent(state, 'info', 'wave_known', {
      wave: row.id,
      instances: row.wave.instances.length,
      maxDown: row.wave.maxDown,
      withinMs: row.wave.withinMs,
      completed: progress?.isCompleted ?? false,
    });
    if (progress === undefined) recordWaveChange(state, row.id);
  }

  private parseProgress(
    state: SchedulerState,
    row: WaveRow,
    { value, version }: StoreEntry,
  ): WaveProgress | undefined {
    if (version === 0) return undefined;
    const progress = parseValue(waveProgressSchema, value).toMaybe().extract();
    // Without its progress every command is repeated; the platform answers those already executed.
    if (progress === undefined)
      recordUnreadableEntry(
        state,
        'wave_progress_unreadable',
        { key: STORE_KEYS.waveProgress(row.id), version },
        { wave: row.id },
      );
    return progress;
  }

  private receiveWrite(
    state: SchedulerState,
    callId: string,
    reply: StoreReply,
    now: number,
  ): void {
    const row = findByCall(state, callId);
    if (row === undefined) return;
    if (reply.kind === 'written') {
      const storedChange = row.sentChange;
      state.fleet.waves.update(row.id, { callId: '', storedChange, storeVersion: reply.version });
      return;
    }
    // An earlier write whose answer was lost may have updated the progress.
    const found =
      reply.kind === 'mismatch'
        ? reply.entries.find(({ key }) => key === STORE_KEYS.waveProgress(row.id))
        : undefined;
    state.fleet.waves.update(row.id, {
      callId: '',
      storeVersion: found?.version ?? row.storeVersion,
      retryAt: now + RETRY_MS,
    });
  }
}

/** Names of instances come from the operator, and may be those of members of every object. */
function findStoredPhase(
  progress: WaveProgress | undefined,
  instanceId: string,
): WaveProgress['instances'][string] | undefined {
  if (progress === undefined || !Object.hasOwn(progress.instances, instanceId)) return undefined;
  return progress.instances[instanceId];
}

function findByCall({ fleet }: SchedulerState, callId: string): WaveRow | undefined {
  for (const row of fleet.waves.values()) if (row.callId === callId) return row;
  return undefined;
}

function addWave(state: SchedulerState, id: string, wave: MaintenanceWave, now: number): void {
  state.fleet.waves.set({
    id,
    wave,
    phase: 'loading',
    startedAt: now,
    change: 0,
    storedChange: 0,
    storeVersion: 0,
    callId: '',
    sentChange: 0,
    retryAt: Number.NEGATIVE_INFINITY,
  });
}

function addInstance(
  state: SchedulerState,
  waveId: string,
  instanceId: string,
  phase: MaintenanceRow['phase'],
  begunAt = Number.NEGATIVE_INFINITY,
): void {
  const id = formatMaintenanceId(waveId, instanceId);
  if (state.fleet.maintenance.has(id)) return;
  state.fleet.maintenance.set({
    id,
    waveId,
    instanceId,
    phase,
    reservedChange: 0,
    stopAt: Number.NEGATIVE_INFINITY,
    callId: '',
    retryAt: Number.NEGATIVE_INFINITY,
    rejections: 0,
    // The previous owner may have sent the command and lost its answer.
    unansweredAt: phase === 'ordered' ? begunAt : Number.NEGATIVE_INFINITY,
    begunAt: phase === 'begun' ? begunAt : Number.NEGATIVE_INFINITY,
  });
}

/** Builds the stored progress of a wave; waiting and draining instances are omitted. */
function buildProgress(state: SchedulerState, row: WaveRow): WaveProgress {
  const instances: WaveProgress['instances'] = {};
  for (const { instanceId, phase } of state.fleet.maintenanceByWave.values(row.id)) {
    if (phase === 'reserved' || phase === 'ordered') instances[instanceId] = 'ordered';
    else if (phase === 'begun' || phase === 'back') instances[instanceId] = 'begun';
    else if (phase === 'gone') instances[instanceId] = 'gone';
  }
  return {
    change: row.change,
    startedAtMs: Math.round(row.startedAt + state.wallOffsetMs),
    isCompleted: row.phase === 'completed',
    instances,
  };
}
