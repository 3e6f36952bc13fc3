import type { EntryState } from '../../model/entryState.ts';
import type { AttemptMessage, AttemptRow, RequestRow } from '../../model/request.ts';

/** Builds the message of an attempt with the time that remains until the deadline. */
export function buildAttemptMessage(
  state: EntryState,
  nowMs: number,
  request: RequestRow,
  attempt: AttemptRow,
): AttemptMessage {
  const route = state.configuration.current.routes.find(({ name }) => name === request.route);
  return {
    attemptId: attempt.id,
    requestId: request.id,
    endpointId: attempt.endpointId,
    agentBootId: attempt.agentBootId,
    remainingMs: request.deadlineMs - nowMs,
    method: request.request.method,
    path: request.request.path,
    headers: request.request.headers,
    body: request.request.body,
    maxResponseBytes: route?.maxResponseBytes ?? 0,
    idempotent: request.idempotent,
  };
}
