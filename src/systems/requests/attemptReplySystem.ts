import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { AttemptReply, AttemptRow, RequestRow, Response } from '../../model/request.ts';
import { createFailure } from '../../base/common/errors.ts';
import { completeWithResponse, removeAttempt } from './requestCompletion.ts';
import { scheduleRetry, scheduleRetryOrComplete } from './retry.ts';
import type { RetryPolicy } from './retryPolicy.ts';
import { recordAttemptReply } from '../routing/endpointHealth.ts';

/**
 * Matches replies of agents to attempts, and answers the callers or schedules retries.
 * Reads `attemptReply`. Writes `attempts`, `requests`, `endpoints`, `retryBudgets`.
 * Runs each tick, before dispatch, so that dispatch can use a freed slot in the same tick.
 */
export class AttemptReplySystem extends System<EntryState> {
  override readonly name = 'attemptReply';

  private constructor(private readonly policy: RetryPolicy) {
    super();
  }

  static create(policy: RetryPolicy): AttemptReplySystem {
    return new AttemptReplySystem(policy);
  }

  override run(state: EntryState, tick: Tick): void {
    for (const arrival of state.inbox.list('attemptReply'))
      this.handleReply(state, tick, arrival.attemptId, arrival.reply);
  }

  private handleReply(state: EntryState, tick: Tick, attemptId: string, reply: AttemptReply): void {
    if (reply.attemptId !== attemptId) {
      state.counters.add('mismatched_answers');
      return;
    }
    const attempt = removeAttempt(state, attemptId);
    if (attempt !== undefined) recordAttemptReply(state, tick.now, attempt, reply);
    const request = attempt === undefined ? undefined : state.requests.get(attempt.requestId);
    if (attempt === undefined || request === undefined) {
      state.counters.add('late_answers');
      return;
    }
    if (reply.load !== undefined)
      state.endpoints.update(attempt.endpointId, { load: reply.load, confirmedMs: tick.now });
    if (reply.outcome.kind === 'response')
      this.handleResponse(state, tick, request, attempt, reply.outcome.response);
    else this.handleFailure(state, tick, request, attempt, reply.outcome);
  }

  private handleResponse(
    state: EntryState,
    tick: Tick,
    request: RequestRow,
    attempt: AttemptRow,
    response: Response,
  ): void {
    const retryAfterMs = response.status === 503 ? parseRetryAfterMs(response) : undefined;
    if (retryAfterMs !== undefined && request.idempotent) {
      const next = recordAttemptOutcome(state, request, attempt, true);
      const failure = createFailure('endpoint_failed', 'the endpoint answered with status 503');
      if (scheduleRetry(state, tick, this.policy, next, failure, retryAfterMs)) return;
    }
    completeWithResponse(state, request.id, response);
  }

  private handleFailure(
    state: EntryState,
    tick: Tick,
    request: RequestRow,
    attempt: AttemptRow,
    outcome: Extract<AttemptReply['outcome'], { kind: 'rejected' | 'failed' }>,
  ): void {
    const mayHaveRun = outcome.kind === 'failed' || isRejectedByNewBoot(attempt, outcome);
    const next = recordAttemptOutcome(state, request, attempt, mayHaveRun);
    state.counters.add('attempt_failures', { outcome: outcome.kind, reason: outcome.failure.kind });
    const failure =
      mayHaveRun && outcome.kind === 'rejected'
        ? createFailure('outcome_unknown', outcome.failure.message)
        : outcome.failure;
    scheduleRetryOrComplete(state, tick, this.policy, next, failure);
  }
}

/**
 * Whether a new boot of the agent rejected a resent attempt. The new boot cannot know whether the
 * previous one received an earlier send. Without a resend, the rejection proves that the attempt
 * did not run, because a link delivers a message to one boot only.
 */
function isRejectedByNewBoot(
  attempt: AttemptRow,
  outcome: { readonly failure: { readonly kind: string } },
): boolean {
  return outcome.failure.kind === 'agent_restarted' && attempt.sends > 1;
}

function recordAttemptOutcome(
  state: EntryState,
  request: RequestRow,
  attempt: AttemptRow,
  mayHaveRun: boolean,
): RequestRow {
  const hasRunBefore = mayHaveRun || request.hasRunBefore === true;
  const patch = {
    hasRunBefore,
    mayHaveRun: hasRunBefore,
    triedEndpoints: [...request.triedEndpoints, attempt.endpointId],
  };
  return state.requests.update(request.id, patch) ?? { ...request, ...patch };
}

/** Parses `Retry-After` in seconds. Ignores a date, because wall clocks are not compared. */
function parseRetryAfterMs(response: Response): number | undefined {
  const header = response.headers.find(([name]) => name.toLowerCase() === 'retry-after');
  if (header === undefined || !/^\d+$/.test(header[1].trim())) return undefined;
  return Number(header[1]) * 1_000;
}
