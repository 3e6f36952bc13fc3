import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { WorkerIdentity } from '../../model/scheduler/linkMessages.ts';
import { formatRunId } from '../../model/scheduler/rows.ts';
import type { RunnerReply } from '../../model/scheduler/runnerCall.ts';
import type { RunnerAgentState } from '../../model/scheduler/runnerAgentState.ts';
import {
  computeFence,
  logAgentEvent,
  resetIncarnation,
  sendOwner,
  sendRunnerCall,
} from './agentCalls.ts';

/** A look waits this long for an end; it also carries the lease, so it has to come back often. */
const POLL_WAIT_MS = 1_000;
/** Answers come within milliseconds after the wait; a busy instance is a few times slower. */
const ANSWER_TIMEOUT_MS = 600;
const RETRY_DELAY_MS = 100;
/** Abandoned looks keep their connections for up to a second; an agent has 16 to its worker. */
const ABANDON_INTERVAL_MS = 200;
/** While listed ends are not acknowledged every look returns at once, so the next one pauses. */
const UNACKNOWLEDGED_PAUSE_MS = 200;

/**
 * Keeps one look at the worker waiting, renews the lease with it and reports what it lists. Reads
 * replies of the worker; writes `hold` and asks for a new registration when the worker is gone. Without
 * an owner only a new incarnation gets a look. Runs after the owner's link.
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
    // A new incarnation is shown the fence at once; without an owner nothing else calls it.
    const hasSeenFence = owner.epoch === 0 || poll.answeredWorkerStartedMs === state.worker.bornMs;
    if (owner.linkId === '' && hasSeenFence) return;
    if (tick.now < poll.nextAt) {
      tick.wakeAt(poll.nextAt);
      return;
    }
    this.sendPoll(state);
  }

  /**
   * Another incarnation answered, and its beat tells what it is. Until then it gets no calls: the
   * numbers of ends are those of the one before, and would acknowledge its ends unread.
   */
  private handleOtherIncarnation(
    state: RunnerAgentState,
    worker: WorkerIdentity,
    bornMs: number,
    now: number,
  ): void {
    if (bornMs < worker.bornMs) {
      state.poll.nextAt = now + RETRY_DELAY_MS;
      return;
    }
    logAgentEvent(state, 'info', 'worker_replaced', { worker: worker.id, born: bornMs });
    resetIncarnation(state, now);
    state.worker = undefined;
  }

  /** A look that waits for an end may take a second; an urgent one replaces it, at a bounded rate. */
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
    // A failed look may be the first sign of a new incarnation, whose ends have other numbers.
    const mayAcknowledge = isGranted && poll.failures === 0;
    const waitMs =
      isFirstOfEpoch || poll.isUrgent || poll.lastListedEnd > lease.acknowledgedEnd
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
        lastSeen: mayAcknowledge ? lease.acknowledgedEnd : 0,
        waitMs,
        ...(isGranted ? { leaseUntilMs: lease.untilMs } : {}),
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
      // Answers may be lost while the worker works on; a refused connection shows that it has ended.
      const hasEnded = reply.kind === 'unreachable' || reply.kind === 'otherIncarnation';
      if (state.workerExit === 'leaving' && hasEnded) {
        state.workerExit = 'gone';
        state.self.isRegistered = false;
        state.self.registerAt = now;
        state.owner.reportAt = now;
      }
      if (poll.failures === 1)
        logAgentEvent(state, 'warn', 'worker_silent', { answer: reply.kind });
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
    poll.answeredWorkerStartedMs = worker.bornMs;
    // A list that is cut short does not show which runs are not there.
    if (reply.isComplete) poll.lastCompleted = poll.lastSent;
    poll.listedRuns = new Set(
      [...reply.running, ...reply.ended].map(({ task, run }) => formatRunId(task, run)),
    );
    poll.clockMs = reply.clockMs;
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
    });
    state.owner.reportAt = now + POLL_WAIT_MS;
  }
}
