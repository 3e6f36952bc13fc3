import type { QueueAnswer } from '../../model/scheduler/queueCall.ts';
import type { CallRow, SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { answerCall } from './callAnswers.ts';
import { logEvent } from './storeCalls.ts';

/**
 * The owner sends status updates every 300 ms; no calls are forwarded to an owner silent for
 * longer.
 */
const MAX_OWNER_SILENCE_MS = 900;
/**
 * Retry delay after the owner refused a call too; the store is then unavailable for more than this
 * entry.
 */
const RETRY_DELAY_MS = 300;

/**
 * Forwards a call that the store does not answer here to the owner, because the store may refuse
 * single instances. A submission may then be stored twice under the same id, which makes one job.
 * Returns false when the owner is not connected.
 */
export function forwardCall(state: SchedulerState, call: CallRow, now: number): boolean {
  const { ownership } = state;
  if (
    ownership.ownerLink !== 'open' ||
    now - ownership.lastConfirmedUpdateAt > MAX_OWNER_SILENCE_MS
  )
    return false;
  state.calls.set({
    ...call,
    isForwarded: true,
    isAwaitingReply: true,
    retryAt: Number.POSITIVE_INFINITY,
  });
  state.outbox.append({
    kind: 'hintOwner',
    message: {
      kind: 'call',
      callId: call.id,
      host: call.host,
      path: call.path,
      call: call.call,
      deadlineMs: Math.max(1, call.deadlineAt - now),
    },
  });
  state.counters.add('calls_forwarded');
  logEvent(state, 'info', 'call_forwarded', {
    call: call.id,
    job: call.jobId,
    tries: call.attempts,
  });
  return true;
}

/**
 * Passes the owner's answer on; a refused call is retried here if an earlier write may have taken
 * effect.
 */
export function applyForwardedAnswer(
  state: SchedulerState,
  callId: string,
  answer: QueueAnswer,
  now: number,
): void {
  const call = state.calls.get(callId);
  if (call?.isForwarded !== true) return;
  if (answer.kind === 'refused' && call.hasUnconfirmedWrite) {
    state.calls.update(callId, {
      isForwarded: false,
      isAwaitingReply: false,
      retryAt: now + RETRY_DELAY_MS,
    });
    return;
  }
  if (answer.kind === 'accepted' && !state.statuses.has(call.jobId))
    state.statuses.set({ id: call.jobId, queue: call.queue, phase: 'pending' });
  answerCall(state, callId, answer);
}

/**
 * Resumes forwarded calls here when the link to the owner closes; the owner may have executed them.
 */
export function resumeForwardedCalls(state: SchedulerState, now: number): void {
  for (const call of state.calls.list())
    if (call.isForwarded)
      state.calls.update(call.id, {
        isForwarded: false,
        isAwaitingReply: false,
        hasUnconfirmedWrite: call.hasUnconfirmedWrite || call.call.kind === 'submit',
        retryAt: now,
      });
}
