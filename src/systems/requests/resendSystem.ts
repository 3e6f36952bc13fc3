import { createFailure } from '../../base/common/errors.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { AttemptRow, RequestRow } from '../../model/request.ts';
import { recordAttemptFailure } from '../routing/endpointHealth.ts';
import { buildAttemptMessage } from './attemptMessage.ts';
import { removeAttempt } from './requestCompletion.ts';
import { scheduleRetryOrComplete } from './retry.ts';
import type { RetryPolicy } from './retryPolicy.ts';

/** The agent retains the record of an attempt for 30 s, so a resend within 20 s finds it. */
const RESEND_WINDOW_MS = 20_000;
const INITIAL_RESEND_DELAY_MS = 10;
const MAX_RESEND_DELAY_MS = 500;
/** An idempotent request is retried at another endpoint rather than resent to a silent agent. */
const MAX_IDEMPOTENT_SENDS = 3;

/**
 * Resends an attempt to the same agent after a link failure, because the agent's record shows
 * whether the attempt ran. Closes an attempt as lost when its agent cannot be reached.
 * Reads `attemptLinkFailed`, `endpoints`. Writes `attempts`, `requests`.
 * Runs each tick, after replies.
 */
export class ResendSystem extends System<EntryState> {
  override readonly name = 'resend';

  private constructor(private readonly policy: RetryPolicy) {
    super();
  }

  static create(policy: RetryPolicy): ResendSystem {
    return new ResendSystem(policy);
  }

  override run(state: EntryState, tick: Tick): void {
    for (const { attemptId, message } of state.inbox.list('attemptLinkFailed'))
      this.handleLinkFailure(state, tick, attemptId, message);
    for (const attempt of state.attemptsByPhase.list('resending')) {
      const resendAtMs = attempt.resendAtMs ?? tick.now;
      if (resendAtMs > tick.now) tick.wakeAt(resendAtMs);
      else this.sendAttempt(state, tick, attempt);
    }
  }

  private handleLinkFailure(
    state: EntryState,
    tick: Tick,
    attemptId: string,
    message: string,
  ): void {
    const attempt = state.attempts.get(attemptId);
    const request = attempt === undefined ? undefined : state.requests.get(attempt.requestId);
    if (attempt?.phase !== 'sent' || request === undefined) {
      state.counters.add('late_link_failures');
      return;
    }
    state.counters.add('link_failures');
    const endpoint = state.endpoints.get(attempt.endpointId);
    const agentAddress = attempt.agentAddress ?? endpoint?.agentAddress;
    const maxDelayMs = Math.min(
      MAX_RESEND_DELAY_MS,
      INITIAL_RESEND_DELAY_MS * 2 ** (attempt.sends - 1),
    );
    const resendAtMs = tick.now + maxDelayMs * (0.5 + tick.random.takeUnit() / 2);
    const hasAgentRestarted =
      endpoint !== undefined && endpoint.agentBootId !== attempt.agentBootId;
    if (
      agentAddress === undefined ||
      hasAgentRestarted ||
      !canResend(request, attempt, resendAtMs)
    ) {
      this.handleLostAttempt(state, tick, attempt, request, message);
      return;
    }
    state.attempts.update(attempt.id, { phase: 'resending', agentAddress, resendAtMs });
  }

  private handleLostAttempt(
    state: EntryState,
    tick: Tick,
    attempt: AttemptRow,
    request: RequestRow,
    message: string,
  ): void {
    removeAttempt(state, attempt.id);
    recordAttemptFailure(state, tick.now, attempt.endpointId);
    const next = state.requests.update(request.id, {
      mayHaveRun: true,
      hasRunBefore: true,
      triedEndpoints: [...request.triedEndpoints, attempt.endpointId],
    });
    if (next === undefined) return;
    state.counters.add('lost_attempts');
    const failure = createFailure('outcome_unknown', `the agent could not be reached: ${message}`);
    scheduleRetryOrComplete(state, tick, this.policy, next, failure);
  }

  private sendAttempt(state: EntryState, tick: Tick, attempt: AttemptRow): void {
    const request = state.requests.get(attempt.requestId);
    if (request === undefined || attempt.agentAddress === undefined) return;
    state.counters.add('resends');
    state.attempts.update(attempt.id, { phase: 'sent', sends: attempt.sends + 1 });
    state.outbox.append({
      kind: 'sendAttempt',
      address: attempt.agentAddress,
      message: buildAttemptMessage(state, tick.now, request, attempt),
    });
  }
}

function canResend(request: RequestRow, attempt: AttemptRow, resendAtMs: number): boolean {
  if (resendAtMs - attempt.sentMs > RESEND_WINDOW_MS) return false;
  if (request.idempotent && attempt.sends >= MAX_IDEMPOTENT_SENDS) return false;
  return resendAtMs < request.deadlineMs;
}
