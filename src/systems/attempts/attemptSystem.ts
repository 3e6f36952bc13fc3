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

/** Maximum number of attempts that wait at the agent per slot of the endpoint. */
const MAX_WAITING_PER_SLOT = 1;

/**
 * Forwards attempts to the endpoints on the instance of the agent, each at most once.
 * Reads `attempt`, `attemptAbandoned`, `endpointResponse`, `endpointFailed`.
 * Writes `attempts`, `endpoints`, `cachedAnswers`.
 * Runs each tick, after announcements.
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
    const existing = state.attempts.get(message.attemptId);
    if (existing !== undefined) {
      this.answerDuplicate(state, tick, callId, existing);
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
    // A rejection is recorded like an answer, because a delayed duplicate must not run after the
    // entry has received "not run".
    if (failure !== undefined) this.rejectAttempt(state, tick, message.attemptId, failure);
    else state.earliestWaitingDeadlineMs = Math.min(state.earliestWaitingDeadlineMs, deadlineMs);
  }

  private answerDuplicate(
    state: AgentState,
    tick: Tick,
    callId: string,
    existing: LocalAttemptRow,
  ): void {
    state.counters.add('attempt_copies');
    if (existing.reply === undefined)
      state.attempts.update(existing.id, { callIds: [...existing.callIds, callId] });
    else sendReply(state, tick, callId, existing.reply);
  }

  private rejectAttempt(state: AgentState, tick: Tick, attemptId: string, failure: Failure): void {
    state.counters.add('attempt_rejections', { reason: failure.kind });
    completeAttempt(state, tick, attemptId, { kind: 'rejected', failure });
  }

  private findRejection(state: AgentState, message: AttemptMessage): Failure | undefined {
    if (message.agentBootId !== state.self.bootId)
      return createFailure(
        'agent_restarted',
        'the attempt is addressed to an earlier boot of the agent',
      );
    const endpoint = state.endpoints.get(message.endpointId);
    if (endpoint === undefined)
      return createFailure(
        'no_endpoint',
        `endpoint ${message.endpointId} is not registered at this agent`,
      );
    if (endpoint.draining || state.self.phase === 'leaving')
      return createFailure('endpoint_draining', `endpoint ${endpoint.id} is draining`);
    if (message.remainingMs <= 0)
      return createFailure(
        'deadline_exceeded_before_run',
        'the deadline of the attempt had passed on arrival',
      );
    // The count of waiting attempts already includes the new one.
    const { running, waiting } = buildLoadSignal(state, endpoint.id);
    if (running + waiting > getConcurrencyLimit(endpoint) * (1 + MAX_WAITING_PER_SLOT))
      return createFailure(
        'endpoint_busy',
        `all slots and the queue of endpoint ${endpoint.id} are full`,
      );
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

  /** Rejects an abandoned attempt that waits; cancels a running one only if it is idempotent. */
  private handleAbandoned(state: AgentState, tick: Tick, attemptId: string): void {
    const attempt = state.attempts.get(attemptId);
    if (attempt === undefined || attempt.phase === 'done') return;
    state.counters.add('attempts_abandoned', { phase: attempt.phase });
    if (attempt.phase === 'waiting') {
      const failure = createFailure(
        'deadline_exceeded_before_run',
        'the entry abandoned the attempt before it ran',
      );
      this.rejectAttempt(state, tick, attemptId, failure);
    } else if (attempt.message?.idempotent === true) {
      state.outbox.append({ kind: 'cancelForward', attemptId });
    }
  }
}

/** Returns the maximum number of attempts that run concurrently at an endpoint. */
function getConcurrencyLimit(endpoint: LocalEndpointRow): number {
  return Math.min(endpoint.slots, endpoint.connections);
}

function buildExpiredFailure(attempt: LocalAttemptRow): Failure {
  const message = `no slot of endpoint ${attempt.endpointId} became free before the deadline`;
  return createFailure('deadline_exceeded_before_run', message);
}
