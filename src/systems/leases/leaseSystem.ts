import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { HeldExchangeRow } from '../../model/heldExchange.ts';
import type { ExchangeRequest } from '../../model/exchange.ts';
import type { ShardOwnershipRow } from '../../model/ledger.ts';
import { formatRunId } from '../../model/run.ts';
import type { WorkerReport, WorkerRow } from '../../model/worker.ts';
import { findHeldOwnership, findWorkerShard } from '../shardOwnership/shards.ts';
import { queueTaskChange } from '../ledger/ledgerChanges.ts';
import { LEASE_MARGIN_MS, TASK_LEASE_MS } from './leaseTimes.ts';
import { buildOwnerAnswer, isCurrentRun } from './ownerAnswer.ts';
import { queueRunOutcome, queueStoppedTask, stopRunsOfLeavingWorker } from './runOutcomes.ts';
import { recordReportedRun } from './runRows.ts';

/** Limit of usage samples that no system has consumed; beyond it the oldest are dropped. */
const MAX_USAGE_SAMPLES = 50_000;

/**
 * Applies the reports of workers and answers them with lease renewals and commands.
 * Reads `exchange`, `tasks`, `duties`, `heldExchanges`. Writes `workers`, `runs`, `usageSamples`,
 * `ownerAnswers`, `pendingChanges`. Runs each tick after the ledger and before exchanges are answered.
 */
export class LeaseSystem extends System<EntryState> {
  override readonly name = 'lease';

  private constructor() {
    super();
  }

  static create(): LeaseSystem {
    return new LeaseSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    this.removeStaleAnswers(state);
    this.updateHeldAnswers(state, tick);
    for (const { callId, request } of state.inbox.list('exchange')) {
      if (request.worker === undefined) continue;
      const ownership = this.findOwnership(state, request.worker);
      if (ownership === undefined) continue;
      if (request.epoch > ownership.epoch) {
        state.counters.add('exchanges_of_newer_epoch');
        continue;
      }
      this.handleReport(state, tick, ownership, callId, request, request.worker);
    }
  }

  private findOwnership(state: EntryState, report: WorkerReport): ShardOwnershipRow | undefined {
    const { current } = state.configuration;
    const shard = findWorkerShard(current, report.workerId, report.region, report.zone);
    return findHeldOwnership(state, shard);
  }

  /** Removes answers that were built under an ownership that this entry has lost since. */
  private removeStaleAnswers(state: EntryState): void {
    for (const answer of state.ownerAnswers.values()) {
      const ownership = findHeldOwnership(state, answer.shard);
      const isStale =
        ownership?.epoch !== answer.owner.epoch || !state.heldExchanges.has(answer.id);
      if (isStale) state.ownerAnswers.remove(answer.id);
    }
  }

  /** Rebuilds the answers of workers whose tasks have changed: a confirmed write can require a command. */
  private updateHeldAnswers(state: EntryState, tick: Tick): void {
    const workerIds = new Set<string>();
    for (const taskId of state.changedTasks) {
      const workerId = state.tasks.get(taskId)?.workerId;
      if (workerId !== undefined) workerIds.add(workerId);
    }
    state.changedTasks.clear();
    for (const workerId of workerIds) {
      for (const held of state.heldExchangesByWorker.list(workerId))
        this.updateHeldAnswer(state, tick, held);
    }
  }

  private updateHeldAnswer(state: EntryState, tick: Tick, held: HeldExchangeRow): void {
    const answer = state.ownerAnswers.get(held.id);
    if (held.worker === undefined || answer === undefined || answer.isDue) return;
    const ownership = findHeldOwnership(state, answer.shard);
    if (ownership !== undefined)
      state.ownerAnswers.set(buildOwnerAnswer(state, tick, ownership, held.id, held.worker));
  }

  private handleReport(
    state: EntryState,
    tick: Tick,
    ownership: ShardOwnershipRow,
    callId: string,
    request: ExchangeRequest,
    report: WorkerReport,
  ): void {
    const previous = state.workers.get(report.workerId);
    if (previous !== undefined && this.isLateExchange(previous, request)) {
      state.counters.add('late_exchanges');
      return;
    }
    const worker = this.updateWorker(state, tick, previous, request, report);
    for (const run of report.runs) recordReportedRun(state, worker.id, run, tick.now);
    if (request.epoch === ownership.epoch) this.limitInheritedLeases(state, worker.id, tick.now);
    if (previous !== undefined && previous.bootId !== report.workerBootId)
      this.handleRestart(state, tick, ownership, report);
    this.removeObsoleteRuns(state, report);
    this.queueRunOutcomes(state, tick, ownership, worker, report);
    this.handleRejectedStarts(state, tick, ownership, report);
    if (report.stopsTasks) stopRunsOfLeavingWorker(state, tick, ownership.id, report.workerId);
    this.recordUsageSamples(state, tick, report);
    state.ownerAnswers.set(buildOwnerAnswer(state, tick, ownership, callId, report));
  }

  private isLateExchange(worker: WorkerRow, request: ExchangeRequest): boolean {
    if (request.agentBootId === worker.retiredAgentBootId) return true;
    return request.agentBootId === worker.agentBootId && request.seq <= (worker.lastSeq ?? 0);
  }

  private updateWorker(
    state: EntryState,
    tick: Tick,
    previous: WorkerRow | undefined,
    request: ExchangeRequest,
    report: WorkerReport,
  ): WorkerRow {
    const isNewAgent = previous !== undefined && previous.agentBootId !== request.agentBootId;
    const retiredAgentBootId = isNewAgent ? previous.agentBootId : previous?.retiredAgentBootId;
    const worker: WorkerRow = {
      id: report.workerId,
      bootId: report.workerBootId,
      region: report.region,
      zone: report.zone,
      rack: report.rack,
      capacity: report.capacity,
      agentId: request.agentId,
      lastExchangeMs: tick.now,
      agentBootId: request.agentBootId,
      lastSeq: request.seq,
      ...(retiredAgentBootId === undefined ? {} : { retiredAgentBootId }),
      leaving: report.leaving,
      failedStarts: previous?.failedStarts ?? 0,
      setAsideUntilMs: previous?.setAsideUntilMs ?? 0,
    };
    state.workers.set(worker);
    return worker;
  }

  /** Limits the leases of a worker: an agent that adopted this epoch rejects earlier owners' renewals. */
  private limitInheritedLeases(state: EntryState, workerId: string, nowMs: number): void {
    const latestEndMs = nowMs + TASK_LEASE_MS + LEASE_MARGIN_MS;
    for (const task of state.tasksByWorker.list(workerId)) {
      const run = state.runs.get(formatRunId(task.id, task.incarnation));
      if (run !== undefined && run.leaseUntilMs > latestEndMs)
        state.runs.update(run.id, { leaseUntilMs: latestEndMs });
    }
  }

  /** Queues the stop of runs that the worker reported before its restart and no longer reports. */
  private handleRestart(
    state: EntryState,
    tick: Tick,
    ownership: ShardOwnershipRow,
    report: WorkerReport,
  ): void {
    state.counters.add('worker_restarts');
    const reportedIds = new Set(report.runs.map((run) => formatRunId(run.taskId, run.incarnation)));
    for (const task of state.tasksByWorker.list(report.workerId)) {
      const id = formatRunId(task.id, task.incarnation);
      const run = state.runs.get(id);
      if (run === undefined || run.phase === 'unconfirmed' || reportedIds.has(id)) continue;
      // An expired lease makes the next tick retry when another change of the task is pending now.
      state.runs.update(id, { leaseUntilMs: tick.now });
      queueStoppedTask(state, ownership.id, task, run.checkpoint, tick.now, 'worker-restarted');
    }
  }

  /** Removes the rows of ended runs, and of earlier incarnations that the worker no longer reports. */
  private removeObsoleteRuns(state: EntryState, report: WorkerReport): void {
    const reportedIds = new Set(report.runs.map((run) => formatRunId(run.taskId, run.incarnation)));
    for (const row of state.runsByWorker.list(report.workerId)) {
      const task = state.tasks.get(row.taskId);
      const isAssigned = task?.phase === 'assigned' && task.incarnation === row.incarnation;
      if (!isAssigned && !reportedIds.has(row.id)) state.runs.remove(row.id);
    }
    for (const run of report.runs) {
      const task = state.tasks.get(run.taskId);
      const isEnded = run.phase !== 'running' && run.phase !== 'suspended';
      if (isEnded && task?.phase !== 'assigned')
        state.runs.remove(formatRunId(run.taskId, run.incarnation));
    }
  }

  private queueRunOutcomes(
    state: EntryState,
    tick: Tick,
    ownership: ShardOwnershipRow,
    worker: WorkerRow,
    report: WorkerReport,
  ): void {
    for (const run of report.runs) {
      const task = state.tasks.get(run.taskId);
      if (!isCurrentRun(state, task, run.incarnation, worker.id)) continue;
      const current = state.workers.get(worker.id) ?? worker;
      queueRunOutcome(state, ownership.id, task, run, current, tick.now);
    }
  }

  /** Queues the stop of starts that cannot succeed here. The worker confirms it like any other stop. */
  private handleRejectedStarts(
    state: EntryState,
    tick: Tick,
    ownership: ShardOwnershipRow,
    report: WorkerReport,
  ): void {
    for (const { taskId, incarnation, reason } of report.rejectedStarts) {
      state.counters.add('rejected_starts', { reason });
      if (reason === 'stale_proof' || reason === 'stale_epoch') continue;
      const task = state.tasks.get(taskId);
      const run = state.runs.get(formatRunId(taskId, incarnation));
      if (!isCurrentRun(state, task, incarnation, report.workerId)) continue;
      if (run?.phase !== 'unconfirmed' || task.stopReason !== undefined) continue;
      const next = { ...task, stopReason: 'worker-unhealthy' as const };
      queueTaskChange(state, ownership.id, next, tick.now, true);
    }
  }

  private recordUsageSamples(state: EntryState, tick: Tick, report: WorkerReport): void {
    for (const [index, sample] of report.samples.entries()) {
      const id = `${report.workerId}/${tick.now}/${index}`;
      const takenMs = tick.now - sample.ageMs;
      state.usageSamples.set({ ...sample, id, workerId: report.workerId, takenMs });
    }
    for (const oldest of state.usageSamples.values()) {
      if (state.usageSamples.size <= MAX_USAGE_SAMPLES) return;
      state.usageSamples.remove(oldest.id);
    }
  }
}
