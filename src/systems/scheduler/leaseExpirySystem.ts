import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { LeaseWaitRow } from '../../model/scheduler/leaseWait.ts';
import type { AgentRow, RunRow } from '../../model/scheduler/rows.ts';
import { parseWorkerKey } from '../../model/scheduler/rows.ts';
import { LONG_LEASE } from '../../model/scheduler/runTables.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { computeEarlierLeaseEnd } from './earlierGrants.ts';
import { recordJobChange, releaseRun } from './jobChanges.ts';
import {
  computeLeaseDuration,
  MAX_CALL_DELAY_MS,
  MAX_REPORT_AGE_MS,
  RUN_LEASE_MS,
} from './ownershipTimes.ts';
import { logEvent } from './storeCalls.ts';

/** Interval at which the rest of longer leases is stored, ms; they last for seconds. */
const LONG_LEASE_WRITE_INTERVAL_MS = 1_000;

/**
 * Releases the runs of silent workers once their lease has certainly ended. Reads `workers` and `agents`;
 * writes `leaseWaits` and the longer leases of `runs`, and releases `runs`. Runs after the reports.
 */
export class LeaseExpirySystem extends System<SchedulerState> {
  override readonly name = 'leaseExpiry';

  private constructor() {
    super();
  }

  static create(): LeaseExpirySystem {
    return new LeaseExpirySystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'owner') return;
    this.updateLongLeases(state, tick);
    for (const { id } of state.leaseWaits.list())
      if (state.runsByWorker.count(id) === 0) state.leaseWaits.remove(id);
    for (const workerKey of [...state.runsByWorker.keys()]) {
      const wait = computeLeaseWait(state, workerKey);
      if (tick.now > wait.endsAt) {
        this.releaseRuns(state, workerKey, tick.now);
        continue;
      }
      this.updateWait(state, wait, tick.now);
      if (wait.endsAt - tick.now < RUN_LEASE_MS) tick.wakeAt(wait.endsAt + 1);
    }
  }

  /**
   * Keeps the longer leases of stored runs up to date, so that the next owner waits only for the rest,
   * and removes those that have ended.
   */
  private updateLongLeases(state: SchedulerState, tick: Tick): void {
    const runs = state.runsWithLongLease.list(LONG_LEASE);
    if (runs.length === 0) return;
    const isWriteDue = tick.now >= state.timers.longLeaseWriteAt;
    if (isWriteDue) state.timers.longLeaseWriteAt = tick.now + LONG_LEASE_WRITE_INTERVAL_MS;
    for (const { id, jobId, longLeaseEndsAt } of runs) {
      const hasEnded = tick.now > longLeaseEndsAt;
      if (hasEnded) state.runs.update(id, { longLeaseEndsAt: Number.NEGATIVE_INFINITY });
      else tick.wakeAt(longLeaseEndsAt + 1);
      if (hasEnded || isWriteDue) recordJobChange(state, jobId);
    }
    tick.wakeAt(state.timers.longLeaseWriteAt);
  }

  private updateWait(state: SchedulerState, wait: LeaseWaitRow, now: number): void {
    const isSilent = now - wait.silentSince > MAX_REPORT_AGE_MS;
    const isLogged = state.leaseWaits.has(wait.id);
    if (isSilent) state.leaseWaits.set(wait);
    else if (isLogged) this.closeWait(state, wait.id, 'reported', now);
    if (!isSilent || isLogged) return;
    const runs = state.runsByWorker.list(wait.id);
    logEvent(state, 'warn', 'lease_awaited', {
      worker: wait.id,
      runs: runs.length,
      task: runs[0]?.taskId ?? '',
      grantedBy: wait.grantedBy,
      agentLink: wait.agentLink,
      ...(wait.reportedLeaseMs === undefined ? {} : { reportedLeaseMs: wait.reportedLeaseMs }),
      silentMs: Math.round(now - wait.silentSince),
      leftMs: Math.round(wait.endsAt - now),
      epoch: state.ownership.epoch,
    });
  }

  private releaseRuns(state: SchedulerState, workerKey: string, now: number): void {
    this.closeWait(state, workerKey, 'expired', now);
    for (const run of state.runsByWorker.list(workerKey))
      if (run.phase !== 'placed') releaseRun(state, run, 'lease lapsed', { now });
  }

  private closeWait(
    state: SchedulerState,
    workerKey: string,
    outcome: 'reported' | 'expired',
    now: number,
  ): void {
    const wait = state.leaseWaits.get(workerKey);
    if (wait === undefined) return;
    state.leaseWaits.remove(workerKey);
    logEvent(state, 'info', 'lease_wait_ended', {
      worker: workerKey,
      outcome,
      silentMs: Math.round(now - wait.silentSince),
      epoch: state.ownership.epoch,
    });
  }
}

/** Computes until when the runs of a worker may hold a lease. */
function computeLeaseWait(state: SchedulerState, workerKey: string): LeaseWaitRow {
  const worker = state.workers.get(workerKey);
  const agent = state.agents.get(parseWorkerKey(workerKey).agentId);
  const lateStartsEndAt = computeLateStartsEnd(state, workerKey, agent);
  const proof = {
    agentLink: agent?.link ?? ('unknown' as const),
    reportedLeaseMs: agent?.reportedLeaseMs,
  };
  if (worker?.hasFencedReport === true)
    return {
      id: workerKey,
      silentSince: worker.lastReportAt,
      endsAt: Math.max(worker.leaseEndsAt, lateStartsEndAt),
      grantedBy: 'thisOwner',
      ...proof,
    };
  return {
    id: workerKey,
    silentSince: state.ownership.loadedAt,
    endsAt: Math.max(
      Math.min(
        agent?.earlierLeasesEndAt ?? Number.POSITIVE_INFINITY,
        computeEarlierLeaseEnd(state),
      ),
      lateStartsEndAt,
      ...state.runsByWorker.list(workerKey).map(({ longLeaseEndsAt }) => longLeaseEndsAt),
    ),
    grantedBy: 'earlierOwner',
    ...proof,
  };
}

/**
 * Computes until when a start that was sent to the worker may run on its next incarnation, which has
 * received no fence yet; in the past without such a start or incarnation.
 */
function computeLateStartsEnd(
  { runsByWorker, bounds }: SchedulerState,
  workerKey: string,
  agent: AgentRow | undefined,
): number {
  const next = agent?.unconfirmedWorker;
  const { workerId, bornMs } = parseWorkerKey(workerKey);
  if (next?.id !== workerId || next.bornMs <= bornMs) return Number.NEGATIVE_INFINITY;
  if (!runsByWorker.list(workerKey).some(canStartLate)) return Number.NEGATIVE_INFINITY;
  return next.knownSince + MAX_CALL_DELAY_MS + computeLeaseDuration(bounds.holdMaxMs);
}

/** Whether a start of the run may have no answer. An earlier owner may have sent any of its runs. */
function canStartLate({ phase, startAttempts }: RunRow): boolean {
  return phase === 'starting' || phase === 'unknown' || startAttempts > 1;
}
