import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { WorkerIdentity } from '../../model/scheduler/links.ts';
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
const WAIT_MS = 1_000;
/** Answers come within milliseconds after the wait; a busy instance is a few times slower. */
const ANSWER_MS = 600;
const RETRY_MS = 100;
/** Abandoned looks keep their connections for up to a second; an agent has 16 to its worker. */
const ABANDON_EVERY_MS = 200;
/** While listed ends are not acknowledged every look returns at once, so the next one pauses. */
const UNACKNOWLEDGED_PAUSE_MS = 200;

/**
 * Keeps one look at the worker waiting, renews the lease with it and reports what it lists. Reads
 * replies of the worker; writes `hold` and asks for a new registration when the worker is gone. Without
 * an owner only a new incarnation gets a look. Runs after the owner's link.
 */
export class HoldSystem extends System<RunnerAgentState> {
  override readonly name = 'hold';

  private constructor() {
    super();
  }

  static create(): HoldSystem {
    return new HoldSystem();
  }

  override run(state: RunnerAgentState, tick: Tick): void {
    for (const { callId, reply } of state.inbox.list('runnerReply'))
      if (callId === state.hold.callId) this.receiveReply(state, reply, tick.now);
    this.dropWaitingLook(state, tick);
    const { hold, owner } = state;
    if (state.worker === undefined || hold.callId !== '') return;
    // A new incarnation is shown the fence at once; without an owner nothing else calls it.
    const isFenceKnown = owner.epoch === 0 || hold.answeredBornMs === state.worker.bornMs;
    if (owner.linkId === '' && isFenceKnown) return;
    if (tick.now < hold.nextAt) {
      tick.wakeAt(hold.nextAt);
      return;
    }
    this.sendHold(state);
  }

  /**
   * Another incarnation answered, and its beat tells what it is. Until then it gets no calls: the
   * numbers of ends are those of the one before, and would acknowledge its ends unread.
   */
  private dropReplaced(
    state: RunnerAgentState,
    worker: WorkerIdentity,
    bornMs: number,
    now: number,
  ): void {
    if (bornMs < worker.bornMs) {
      state.hold.nextAt = now + RETRY_MS;
      return;
    }
    logAgentEvent(state, 'info', 'worker_replaced', { worker: worker.id, born: bornMs });
    resetIncarnation(state, now);
    state.worker = undefined;
  }

  /** A look that waits for an end may take a second; an urgent one replaces it, at a bounded rate. */
  private dropWaitingLook({ hold }: RunnerAgentState, tick: Tick): void {
    if (!hold.isUrgent || !hold.isWaiting || hold.callId === '') return;
    const mayAbandonAt = hold.abandonedAt + ABANDON_EVERY_MS;
    if (tick.now < mayAbandonAt) {
      tick.wakeAt(mayAbandonAt);
      return;
    }
    hold.abandonedAt = tick.now;
    hold.callId = '';
    hold.nextAt = tick.now;
  }

  private sendHold(state: RunnerAgentState): void {
    const { hold, owner, lease, worker } = state;
    const isGranted = lease.bornMs === worker?.bornMs && lease.untilMs > 0;
    const isFirst = hold.epoch !== owner.epoch;
    // A failed look may be the first sign of a new incarnation, whose ends have other numbers.
    const mayAcknowledge = isGranted && hold.failures === 0;
    const waitMs = isFirst || hold.isUrgent || hold.lastListed > lease.lastSeen ? 0 : WAIT_MS;
    hold.epoch = owner.epoch;
    hold.isUrgent = false;
    hold.isWaiting = waitMs > 0;
    hold.sent += 1;
    hold.callId = sendRunnerCall(
      state,
      {
        op: 'hold',
        fence: computeFence(state),
        lastSeen: mayAcknowledge ? lease.lastSeen : 0,
        waitMs,
        ...(isGranted ? { leaseUntilMs: lease.untilMs } : {}),
      },
      waitMs + ANSWER_MS,
    );
  }

  private receiveReply(state: RunnerAgentState, reply: RunnerReply, now: number): void {
    const { hold, worker, lease } = state;
    hold.callId = '';
    if (reply.kind !== 'lists') {
      hold.failures += 1;
      hold.isUrgent ||= !hold.isWaiting;
      hold.nextAt = now + RETRY_MS;
      // Answers may be lost while the worker works on; a refused connection shows that it has ended.
      const hasEnded = reply.kind === 'unreachable' || reply.kind === 'otherIncarnation';
      if (state.workerExit === 'leaving' && hasEnded) {
        state.workerExit = 'gone';
        state.self.isRegistered = false;
        state.self.registerAt = now;
        state.owner.reportAt = now;
      }
      if (hold.failures === 1)
        logAgentEvent(state, 'warn', 'worker_silent', { answer: reply.kind });
      return;
    }
    if (hold.failures > 0)
      logAgentEvent(state, 'info', 'worker_answers', { failures: hold.failures });
    hold.failures = 0;
    if (worker === undefined) return;
    if (reply.bornMs !== undefined && reply.bornMs !== worker.bornMs) {
      this.dropReplaced(state, worker, reply.bornMs, now);
      return;
    }
    hold.answeredBornMs = worker.bornMs;
    // A list that is cut short does not show which runs are not there.
    if (reply.isComplete) hold.finished = hold.sent;
    hold.listed = new Set(
      [...reply.running, ...reply.ended].map(({ task, run }) => formatRunId(task, run)),
    );
    hold.clockMs = reply.clockMs;
    hold.lastListed = reply.ended.reduce((last, end) => Math.max(last, end.number), 0);
    hold.nextAt = hold.lastListed > lease.lastSeen ? now + UNACKNOWLEDGED_PAUSE_MS : now;
    sendOwner(state, {
      kind: 'report',
      epoch: hold.epoch,
      worker,
      clockMs: reply.clockMs,
      running: [...reply.running],
      ended: [...reply.ended],
      isComplete: reply.isComplete,
    });
    state.owner.reportAt = now + WAIT_MS;
  }
}
