import type { ErrorKind } from '../../base/common/errors.ts';
import type { QueueAnswer } from '../../model/scheduler/queueCall.ts';
import type { CallRow, SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { logEvent } from './storeCalls.ts';
import { STORE_RETRY_AFTER_MS } from './storeHealth.ts';

/** Separates the id of the entry that forwarded a call from the call's id at that entry. */
export const PEER_SEPARATOR = '!';

/** Answers a caller, or the entry that forwarded the call, and removes the call. */
export function answerCall(state: SchedulerState, callId: string, answer: QueueAnswer): void {
  state.calls.remove(callId);
  const separatorIndex = callId.indexOf(PEER_SEPARATOR);
  if (separatorIndex === -1) state.outbox.append({ kind: 'answerCall', callId, answer });
  else
    state.outbox.append({
      kind: 'sendPeer',
      peerId: callId.slice(0, separatorIndex),
      message: { kind: 'answer', callId: callId.slice(separatorIndex + 1), answer },
    });
  state.counters.add('call_answers', { kind: answer.kind });
}

export function refuseCall(
  state: SchedulerState,
  callId: string,
  /** Id of the job, or the path when it contains no id. */
  subject: string,
  error: ErrorKind,
  message: string,
  retryAfterMs?: number,
): void {
  state.counters.add('refusals', { kind: error });
  logEvent(state, 'info', 'call_refused', {
    job: subject,
    call: callId,
    kind: error,
    message,
    configuration: state.operator.configuration?.version ?? 0,
  });
  answerCall(state, callId, {
    kind: 'refused',
    error,
    message,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  });
}

/**
 * Refuses a call at its deadline. Only a call that certainly wrote nothing to the store is refused
 * with an error that says that it did not run.
 */
export function refuseExpiredCall(state: SchedulerState, call: CallRow): void {
  const mayBeStored =
    call.call.kind === 'submit' && (call.hasUnconfirmedWrite || call.isAwaitingReply);
  if (mayBeStored)
    refuseCall(
      state,
      call.id,
      call.jobId,
      'deadline_exceeded_running',
      'the store did not answer before the deadline; the job may have been accepted',
    );
  else
    refuseCall(
      state,
      call.id,
      call.jobId,
      'store_unavailable',
      'the store is unavailable',
      STORE_RETRY_AFTER_MS,
    );
}
