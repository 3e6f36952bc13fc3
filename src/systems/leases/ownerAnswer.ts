import type { Tick } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { OwnerAnswerRow } from '../../model/heldExchange.ts';
import type { ShardOwnershipRow } from '../../model/ledger.ts';
import { formatRunId } from '../../model/run.ts';
import type { TaskRow } from '../../model/task.ts';
import type { RunReport, WorkerCommand, WorkerReport } from '../../model/worker.ts';
import { hasPendingChange } from '../ledger/ledgerChanges.ts';
import { LEASE_MARGIN_MS, MAX_PROOF_AGE_AT_SEND_MS, TASK_LEASE_MS } from './leaseTimes.ts';

/** Whether the owner may renew leases: its last confirmed contact with the store is recent enough. */
export function canRenewLeases(
  state: EntryState,
  ownership: ShardOwnershipRow,
  nowMs: number,
): boolean {
  const graceMs = state.ownershipClaims.get(ownership.id)?.graceMs ?? 0;
  return ownership.phase === 'holding' && nowMs - ownership.confirmedMs <= graceMs;
}

/** Computes the age of the proof that a zone is in service; undefined without a recent enough proof. */
export function computeZoneProofAgeMs(
  state: EntryState,
  zone: string,
  nowMs: number,
): number | undefined {
  const { confirmedSentMs, current } = state.configuration;
  if (confirmedSentMs === undefined || current.zonesOut.includes(zone)) return undefined;
  const ageMs = nowMs - confirmedSentMs;
  return ageMs <= MAX_PROOF_AGE_AT_SEND_MS ? ageMs : undefined;
}

/** Whether the ledger assigns this incarnation to this worker and no pending change ends it. */
export function isCurrentRun(
  state: EntryState,
  task: TaskRow | undefined,
  incarnation: number,
  workerId: string,
): task is TaskRow {
  if (task?.phase !== 'assigned') return false;
  if (task.incarnation !== incarnation || task.workerId !== workerId) return false;
  const pending = state.pendingChanges.get(task.id)?.change;
  if (pending === undefined) return true;
  return (
    pending.kind === 'put' &&
    pending.task.phase === 'assigned' &&
    pending.task.incarnation === incarnation
  );
}

/** Builds the owner's part of the answer to an exchange of a worker. */
export function buildOwnerAnswer(
  state: EntryState,
  tick: Tick,
  ownership: ShardOwnershipRow,
  callId: string,
  report: WorkerReport,
): OwnerAnswerRow {
  const renewed: { taskId: string; incarnation: number }[] = [];
  const commands: WorkerCommand[] = [];
  const canRenew = canRenewLeases(state, ownership, tick.now);
  let hasSuspendedRun = false;
  for (const run of report.runs) {
    const task = state.tasks.get(run.taskId);
    const isCurrent = isCurrentRun(state, task, run.incarnation, report.workerId);
    const isLive = run.phase === 'running' || run.phase === 'suspended';
    if (isCurrent && isLive && canRenew) {
      renewed.push({ taskId: run.taskId, incarnation: run.incarnation });
      hasSuspendedRun ||= run.phase === 'suspended';
      extendLease(state, run, tick.now);
    }
    const command = chooseRunCommand(state, task, run, report.workerId, isCurrent);
    if (command !== undefined) commands.push(command);
  }
  commands.push(...listUnreportedRunCommands(state, tick, report, canRenew));
  return {
    id: callId,
    shard: ownership.id,
    isDue: commands.length > 0 || hasSuspendedRun,
    owner: { epoch: ownership.epoch, leaseMs: TASK_LEASE_MS, renewed, commands },
  };
}

function extendLease(state: EntryState, run: RunReport, nowMs: number): void {
  const row = state.runs.get(formatRunId(run.taskId, run.incarnation));
  if (row === undefined) return;
  const leaseUntilMs = Math.max(row.leaseUntilMs, nowMs + TASK_LEASE_MS + LEASE_MARGIN_MS);
  state.runs.update(row.id, { leaseUntilMs });
}

function chooseRunCommand(
  state: EntryState,
  task: TaskRow | undefined,
  run: RunReport,
  workerId: string,
  isCurrent: boolean,
): WorkerCommand | undefined {
  const { taskId, incarnation } = run;
  const isLive = run.phase === 'running' || run.phase === 'suspended';
  const isAssignedHere =
    task?.phase === 'assigned' && task.incarnation === incarnation && task.workerId === workerId;
  if (!isLive) {
    // The worker has to keep its record of the run until the ledger holds the end of the run.
    return isAssignedHere ? undefined : { kind: 'forget', taskId, incarnation };
  }
  // While a pending change ends the incarnation, neither a renewal nor a stop is known to be correct.
  if (!isCurrent)
    return isAssignedHere
      ? undefined
      : { kind: 'stop', taskId, incarnation, withCheckpoint: false };
  if (task?.stopReason !== undefined) {
    const withCheckpoint = task.stopReason !== 'cancelled';
    return { kind: 'stop', taskId, incarnation, withCheckpoint };
  }
  const share = state.throttles.get(taskId)?.share ?? 1;
  return share === run.throttle ? undefined : { kind: 'throttle', taskId, incarnation, share };
}

/**
 * Lists the commands for assigned incarnations that the worker does not report: a start, or a stop in
 * advance of a late start when the task is to stop.
 */
function listUnreportedRunCommands(
  state: EntryState,
  tick: Tick,
  report: WorkerReport,
  canRenew: boolean,
): WorkerCommand[] {
  const reportedIds = new Set(report.runs.map((run) => formatRunId(run.taskId, run.incarnation)));
  const commands: WorkerCommand[] = [];
  const proofAgeMs = report.leaving
    ? undefined
    : computeZoneProofAgeMs(state, report.zone, tick.now);
  for (const task of state.tasksByWorker.list(report.workerId)) {
    const { id: taskId, incarnation } = task;
    const run = state.runs.get(formatRunId(taskId, incarnation));
    if (reportedIds.has(formatRunId(taskId, incarnation)) || hasPendingChange(state, taskId))
      continue;
    if (run !== undefined && run.phase !== 'unconfirmed') continue;
    if (task.stopReason !== undefined) {
      commands.push({ kind: 'stop', taskId, incarnation, withCheckpoint: false });
      continue;
    }
    // A run with an expired lease is about to be replaced by a new incarnation and must not start.
    if (run === undefined || run.leaseUntilMs <= tick.now) continue;
    if (proofAgeMs === undefined || !canRenew) continue;
    const leaseUntilMs = Math.max(run.leaseUntilMs, tick.now + TASK_LEASE_MS + LEASE_MARGIN_MS);
    state.runs.update(run.id, { leaseUntilMs });
    commands.push(buildStartCommand(task, proofAgeMs));
  }
  return commands;
}

function buildStartCommand(task: TaskRow, proofAgeMs: number): WorkerCommand {
  return {
    kind: 'start',
    taskId: task.id,
    incarnation: task.incarnation,
    taskKind: task.taskKind,
    ...(task.service === undefined ? {} : { service: task.service }),
    demand: task.demand,
    command: task.command,
    ...(task.checkpoint === undefined ? {} : { checkpoint: task.checkpoint }),
    proofAgeMs,
  };
}
