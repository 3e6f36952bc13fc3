import type { Failure } from '../../base/common/errors.ts';
import { createFailure, ERROR_ANSWERS } from '../../base/common/errors.ts';
import type { Tick } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { RequestRow } from '../../model/request.ts';
import type { RetryPolicy } from './retryPolicy.ts';
import { INITIAL_RETRY_TOKENS, MAX_RETRY_TOKENS, RETRY_TOKENS_PER_REQUEST } from './retryPolicy.ts';
import { completeWithFailure } from './requestCompletion.ts';

const DEFAULT_MAX_ATTEMPTS = 3;
/** Failures that another attempt cannot change. */
const NON_RETRYABLE_KINDS = new Set(['answer_too_large', 'body_too_large', 'bad_request']);

/** Credits a service's retry budget for one request. */
export function addRetryTokens(state: EntryState, service: string): void {
  const tokens = state.retryBudgets.get(service)?.tokens ?? INITIAL_RETRY_TOKENS;
  state.retryBudgets.set({
    id: service,
    tokens: Math.min(MAX_RETRY_TOKENS, tokens + RETRY_TOKENS_PER_REQUEST),
  });
}

/** Schedules another attempt if one is allowed. Returns whether it was scheduled. */
export function scheduleRetry(
  state: EntryState,
  tick: Tick,
  policy: RetryPolicy,
  request: RequestRow,
  failure: Failure,
  retryAfterMs?: number,
): boolean {
  const reason = findRetryObstacle(state, request, failure);
  if (reason !== undefined) return countRefusedRetry(state, reason);
  const tokens = state.retryBudgets.get(request.service)?.tokens ?? INITIAL_RETRY_TOKENS;
  const decision = policy.choose({
    attempts: request.attempts,
    tokens,
    retryAfterMs,
    random: tick.random,
  });
  if (!decision.isGranted) return countRefusedRetry(state, decision.reason);
  if (tick.now + decision.delayMs >= request.deadlineMs)
    return countRefusedRetry(state, 'deadline');
  state.retryBudgets.set({ id: request.service, tokens: tokens - decision.cost });
  state.counters.add('retries', { reason: failure.kind });
  state.requests.update(request.id, {
    phase: decision.delayMs > 0 ? 'backing-off' : 'queued',
    notBeforeMs: tick.now + decision.delayMs,
    lastFailure: failure,
  });
  return true;
}

/** Schedules another attempt, or completes the request with the failure of the last one. */
export function scheduleRetryOrComplete(
  state: EntryState,
  tick: Tick,
  policy: RetryPolicy,
  request: RequestRow,
  failure: Failure,
): void {
  if (scheduleRetry(state, tick, policy, request, failure)) return;
  const isProvenNotRun = !request.mayHaveRun && ERROR_ANSWERS[failure.kind].ran !== 'no';
  completeWithFailure(
    state,
    request.id,
    isProvenNotRun ? createFailure('no_endpoint', failure.message) : failure,
  );
}

function findRetryObstacle(
  state: EntryState,
  request: RequestRow,
  failure: Failure,
): string | undefined {
  if (request.mayHaveRun && !request.idempotent) return 'may_have_run';
  if (NON_RETRYABLE_KINDS.has(failure.kind)) return 'final';
  const route = state.configuration.current.routes.find(({ name }) => name === request.route);
  if (request.attempts >= (route?.maxAttempts ?? DEFAULT_MAX_ATTEMPTS)) return 'max_attempts';
  return undefined;
}

function countRefusedRetry(state: EntryState, reason: string): false {
  state.counters.add('retries_refused', { reason });
  return false;
}
