import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { AgentMessage } from '../../model/scheduler/linkMessages.ts';
import type { RunRow, WorkerRow } from '../../model/scheduler/rows.ts';
import { formatRunId } from '../../model/scheduler/rows.ts';
import { PENDING_COMMAND } from '../../model/scheduler/runTables.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { getRunLeaseMs } from './agentLinkSystem.ts';
import { canGrantLeases } from './earlierGrants.ts';
import { recordJobStart, releaseRun } from './jobChanges.ts';
import { computeLeaseDuration } from './ownershipTimes.ts';
import { logEvent } from './storeCalls.ts';
import { MAX_CONFIRMATION_AGE_MS } from './taskPlacements.ts';
import { dropRunTicket, findRunTicket } from './tickets.ts';
import { explainClosedWorker, findClosingReason } from './workerCapacities.ts';
import { extendBackoff } from './workerBackoff.ts';

type StartResult = Extract<AgentMessage, { kind: 'startResult' }>;

/** Delay before a command without effect is sent again; commands are idempotent. */
const COMMAND_REPEAT_MS = 1_000;

/**
 * Sends the start commands of runs whose placement is stored, and stop commands. Reads `runs` and
 * start results; writes the phases of `runs` and `jobs`. Runs after the commit.
 */
export class CommandSystem extends System<SchedulerState> {
  override readonly name = 'order';

  private constructor() {
    super();
  }

  static create(): CommandSystem {
    return new CommandSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'owner') return;
    // A successor may have taken over since an older confirmation, and started the task elsewhere.
    const canStart =
      tick.now - state.ownership.confirmedAt <= MAX_CONFIRMATION_AGE_MS &&
      canGrantLeases(state, tick.now);
    for (const { agentId, message } of state.inbox.list('agentMessage'))
      if (message.kind === 'startResult') this.applyResult(state, agentId, message, tick.now);
    for (const { id } of state.runsWithCommand.list(PENDING_COMMAND)) {
      // Releasing one member of a gang also releases the members whose start was not sent.
      const run = state.runs.get(id);
      if (run === undefined || (run.phase === 'placed' && !canStart)) continue;
      if (run.phase === 'placed') this.startStored(state, run, tick);
      else this.repeatCommand(state, run, tick, canStart);
    }
  }

  private startStored(state: SchedulerState, run: RunRow, tick: Tick): void {
    const job = state.jobs.get(run.jobId);
    if (job === undefined || job.storedChange < run.placedChange) return;
    const worker = state.workers.get(run.workerKey);
    const closedReason =
      worker === undefined
        ? 'its worker is gone'
        : explainClosedWorker(state, worker, tick.now, run.id);
    if (worker === undefined || closedReason !== undefined) {
      releaseRun(state, run, `not sent: ${closedReason ?? ''}`, { now: tick.now });
      return;
    }
    state.counters.add('starts_sent');
    state.runs.update(run.id, { phase: 'starting', placedAt: tick.now, progressAt: tick.now });
    this.sendStart(state, run, worker, tick.now);
  }

  private sendStart(state: SchedulerState, run: RunRow, worker: WorkerRow, now: number): void {
    const attempt = run.startAttempts + 1;
    state.runs.update(run.id, { startAttempts: attempt });
    const job = state.jobs.get(run.jobId);
    const leaseMs = getRunLeaseMs(state);
    state.workers.update(worker.id, {
      leaseEndsAt: Math.max(
        worker.leaseEndsAt,
        worker.lastReportAt + computeLeaseDuration(leaseMs),
      ),
    });
    state.outbox.append({
      kind: 'orderAgent',
      agentId: worker.agentId,
      command: {
        kind: 'start',
        bornMs: worker.identity.bornMs,
        task: run.taskId,
        run: run.run,
        payload: job?.job.spec.payload ?? '',
        checkpoint: run.checkpoint,
        ticket: findRunTicket(state, run, now),
        leaseUntilMs: Math.floor(worker.clockMs + leaseMs),
        attempt,
      },
    });
  }

  private repeatCommand(state: SchedulerState, run: RunRow, tick: Tick, canStart: boolean): void {
    const worker = state.workers.get(run.workerKey);
    const agent = state.agents.get(worker?.agentId ?? '');
    if (worker === undefined || agent?.link !== 'open') return;
    // Commands in flight on an earlier link are lost.
    const isCommandDue =
      agent.openedAt > run.placedAt || tick.now - run.placedAt >= COMMAND_REPEAT_MS;
    const stopReason =
      run.stopReason ?? (run.phase === 'starting' ? findClosingReason(state, worker) : undefined);
    if (stopReason !== undefined) {
      if (run.phase !== 'stopping' || isCommandDue)
        this.sendStop(state, { ...run, stopReason }, worker, tick.now);
      tick.wakeAt(tick.now + COMMAND_REPEAT_MS);
    } else if (run.phase === 'starting' && canStart) {
      if (isCommandDue) {
        state.runs.update(run.id, { placedAt: tick.now });
        this.sendStart(state, run, worker, tick.now);
      }
      tick.wakeAt(run.placedAt + COMMAND_REPEAT_MS);
    }
  }

  private sendStop(state: SchedulerState, run: RunRow, worker: WorkerRow, now: number): void {
    if (run.phase !== 'stopping') {
      logEvent(state, 'info', 'run_stopped', {
        task: run.taskId,
        run: run.run,
        reason: run.stopReason ?? '',
        percent: run.percent,
      });
      state.counters.add('stops_sent', { reason: run.stopReason ?? '' });
    }
    state.runs.update(run.id, { phase: 'stopping', stopReason: run.stopReason, placedAt: now });
    state.outbox.append({
      kind: 'orderAgent',
      agentId: worker.agentId,
      command: { kind: 'stop', bornMs: worker.identity.bornMs, task: run.taskId, run: run.run },
    });
  }

  private applyResult(
    state: SchedulerState,
    agentId: string,
    result: StartResult,
    now: number,
  ): void {
    const run = state.runs.get(formatRunId(result.task, result.run));
    const worker = state.workers.get(run?.workerKey ?? '');
    if (run === undefined || worker?.agentId !== agentId) return;
    if (worker.identity.bornMs !== result.bornMs) return;
    const isStarting = run.phase === 'starting';
    const hasStarted = result.outcome === 'started' || result.outcome === 'listed';
    if (hasStarted) recordJobStart(state, run.jobId, now);
    if (isStarting && result.outcome === 'started')
      state.runs.update(run.id, { phase: 'running', progressAt: now });
    // The worker lists the run, so the end that it lists decides.
    if (hasStarted) return;
    // A rejection of an earlier attempt says nothing about the attempt sent after it.
    if (result.attempt !== 0 && result.attempt !== run.startAttempts) return;
    if (isStarting) this.releaseRejected(state, run, result.outcome, now);
    else if (run.phase === 'stopping')
      releaseRun(state, run, `not there: ${run.stopReason ?? result.outcome}`, { now });
  }

  private releaseRejected(state: SchedulerState, run: RunRow, outcome: string, now: number): void {
    // A ticket that expired in transit says nothing about the worker.
    if (outcome === 'ticket') dropRunTicket(state, run);
    else extendBackoff(state, run, `rejected: ${outcome}`, now);
    state.counters.add('start_rejections', { reason: outcome });
    releaseRun(state, run, `rejected: ${outcome}`, { now });
  }
}
