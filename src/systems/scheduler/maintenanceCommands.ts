import type { MaintenanceRow } from '../../model/scheduler/fleet.ts';
import type { InstanceReply, CommandRejection } from '../../model/scheduler/instanceCall.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import {
  getCommandAuthority,
  LATE_COMMAND_MS,
  listInstanceReplies,
  COMMAND_TIMEOUT_MS,
  sendInstanceCall,
} from './fleetCalls.ts';
import { logEvent } from './storeCalls.ts';
import { recordWaveChange } from './waveChanges.ts';

const PURPOSE = 'maintain';
/** Delay after a command that the service refused or did not answer. */
const RETRY_MS = 300;
/**
 * Delay after a rejection before the instance is drained again; doubles with each consecutive one.
 */
const REJECTION_PAUSE_INITIAL_MS = 4_000;
const REJECTION_PAUSE_MAX_MS = 60_000;

export function sendMaintenanceCommand(
  state: SchedulerState,
  row: MaintenanceRow,
  wave: number,
): void {
  const { instanceId } = row;
  const authority = getCommandAuthority(state);
  const callId = sendInstanceCall(
    state,
    PURPOSE,
    { op: 'maintain', instanceId, wave, authority },
    COMMAND_TIMEOUT_MS,
  );
  state.fleet.maintenance.update(row.id, { callId });
}

export function receiveCommandReplies(state: SchedulerState, now: number): void {
  for (const { callId, reply } of listInstanceReplies(state, PURPOSE)) {
    const row = findByCall(state, callId);
    if (row === undefined) continue;
    state.fleet.maintenance.update(row.id, { callId: '' });
    const outcome = reply.kind === 'rejected' ? reply.reason : reply.kind;
    state.counters.add('instance_orders', { op: 'maintain', outcome });
    applyReply(state, row, reply, now);
  }
}

function applyReply(
  state: SchedulerState,
  row: MaintenanceRow,
  reply: InstanceReply,
  now: number,
): void {
  const { maintenance } = state.fleet;
  switch (reply.kind) {
    case 'done':
      maintenance.update(row.id, { phase: 'begun', begunAt: now });
      recordWaveChange(state, row.waveId);
      logEvent(state, 'info', 'maintenance_begun', {
        wave: row.waveId,
        instance: row.instanceId,
        fence: state.ownership.epoch,
        rejections: row.rejections,
      });
      return;
    case 'rejected':
      applyRejection(state, row, reply.reason, now);
      return;
    case 'unavailable':
      maintenance.update(row.id, { unansweredAt: now, retryAt: now + RETRY_MS });
      logEvent(state, 'warn', 'maintenance_unanswered', {
        wave: row.waveId,
        instance: row.instanceId,
        message: reply.message,
      });
      return;
    case 'page':
    case 'refused':
      maintenance.update(row.id, { retryAt: now + RETRY_MS });
  }
}

/** Reopens a rejected instance for tasks, unless an earlier command may still be executed. */
function applyRejection(
  state: SchedulerState,
  row: MaintenanceRow,
  reason: CommandRejection,
  now: number,
): void {
  const { fleet } = state;
  const isListed = fleet.instances.has(row.instanceId);
  const isRemoved = reason === 'notInWave' || (reason === 'unknown' && !isListed);
  const pauseMs = Math.min(
    REJECTION_PAUSE_MAX_MS,
    REJECTION_PAUSE_INITIAL_MS * 2 ** row.rejections,
  );
  logEvent(state, 'warn', 'maintenance_rejected', {
    wave: row.waveId,
    instance: row.instanceId,
    reason,
    listed: fleet.instances.get(row.instanceId)?.state ?? 'not listed',
    fence: state.ownership.epoch,
    pauseMs: isRemoved ? 0 : pauseMs,
  });
  if (!isRemoved && now - row.unansweredAt < LATE_COMMAND_MS) {
    fleet.maintenance.update(row.id, { retryAt: now + RETRY_MS });
    return;
  }
  fleet.maintenance.update(row.id, {
    phase: isRemoved ? 'gone' : 'waiting',
    retryAt: now + pauseMs,
    rejections: row.rejections + 1,
  });
  recordWaveChange(state, row.waveId);
}

function findByCall({ fleet }: SchedulerState, callId: string): MaintenanceRow | undefined {
  for (const row of fleet.maintenance.values()) if (row.callId === callId) return row;
  return undefined;
}
