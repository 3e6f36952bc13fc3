import type { QueueAnswer } from '../../model/scheduler/queueCall.ts';
import type { CallRow, SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { answerCall } from './callAnswers.ts';
import { logEvent } from './storeCalls.ts';

/** News of the owner come every 300 ms; an owner that is silent for longer gets no calls. */
const MAX_OWNER_SILENCE_MS = 900;
/** Pause after the owner could not help either; the store is then away for more than this entry. */
const RETRY_DELAY_MS = 300;

/**
 * Asks the owner to carry a call out that the store does not answer here: the store may turn single
 * instances away. A submission may then be stored twice under one id, which is one job. Returns
 * false when no owner is in touch.
 */
export function forwardCall(state: SchedulerState, call: CallRow, now: number): boolean {
  const { ownership } = state;
  if (ownership.ownerLink !== 'open' || now - ownership.ownerHeardAt > MAX_OWNER_SILENCE_MS)
    return false;
  state.calls.set({
    ...call,
    isForwarded: true,
    isPending: true,
    retryAt: Number.POSITIVE_INFINITY,
  });
  state.outbox.append({
    kind: 'hintOwner',
    hint: {
      kind: 'call',
      callId: call.id,
      host: call.host,
      path: call.path,
      call: call.call,
      deadlineMs: Math.max(1, call.deadlineAt - now),
    },
  });
  state.counters.add('calls_forwarded');
  logEvent(state, 'info', 'call_forwarded', { call: call.id, job: call.jobId, tries: call.tries });
  return true;
}

/** Takes the owner's answer; a refusal is passed on only if nothing of the call is in doubt here. */
export function applyForwardedAnswer(
  state: SchedulerState,
  callId: string,
  answer: QueueAnswer,
  now: number,
): void {
  const call = state.calls.get(callId);
  if (call?.isForwarded !== true) return;
  if (answer.kind === 'refused' && call.isInDoubt) {
    state.calls.update(callId, {
      isForwarded: false,
      isPending: false,
      retryAt: now + RETRY_DELAY_MS,
    });
    return;
  }
  if (answer.kind === 'accepted' && !state.statuses.has(call.jobId))
    state.statuses.set({ id: call.jobId, queue: call.queue, phase: 'pending' });
  answerCall(state, callId, answer);
}

/** When the link to the owner breaks, forwarded calls go on here; what the owner did is unknown. */
export function resumeForwardedCalls(state: SchedulerState, now: number): void {
  for (const call of state.calls.list())
    if (call.isForwarded)
      state.calls.update(call.id, {
        isForwarded: false,
        isPending: false,
        isInDoubt: call.isInDoubt || call.call.kind === 'submit',
        retryAt: now,
      });
}
