import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { WorkerIdentity } from '../../model/scheduler/linkMessages.ts';
import { formatRunId } from '../../model/scheduler/rows.ts';
import type { RunnerReply } from '../../model/scheduler/runnerCall.ts';
import type { RunnerAgentState } from '../../model/scheduler/runnerAgentState.ts';
import {
  computeFence,
  isProbing,
  logAgentEvent,
  resetIncarnation,
  sendOwner,
  sendRunnerCall,
} from './agentCalls.ts';
import { computeLeaseLeft, recordIncarnation } from './agentLease.ts';

/** Time that a poll waits for an end; short, because each poll also renews the lease. */
const POLL_WAIT_MS = 1_000;
/** Timeout of the answer after the wait; answers take milliseconds, on a busy instance a few times longer. */
const ANSWER_TIMEOUT_MS = 600;
const RETRY_DELAY_MS = 100;
/** Minimum time between abandoned polls: each keeps its connection for up to 1 s, and an agent has 16. */
const ABANDON_INTERVAL_MS = 200;
/** Delay of the next poll while listed ends are not acknowledged, because such polls return immediately. */
const UNACKNOWLEDGED_PAUSE_MS = 200;

/**
 * Keeps one long poll of the worker pending, renews the lease with it and reports the worker's lists.
 * Reads replies of the worker; writes `poll`, and requests a new registration when the worker has
 * terminated. Without an owner only a new incarnation is polled. Runs after the owner link system.
 */
export class WorkerPollSystem extends System<RunnerAgentState> {
  override readonly name = 'hold';

  private constructor() {
    super();
  }

  static create(): WorkerPollSystem {
    return new WorkerPollSystem();
  }

  override run(state: RunnerAgentState, tick: Tick): void {
    for (const { callId, reply } of state.inbox.list('runnerReply'))
      if (callId === state.poll.callId) this.receiveReply(state, reply, tick.now);
    this.discardWaitingPoll(state, tick);
    const { poll, owner } = state;
    if (state.worker === undefined || poll.callId !== '') return;
    // A new incarnation gets the fence immediately; without an owner no other call reaches it.
    const hasSeenFence = owner.epoch === 0 || poll.answeredWorkerStartedMs === state.worker.bornMs;
    if (owner.linkId === '' && hasSeenFence) return;
    if (tick.now < poll.nextAt) {
      tick.wakeAt(poll.nextAt);
      return;
    }
    this.sendPoll(state);
  }

  /**
   * Another incarnation answered; its heartbeat will identify it. Until then it gets no calls: the
   * numbers of acknowledged ends are those of the previous incarnation, and would acknowledge ends of
   * the new one that were not read. The present one may also be that of a false heartbeat, which must
   * not outrank the true ones.
   */
  private handleOtherIncarnation(
    state: RunnerAgentState,
    worker: WorkerIdentity,
    bornMs: number,
    now: number,
  ): void {
    logAgentEvent(state, 'info', 'worker_replaced', { worker: worker.id, born: bornMs });
    resetIncarnation(state, now);
    state.worker = undefined;
  }

  /** Replaces a poll that waits for an end, for up to 1 s, by an urgent one, at a limited rate. */
  private discardWaitingPoll({ poll }: RunnerAgentState, tick: Tick): void {
    if (!poll.isUrgent || !poll.isWaiting || poll.callId === '') return;
    const mayAbandonAt = poll.lastAbandonedAt + ABANDON_INTERVAL_MS;
    if (tick.now < mayAbandonAt) {
      tick.wakeAt(mayAbandonAt);
      return;
    }
    poll.lastAbandonedAt = tick.now;
    poll.callId = '';
    poll.nextAt = tick.now;
  }

  private sendPoll(state: RunnerAgentState): void {
    const { poll, owner, lease, worker } = state;
    const isGranted = lease.workerStartedMs === worker?.bornMs && lease.untilMs > 0;
    const isFirstOfEpoch = poll.epoch !== owner.epoch;
    // A failed poll may indicate a new incarnation, which has other numbers of ends and another clock.
    const isSameIncarnation = isGranted && poll.failures === 0;
    const waitMs =
      isFirstOfEpoch ||
      poll.isUrgent ||
      poll.failures > 0 ||
      poll.lastListedEnd > lease.acknowledgedEnd
        ? 0
        : POLL_WAIT_MS;
    poll.epoch = owner.epoch;
    poll.isUrgent = false;
    poll.isWaiting = waitMs > 0;
    poll.lastSent += 1;
    poll.callId = sendRunnerCall(
      state,
      {
        op: 'hold',
        fence: computeFence(state),
        lastSeen: isSameIncarnation ? lease.acknowledgedEnd : 0,
        waitMs,
        ...(isSameIncarnation ? { leaseUntilMs: lease.untilMs } : {}),
      },
      waitMs + ANSWER_TIMEOUT_MS,
    );
  }

  private receiveReply(state: RunnerAgentState, reply: RunnerReply, now: number): void {
    const { poll, worker, lease } = state;
    poll.callId = '';
    if (reply.kind !== 'lists') {
      poll.failures += 1;
      poll.isUrgent ||= !poll.isWaiting;
      poll.nextAt = now + RETRY_DELAY_MS;
      // A lost answer does not prove that the worker has ended; a refused connection does.
      const hasEnded = reply.kind === 'unreachable' || reply.kind === 'otherIncarnation';
      if (state.workerExit === 'leaving' && hasEnded) {
        state.workerExit = 'gone';
        state.self.isRegistered = false;
        state.self.registerAt = now;
        state.owner.reportAt = now;
      }
      if (poll.failures === 1)
        logAgentEvent(state, 'warn', 'worker_silent', { answer: reply.kind });
      if (reply.kind === 'otherIncarnation' && state.workerExit === 'none' && worker !== undefined)
        this.handleOtherIncarnation(state, worker, 0, now);
      return;
    }
    if (poll.failures > 0)
      logAgentEvent(state, 'info', 'worker_answers', { failures: poll.failures });
    poll.failures = 0;
    if (worker === undefined) return;
    if (reply.bornMs !== undefined && reply.bornMs !== worker.bornMs) {
      this.handleOtherIncarnation(state, worker, reply.bornMs, now);
      return;
    }
    const wasProbe = isProbing(state);
    state.confirmedWorker = { id: worker.id, bornMs: worker.bornMs };
    if (wasProbe) {
      // The next poll carries the incarnation's own fence, which rejects calls to earlier ones.
      poll.isUrgent = true;
      poll.nextAt = now;
      return;
    }
    if (poll.answeredWorkerStartedMs !== worker.bornMs)
      recordIncarnation(state, reply.clockMs, now);
    poll.answeredWorkerStartedMs = worker.bornMs;
    // An incomplete list does not show which runs are absent.
    if (reply.isComplete) poll.lastCompleted = poll.lastSent;
    poll.listedRuns = new Set(
      [...reply.running, ...reply.ended].map(({ task, run }) => formatRunId(task, run)),
    );
    poll.clockMs = reply.clockMs;
    poll.clockReadAt = now;
    poll.lastListedEnd = reply.ended.reduce((last, end) => Math.max(last, end.number), 0);
    poll.nextAt = poll.lastListedEnd > lease.acknowledgedEnd ? now + UNACKNOWLEDGED_PAUSE_MS : now;
    sendOwner(state, {
      kind: 'report',
      epoch: poll.epoch,
      worker,
      clockMs: reply.clockMs,
      running: [...reply.running],
      ended: [...reply.ended],
      isComplete: reply.isComplete,
      leaseLeftMs: computeLeaseLeft(state, now),
    });
    state.owner.reportAt = now + POLL_WAIT_MS;
  }
}
