import type { Failure } from '../../base/common/errors.ts';
import { createFailure } from '../../base/common/errors.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { AgentState, LocalAttemptRow, LocalEndpointRow } from '../../model/agentState.ts';
import { formatEndpointPhaseKey } from '../../model/agentState.ts';
import type { AttemptMessage } from '../../model/request.ts';
import {
  buildLoadSignal,
  completeAttempt,
  removeExpiredAttempts,
  sendReply,
} from './attemptRecords.ts';

/** Attempts that may wait at the agent per slot of the endpoint. */
const MAX_WAITING_PER_SLOT = 1;

/**
 * Admits attempts to the endpoints beside the agent, each at most once.
 * Reads `attempt`, `attemptAbandoned`, `endpointResponse`, `endpointFailed`.
 * Writes `attempts`, `endpoints`, `cachedAnswers`.
 * Runs each turn, after announcements.
 */
export class AttemptSystem extends System<AgentState> {
  override readonly name = 'attempt';

  private constructor() {
    super();
  }

  static create(): AttemptSystem {
    return new AttemptSystem();
  }

  override run(state: AgentState, tick: Tick): void {
    for (const { attemptId, response } of state.inbox.list('endpointResponse'))
      completeAttempt(state, tick, attemptId, { kind: 'response', response });
    for (const { attemptId, failure, sent } of state.inbox.list('endpointFailed'))
      completeAttempt(state, tick, attemptId, { kind: sent ? 'failed' : 'rejected', failure });
    for (const { attemptId } of state.inbox.list('attemptAbandoned'))
      this.handleAbandoned(state, tick, attemptId);
    for (const { callId, message } of state.inbox.list('attempt'))
      this.receiveAttempt(state, tick, callId, message);
    if (tick.now >= state.earliestWaitingDeadlineMs) this.rejectExpired(state, tick);
    for (const endpoint of state.endpoints.values())
      this.startWaitingAttempts(state, tick, endpoint);
    removeExpiredAttempts(state, tick.now);
    tick.wakeAt(state.earliestWaitingDeadlineMs);
  }

  private receiveAttempt(
    state: AgentState,
    tick: Tick,
    callId: string,
    message: AttemptMessage,
  ): void {
    const known = state.attempts.get(message.attemptId);
    if (known !== undefined) {
      this.answerDuplicate(state, tick, callId, known);
      return;
    }
    const deadlineMs = tick.now + message.remainingMs;
    state.attempts.set({
      id: message.attemptId,
      endpointId: message.endpointId,
      phase: 'waiting',
      message,
      callIds: [callId],
      reply: undefined,
      receivedMs: tick.now,
      startedMs: 0,
      deadlineMs,
      completedMs: 0,
    });
    const failure = this.findRejection(state, message);
    // A rejection is recorded like an answer: a delayed copy of the attempt must not run after the
    // entry was told that it did not.
    if (failure !== undefined) this.rejectAttempt(state, tick, message.attemptId, failure);
    else state.earliestWaitingDeadlineMs = Math.min(state.earliestWaitingDeadlineMs, deadlineMs);
  }

  private answerDuplicate(
    state: AgentState,
    tick: Tick,
    callId: string,
    known: LocalAttemptRow,
  ): void {
    state.counters.add('attempt_copies');
    if (known.reply === undefined)
      state.attempts.update(known.id, { callIds: [...known.callIds, callId] });
    else sendReply(state, tick, callId, known.reply);
  }

  private rejectAttempt(state: AgentState, tick: Tick, attemptId: string, failure: Failure): void {
    state.counters.add('attempt_rejections', { reason: failure.kind });
    completeAttempt(state, tick, attemptId, { kind: 'rejected', failure });
  }

  private findRejection(state: AgentState, message: AttemptMessage): Failure | undefined {
    if (message.agentBootId !== state.self.bootId)
      return createFailure('agent_restarted', 'the attempt is addressed to an earlier boot');
    const endpoint = state.endpoints.get(message.endpointId);
    if (endpoint === undefined)
      return createFailure('no_endpoint', `endpoint ${message.endpointId} is not here`);
    if (endpoint.draining || state.self.phase === 'leaving')
      return createFailure('endpoint_draining', `endpoint ${endpoint.id} is leaving`);
    if (message.remainingMs <= 0)
      return createFailure('deadline_exceeded_before_run', 'the attempt arrived too late');
    // The new attempt is already counted as waiting.
    const { running, waiting } = buildLoadSignal(state, endpoint.id);
    if (running + waiting > getConcurrencyLimit(endpoint) * (1 + MAX_WAITING_PER_SLOT))
      return createFailure('endpoint_busy', `no slot of endpoint ${endpoint.id} is free`);
    return undefined;
  }

  private startWaitingAttempts(state: AgentState, tick: Tick, endpoint: LocalEndpointRow): void {
    const waitingKey = formatEndpointPhaseKey(endpoint.id, 'waiting');
    const limit = getConcurrencyLimit(endpoint);
    let running = state.attemptsByPhase.count(formatEndpointPhaseKey(endpoint.id, 'running'));
    if (running >= limit || state.attemptsByPhase.count(waitingKey) === 0) return;
    for (const attempt of state.attemptsByPhase.list(waitingKey)) {
      if (running >= limit) return;
      if (attempt.message === undefined) continue;
      running += 1;
      state.attempts.update(attempt.id, { phase: 'running', startedMs: tick.now });
      state.outbox.append({
        kind: 'forwardAttempt',
        origin: endpoint.origin,
        connections: endpoint.connections,
        timeoutMs: attempt.deadlineMs - tick.now,
        message: attempt.message,
      });
    }
  }

  private rejectExpired(state: AgentState, tick: Tick): void {
    let nextMs = Number.POSITIVE_INFINITY;
    for (const endpointKey of [...state.attemptsByPhase.keys()]) {
      if (!endpointKey.startsWith(formatEndpointPhaseKey('', 'waiting'))) continue;
      for (const attempt of state.attemptsByPhase.list(endpointKey)) {
        if (attempt.deadlineMs > tick.now) nextMs = Math.min(nextMs, attempt.deadlineMs);
        else this.rejectAttempt(state, tick, attempt.id, buildExpiredFailure(attempt));
      }
    }
    state.earliestWaitingDeadlineMs = nextMs;
  }

  /** A waiting attempt is dropped; a running one is cancelled only where that does no harm. */
  private handleAbandoned(state: AgentState, tick: Tick, attemptId: string): void {
    const attempt = state.attempts.get(attemptId);
    if (attempt === undefined || attempt.phase === 'done') return;
    state.counters.add('attempts_abandoned', { phase: attempt.phase });
    if (attempt.phase === 'waiting') {
      const failure = createFailure('deadline_exceeded_before_run', 'the entry gave up waiting');
      this.rejectAttempt(state, tick, attemptId, failure);
    } else if (attempt.message?.idempotent === true) {
      state.outbox.append({ kind: 'cancelForward', attemptId });
    }
  }
}

/** Requests that may run at an endpoint at the same time. */
function getConcurrencyLimit(endpoint: LocalEndpointRow): number {
  return Math.min(endpoint.slots, endpoint.connections);
}

function buildExpiredFailure(attempt: LocalAttemptRow): Failure {
  const message = `no slot of endpoint ${attempt.endpointId} became free within the deadline`;
  return createFailure('deadline_exceeded_before_run', message);
}
