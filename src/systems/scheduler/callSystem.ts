import { parseValue } from '../../base/common/parse.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import { isFinalPhase, jobIdSchema } from '../../model/scheduler/jobRecord.ts';
import { findQueue } from '../../model/scheduler/queueConfiguration.ts';
import type { SchedulerArrival } from '../../model/scheduler/schedulerMessages.ts';
import type { CallRow, SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { answerCall, PEER_SEPARATOR, refuseCall, refuseExpiredCall } from './callAnswers.ts';
import { applyForwardedAnswer, forwardCall, resumeForwardedCalls } from './callForwarding.ts';
import { receiveCallReply } from './callReplies.ts';
import { sendNextStoreCall } from './nextStoreCall.ts';
import { getQueueTerms } from './queueTerms.ts';
import { isStoreUnavailable, STORE_RETRY_AFTER_MS } from './storeHealth.ts';

type QueueCallArrival = Extract<SchedulerArrival, { kind: 'queueCall' }>;

/** Timeout of one store call for a caller; a slow store answers within 0.4 s. */
const ATTEMPT_TIMEOUT_MS = 700;
/**
 * Time before the deadline at which an undecided call is answered, so the answer arrives in time.
 */
const ANSWER_MARGIN_MS = 150;
/** Largest share of a short deadline used as the margin; the rest remains for the store. */
const ANSWER_MARGIN_SHARE = 0.1;
/** The owner sends status updates every 300 ms; older phases are read from the store instead. */
const MAX_STATUS_AGE_MS = 1_200;
/** Age up to which the job interface allows a count of waiting jobs. */
const MAX_COUNT_AGE_MS = 2_000;
/** Ownership changes and links open within about 1 s. */
const COUNT_RETRY_AFTER_MS = 1_000;

/**
 * Answers callers: stores submitted jobs and cancellations, and returns phases and counts. Reads
 * calls, `statuses` and store replies; writes `calls`, `statuses` and entry messages for the owner.
 * Runs after the takeover system.
 */
export class CallSystem extends System<SchedulerState> {
  override readonly name = 'call';

  private constructor() {
    super();
  }

  static create(): CallSystem {
    return new CallSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    for (const { callId } of state.inbox.list('callerGone')) state.calls.remove(callId);
    for (const { isOpen } of state.inbox.list('ownerLink'))
      if (!isOpen) resumeForwardedCalls(state, tick.now);
    for (const arrival of this.listCalls(state)) this.receiveCall(state, arrival, tick.now);
    for (const { message } of state.inbox.list('ownerMessage'))
      if (message.kind === 'answer')
        applyForwardedAnswer(state, message.callId, message.answer, tick.now);
    for (const { callId, reply } of state.inbox.list('storeReply')) {
      const match = /^(submit|cancel|read|barLease|bar)@(.+)#\d+$/.exec(callId);
      const call = state.calls.get(match?.[2] ?? '');
      if (call !== undefined) receiveCallReply(state, call, match?.[1] ?? '', reply, tick.now);
    }
    for (const call of state.calls.list()) this.updateCall(state, call, tick);
  }

  /** Lists the calls of this entry's callers and those that other entries forwarded. */
  private listCalls(state: SchedulerState): QueueCallArrival[] {
    const calls = [...state.inbox.list('queueCall')];
    for (const { peerId, message } of state.inbox.list('peerHint')) {
      if (message.kind !== 'call') continue;
      const { host, path, call, deadlineMs } = message;
      const callId = `${peerId}${PEER_SEPARATOR}${message.callId}`;
      calls.push({ kind: 'queueCall', callId, host, path, call, deadlineMs });
    }
    return calls;
  }

  private receiveCall(state: SchedulerState, arrival: QueueCallArrival, now: number): void {
    const { configuration } = state.operator;
    if (configuration === undefined) {
      refuseCall(
        state,
        arrival.callId,
        arrival.path,
        'store_unavailable',
        'the configuration has not been loaded yet',
        1_000,
      );
      return;
    }
    const queue = findQueue(configuration, arrival.host, arrival.path);
    if (queue === undefined) {
      refuseCall(state, arrival.callId, arrival.path, 'no_route', 'no queue at this host and path');
      return;
    }
    const jobId = arrival.path.slice(queue.prefix.length).replace(/^\//, '');
    if (jobId === '' && arrival.call.kind === 'read') {
      this.answerCount(state, arrival, queue.name, now);
      return;
    }
    if (parseValue(jobIdSchema, jobId).isLeft()) {
      refuseCall(
        state,
        arrival.callId,
        arrival.path,
        'bad_request',
        'a job id must have 16 hexadecimal digits',
      );
      return;
    }
    const call: CallRow = {
      id: arrival.callId,
      call: arrival.call,
      jobId,
      queue: queue.name,
      terms: getQueueTerms(queue),
      deadlineAt:
        now +
        arrival.deadlineMs -
        Math.min(ANSWER_MARGIN_MS, arrival.deadlineMs * ANSWER_MARGIN_SHARE),
      startedAt: now,
      attempts: 0,
      hasUnconfirmedWrite: false,
      isAwaitingReply: false,
      retryAt: now,
      jobVersion: 0,
      barLeaseId: undefined,
      host: arrival.host,
      path: arrival.path,
      isForwarded: false,
    };
    if (this.answerWithoutStore(state, call, now)) return;
    state.calls.set(call);
  }

  /**
   * Answers the number of waiting jobs of a queue. Refuses when the statuses are outdated, because
   * the count would omit jobs that other entries accepted.
   */
  private answerCount(
    state: SchedulerState,
    { callId, path }: QueueCallArrival,
    queueName: string,
    now: number,
  ): void {
    const { role, confirmedAt, statusesCurrentAt } = state.ownership;
    const updatedAt = role === 'owner' ? confirmedAt : statusesCurrentAt;
    if (now - updatedAt > MAX_COUNT_AGE_MS) {
      refuseCall(
        state,
        callId,
        path,
        'no_owner',
        'no owner has confirmed the job statuses recently',
        COUNT_RETRY_AFTER_MS,
      );
      return;
    }
    const waiting = state.statusesByQueue
      .list(queueName)
      .filter(({ phase }) => phase === 'pending').length;
    answerCall(state, callId, { kind: 'count', waiting });
  }

  /** Answers calls that need no store call here: known phases, and submissions during an outage. */
  private answerWithoutStore(state: SchedulerState, call: CallRow, now: number): boolean {
    if (
      isStoreUnavailable(state, now) &&
      call.call.kind !== 'read' &&
      forwardCall(state, call, now)
    )
      return true;
    if (call.call.kind === 'submit' && isStoreUnavailable(state, now)) {
      refuseCall(
        state,
        call.id,
        call.jobId,
        'store_unavailable',
        'the store is unavailable',
        STORE_RETRY_AFTER_MS,
      );
      return true;
    }
    if (call.call.kind !== 'read') return false;
    const status = state.statuses.get(call.jobId);
    if (status === undefined) return false;
    const { ownership } = state;
    const isCurrent =
      ownership.role === 'owner' || now - ownership.lastConfirmedUpdateAt < MAX_STATUS_AGE_MS;
    if (!isFinalPhase(status.phase) && !isCurrent && !isStoreUnavailable(state, now)) return false;
    answerCall(state, call.id, { kind: 'phase', phase: status.phase });
    return true;
  }

  private updateCall(state: SchedulerState, call: CallRow, tick: Tick): void {
    if (tick.now >= call.deadlineAt) {
      refuseExpiredCall(state, call);
      return;
    }
    if (tick.now >= call.retryAt) this.sendAttempt(state, call, tick.now);
    const next = state.calls.get(call.id)?.retryAt ?? Number.POSITIVE_INFINITY;
    tick.wakeAt(Math.min(next, call.deadlineAt));
  }

  private sendAttempt(state: SchedulerState, call: CallRow, now: number): void {
    state.calls.update(call.id, {
      attempts: call.attempts + 1,
      isAwaitingReply: true,
      retryAt: Number.POSITIVE_INFINITY,
    });
    const timeoutMs = Math.max(50, Math.min(ATTEMPT_TIMEOUT_MS, call.deadlineAt - now));
    sendNextStoreCall(state, call, timeoutMs);
  }
}
