import { createFailure } from '../../base/common/errors.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { AttemptReply, AttemptRow } from '../../model/request.ts';
import { recordFailure, recordReply } from '../routing/endpointHealth.ts';
import { closeWithFailure } from './refuse.ts';

/**
 * Matches answers of agents to attempts and answers the callers.
 * Reads `attemptReply`, `attemptLinkFailed`. Writes `attempts`, `requests`, `endpoints`.
 * Runs each turn, before dispatch, so that a freed slot can be used in the same turn.
 */
export class AttemptReplySystem extends System<EntryState> {
  override readonly name = 'attemptReply';

  private constructor() {
    super();
  }

  static create(): AttemptReplySystem {
    return new AttemptReplySystem();
  }

  override run(state: EntryState, tick: Tick): void {
    for (const arrival of state.inbox.list('attemptReply'))
      this.handleReply(state, tick, arrival.attemptId, arrival.reply);
    for (const arrival of state.inbox.list('attemptLinkFailed'))
      this.handleLinkFailure(state, tick, arrival.attemptId, arrival.message);
  }

  private handleReply(state: EntryState, tick: Tick, attemptId: string, reply: AttemptReply): void {
    const attempt = this.takeAttempt(state, attemptId);
    if (attempt === undefined) return;
    recordReply(state, tick.now, attempt, reply);
    const endpoint = state.endpoints.get(attempt.endpointId);
    if (endpoint !== undefined && reply.load !== undefined) {
      state.endpoints.update(endpoint.id, { load: reply.load, confirmedMs: tick.now });
    }
    if (reply.outcome.kind === 'response') {
      if (state.requests.remove(attempt.requestId) === undefined)
        state.counters.add('late_answers');
      else
        state.outbox.append({
          kind: 'answerCaller',
          requestId: attempt.requestId,
          response: reply.outcome.response,
        });
      return;
    }
    closeWithFailure(state, attempt.requestId, reply.outcome.failure);
  }

  private handleLinkFailure(
    state: EntryState,
    tick: Tick,
    attemptId: string,
    message: string,
  ): void {
    const attempt = this.takeAttempt(state, attemptId);
    if (attempt === undefined) return;
    recordFailure(state, tick.now, attempt.endpointId);
    closeWithFailure(state, attempt.requestId, createFailure('outcome_unknown', message));
  }

  private takeAttempt(state: EntryState, attemptId: string): AttemptRow | undefined {
    const attempt = state.attempts.remove(attemptId);
    if (attempt === undefined) {
      state.counters.add('late_answers');
      return undefined;
    }
    const endpoint = state.endpoints.get(attempt.endpointId);
    if (endpoint !== undefined)
      state.endpoints.update(endpoint.id, { inFlight: endpoint.inFlight - 1 });
    return attempt;
  }
}
