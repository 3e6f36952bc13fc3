import type { Failure } from '../../base/common/errors.ts';
import { createFailure, ERROR_ANSWERS } from '../../base/common/errors.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { AttemptRow, RequestRow, Response } from '../../model/request.ts';
import { recordRefusal } from '../decisions.ts';
import { queueKeyOutcome } from '../keys/keyOutcomes.ts';

/** Refuses a request that has no row, and counts the refusal by its reason. */
export function sendRefusal(
  state: EntryState,
  requestId: string,
  failure: Failure,
  retryAfterMs?: number,
): void {
  state.counters.add('refusals', { reason: failure.kind });
  recordRefusal(state, requestId, failure);
  state.outbox.append({
    kind: 'refuseCaller',
    requestId,
    failure,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  });
}

/**
 * Completes a request with a failure. Removes the row, so that a late reply is ignored. Replaces a
 * failure that says "not run" if any attempt may have run.
 */
export function completeWithFailure(
  state: EntryState,
  requestId: string,
  failure: Failure,
  retryAfterMs?: number,
): void {
  const request = removeRequest(state, requestId);
  if (request === undefined) return;
  queueKeyOutcome(state, request, request.mayHaveRun ? 'unknown' : 'notRun');
  sendRefusal(state, requestId, resolveFailure(request, failure), retryAfterMs);
}

/** Completes a request with the response of the endpoint. */
export function completeWithResponse(
  state: EntryState,
  requestId: string,
  response: Response,
): void {
  const request = removeRequest(state, requestId);
  if (request === undefined) return;
  queueKeyOutcome(state, request, 'answered', response);
  state.counters.add('answers', { status: `${Math.floor(response.status / 100)}xx` });
  state.outbox.append({ kind: 'answerCaller', requestId, response });
}

/** Completes a request whose caller has disconnected. */
export function completeWithoutAnswer(state: EntryState, requestId: string): void {
  const request = removeRequest(state, requestId);
  if (request === undefined) return;
  queueKeyOutcome(state, request, request.mayHaveRun ? 'unknown' : 'notRun');
}

/** Removes an attempt and decrements the in-flight count of its endpoint. */
export function removeAttempt(state: EntryState, attemptId: string): AttemptRow | undefined {
  const attempt = state.attempts.remove(attemptId);
  if (attempt === undefined) return undefined;
  const endpoint = state.endpoints.get(attempt.endpointId);
  if (endpoint !== undefined)
    state.endpoints.update(endpoint.id, { inFlight: Math.max(0, endpoint.inFlight - 1) });
  return attempt;
}

export function getLatestAttemptId(request: RequestRow): string {
  return `${request.id}.${request.attempts}`;
}

function removeRequest(state: EntryState, requestId: string): RequestRow | undefined {
  const request = state.requests.remove(requestId);
  if (request === undefined) return undefined;
  const attempt = state.attempts.get(getLatestAttemptId(request));
  if (attempt === undefined) return request;
  const address = attempt.agentAddress ?? state.endpoints.get(attempt.endpointId)?.agentAddress;
  removeAttempt(state, attempt.id);
  state.counters.add('abandoned_attempts');
  if (address !== undefined)
    state.outbox.append({ kind: 'abandonAttempt', address, attemptId: attempt.id });
  return request;
}

function resolveFailure(request: RequestRow, failure: Failure): Failure {
  if (!request.mayHaveRun || ERROR_ANSWERS[failure.kind].ran !== 'no') return failure;
  const kind =
    failure.kind === 'deadline_exceeded_before_run'
      ? 'deadline_exceeded_running'
      : 'outcome_unknown';
  return createFailure(kind, `an attempt may have run; ${failure.message}`);
}
