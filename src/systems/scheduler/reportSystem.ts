import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { AgentMessage, WorkerIdentity } from '../../model/scheduler/linkMessages.ts';
import type { RunRow, WorkerRow } from '../../model/scheduler/rows.ts';
import {
  formatRunId,
  formatWorkerKey,
  NO_BACKOFF,
  parseWorkerKey,
} from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { releaseRunsOfTerminatedWorker } from './agentTables.ts';
import { recordJobStart, releaseRun, requestStop } from './jobChanges.ts';
import { computeLeaseDuration } from './ownershipTimes.ts';
import { logEvent } from './storeCalls.ts';

/** Reason of releases and stops after a worker restarted as a new incarnation. */
const RESTARTED_REASON = 'worker restarted';

/**
 * How long complete lists must lack a run before it is stopped. A poll that was sent before the run
 * started is answered within 1.6 s.
 */
const UNLISTED_TIMEOUT_MS = 2_000;
const UNLISTED_REASON = 'its worker lists neither it nor its end';

/** Differences of the reported time that come from the links, ms. */
const REPORT_DELAY_TOLERANCE_MS = 500;

type Report = Extract<AgentMessage, { kind: 'report' }>;

/**
 * Applies the agents' reports: the worker's current incarnation, its runs and its ends. Reads
 * reports; writes `workers`, `runs`, `jobs` and the reported ends, and releases the runs of dead
 * incarnations. Runs before the ends are applied.
 */
export class ReportSystem extends System<SchedulerState> {
  override readonly name = 'report';

  private constructor() {
    super();
  }

  static create(): ReportSystem {
    return new ReportSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'owner') return;
    for (const { agentId, message } of state.inbox.list('agentMessage')) {
      if (!state.agents.has(agentId)) continue;
      // An agent that accepts links and closes them without a message stays in backoff.
      state.agents.update(agentId, { lastMessageAt: tick.now, failures: 0 });
      if (message.kind !== 'report') continue;
      this.applyLeaseLeft(state, agentId, message, tick.now);
      this.applyUnconfirmedWorker(state, agentId, message, tick.now);
      this.applyReport(state, agentId, message, tick.now);
    }
  }

  /**
   * Shortens the wait for the leases of earlier owners, whose commands the agent rejects now. A later
   * process of the agent may accept them again, so that only the end of all leases counts.
   */
  private applyLeaseLeft(
    state: SchedulerState,
    agentId: string,
    report: Report,
    now: number,
  ): void {
    const { leaseLeftMs, worker } = report;
    state.agents.update(agentId, { reportedLeaseMs: leaseLeftMs });
    const isEarlierBuild = leaseLeftMs === undefined && worker !== undefined;
    if (leaseLeftMs !== 0 && !isEarlierBuild) return;
    const endsAt = now + computeLeaseLeft(state, report);
    const agent = state.agents.get(agentId);
    if (agent !== undefined && endsAt < agent.earlierLeasesEndAt)
      state.agents.update(agentId, { earlierLeasesEndAt: endsAt });
  }

  private applyUnconfirmedWorker(
    state: SchedulerState,
    agentId: string,
    { unconfirmedWorker: reported }: Report,
    now: number,
  ): void {
    const known = state.agents.get(agentId)?.unconfirmedWorker;
    if (reported === undefined) {
      if (known !== undefined) state.agents.update(agentId, { unconfirmedWorker: undefined });
      return;
    }
    const { id, bornMs, knownForMs } = reported;
    const isKnown = known?.id === id && known.bornMs === bornMs;
    const knownSince = now - knownForMs;
    // Another process of the agent may have sent starts after the one that reported first.
    if (isKnown && knownSince <= known.knownSince + REPORT_DELAY_TOLERANCE_MS) return;
    state.agents.update(agentId, { unconfirmedWorker: { id, bornMs, knownSince } });
  }

  private applyReport(state: SchedulerState, agentId: string, report: Report, now: number): void {
    const identity = report.worker;
    if (identity === undefined) return;
    const workerKey = formatWorkerKey(agentId, identity.id, identity.bornMs);
    const agent = state.agents.get(agentId);
    const current = state.workers.get(agent?.workerKey ?? '');
    if (current !== undefined && current.identity.bornMs > identity.bornMs) return;
    if (current?.id !== workerKey) {
      state.agents.update(agentId, { workerKey });
      this.releaseEarlierIncarnations(state, agentId, identity, now);
      logEvent(state, 'info', 'worker_known', {
        worker: identity.id,
        agent: agentId,
        born: identity.bornMs,
        zone: identity.zone,
        draining: identity.isDraining,
      });
    }
    const previous = state.workers.get(workerKey);
    if (identity.isDraining && previous?.identity.isDraining === false)
      logEvent(state, 'info', 'worker_draining', {
        worker: identity.id,
        leftMs: identity.drainLeftMs,
      });
    const isFenced = report.epoch === state.ownership.epoch;
    const worker: WorkerRow = {
      id: workerKey,
      agentId,
      identity,
      // The fence ends the grants of earlier owners; the agent knows those before it.
      leaseEndsAt:
        isFenced && previous?.hasFencedReport !== true
          ? now + computeLeaseLeft(state, report)
          : (previous?.leaseEndsAt ?? Number.NEGATIVE_INFINITY),
      lastReportAt: isFenced ? now : (previous?.lastReportAt ?? now),
      clockMs: isFenced ? report.clockMs : (previous?.clockMs ?? report.clockMs),
      hasFencedReport: isFenced || (previous?.hasFencedReport ?? false),
      acknowledgedEnd: previous?.acknowledgedEnd ?? 0,
      pendingAcknowledgements: previous?.pendingAcknowledgements ?? [],
      unknownRunCount: previous?.unknownRunCount ?? 0,
      backoff: previous?.backoff ?? NO_BACKOFF,
    };
    state.workers.set(worker);
    if (report.isGone === true) releaseRunsOfTerminatedWorker(state, workerKey, now);
    else if (isFenced) this.applyRunLists(state, worker, report, now);
  }

  private applyRunLists(
    state: SchedulerState,
    worker: WorkerRow,
    report: Report,
    now: number,
  ): void {
    const listedIds = new Set<string>();
    let unknownRunCount = 0;
    for (const listedRun of report.running) {
      const id = formatRunId(listedRun.task, listedRun.run);
      listedIds.add(id);
      const run = state.runs.get(id);
      // The list proves a start, also of a run that this owner does not know.
      if (run?.phase !== 'running')
        recordJobStart(state, state.tasks.get(listedRun.task)?.jobId ?? '', now);
      if (run?.workerKey !== worker.id) {
        unknownRunCount += 1;
        this.stopUnknownRun(state, worker, listedRun.task, listedRun.run);
        continue;
      }
      const hasProgressed = listedRun.percent > run.percent;
      state.runs.update(id, {
        phase: run.phase === 'stopping' ? 'stopping' : 'running',
        checkpoint: listedRun.checkpoint === '' ? run.checkpoint : listedRun.checkpoint,
        percent: listedRun.percent,
        load: listedRun.load,
        overTargetSince: computeOverSince(run, listedRun.load, now),
        unlistedSince: undefined,
        progressAt: hasProgressed || run.phase !== 'running' ? now : run.progressAt,
      });
    }
    for (const end of report.ended) {
      listedIds.add(formatRunId(end.task, end.run));
      const isRecorded =
        end.number <= worker.acknowledgedEnd ||
        worker.pendingAcknowledgements.some((pending) => pending.number === end.number);
      if (!isRecorded) state.reportedEnds.push({ workerKey: worker.id, end });
    }
    if (report.isComplete)
      for (const run of state.runsByWorker.list(worker.id))
        if (!listedIds.has(run.id)) this.applyUnlistedRun(state, run, now);
    if (unknownRunCount !== worker.unknownRunCount)
      state.workers.update(worker.id, { unknownRunCount });
  }

  private applyUnlistedRun(state: SchedulerState, run: RunRow, now: number): void {
    // A list read under this owner's fence that lacks the run proves that no earlier start will
    // arrive.
    if (run.phase === 'unknown') releaseRun(state, run, 'never started', { now });
    if (run.phase !== 'running') return;
    // The run's end was acknowledged unread. Only the answer to a stop proves that the run has
    // ended.
    if (run.unlistedSince === undefined) state.runs.update(run.id, { unlistedSince: now });
    else if (now - run.unlistedSince >= UNLISTED_TIMEOUT_MS)
      requestStop(state, run, UNLISTED_REASON);
  }

  private stopUnknownRun(
    state: SchedulerState,
    worker: WorkerRow,
    task: string,
    run: number,
  ): void {
    logEvent(state, 'warn', 'stranger_stopped', { task, run, worker: worker.identity.id });
    state.outbox.append({
      kind: 'orderAgent',
      agentId: worker.agentId,
      command: { kind: 'stop', bornMs: worker.identity.bornMs, task, run },
    });
  }

  /**
   * Releases the runs of the agent's earlier worker incarnations, which a new one proves to have
   * ended. A start in flight to the same worker id may have reached the new incarnation, so such a
   * run is moved there and stopped first.
   */
  private releaseEarlierIncarnations(
    state: SchedulerState,
    agentId: string,
    identity: WorkerIdentity,
    now: number,
  ): void {
    const workerKey = formatWorkerKey(agentId, identity.id, identity.bornMs);
    for (const run of [...state.runs.values()]) {
      const earlier = parseWorkerKey(run.workerKey);
      if (earlier.agentId !== agentId || run.workerKey === workerKey) continue;
      // The report of an agent that has just started may be older than the stored run.
      if (earlier.bornMs > identity.bornMs) continue;
      if (earlier.workerId !== identity.id || run.phase === 'placed')
        releaseRun(state, run, RESTARTED_REASON, { now });
      else state.runs.update(run.id, { workerKey, phase: 'running', stopReason: RESTARTED_REASON });
    }
    for (const other of state.workers.list())
      if (other.agentId === agentId && other.id !== workerKey) state.workers.remove(other.id);
  }
}

/**
 * Shares of the latency target at which a task starts and stops counting as over its target. The
 * hysteresis absorbs the imprecision of reported latencies.
 */
const OVER_TARGET_ENTER_FACTOR = 0.95;
const OVER_TARGET_EXIT_FACTOR = 0.85;

function computeOverSince(run: RunRow, load: number, now: number): number | undefined {
  const { targetMs } = run.step;
  if (targetMs === 0) return undefined;
  const bound =
    run.overTargetSince === undefined ? OVER_TARGET_ENTER_FACTOR : OVER_TARGET_EXIT_FACTOR;
  return load > bound * targetMs ? (run.overTargetSince ?? now) : undefined;
}

/** Computes how long leases of earlier owners may last after a report, ms. */
function computeLeaseLeft({ bounds }: SchedulerState, { leaseLeftMs }: Report): number {
  return leaseLeftMs ?? computeLeaseDuration(bounds.holdMaxMs);
}
