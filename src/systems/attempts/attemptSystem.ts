import type { Failure } from '../../base/common/errors.ts';
import { createFailure } from '../../base/common/errors.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { AgentState, LocalAttemptRow, LocalEndpointRow } from '../../model/agentState.ts';
import type { AttemptMessage, AttemptReply } from '../../model/request.ts';

/** Answers are kept this long for copies of the attempt; entries resend for at most 20 s. */
export const ANSWER_RETENTION_MS = 30_000;
/** Attempts that may wait at the agent per slot of the endpoint. */
const WAITING_PER_SLOT = 1;
const LATENCY_SMOOTHING = 0.1;

/**
 * Admits attempts to the endpoints beside the agent, each at most once.
 * Reads `attempt`, `endpointResponse`, `endpointFailed`. Writes `attempts`, `endpoints`.
 * Runs each turn.
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
    for (const arrival of state.inbox.list('endpointResponse')) {
      this.close(state, tick, arrival.attemptId, { kind: 'response', response: arrival.response });
    }
    for (const arrival of state.inbox.list('endpointFailed')) {
      this.close(state, tick, arrival.attemptId, {
        kind: arrival.sent ? 'failed' : 'rejected',
        failure: arrival.failure,
      });
    }
    for (const arrival of state.inbox.list('attempt'))
      this.receive(state, tick, arrival.callId, arrival.message);
    for (const endpoint of state.endpoints.values()) this.startWaiting(state, tick, endpoint);
    this.removeExpired(state, tick);
  }

  private receive(state: AgentState, tick: Tick, callId: string, message: AttemptMessage): void {
    const known = state.attempts.get(message.attemptId);
    if (known !== undefined) {
      this.join(state, callId, known);
      return;
    }
    const failure = this.findRejection(state, message);
    if (failure !== undefined) {
      state.counters.add('attempt_rejections', { reason: failure.kind });
      const reply: AttemptReply = {
        attemptId: message.attemptId,
        outcome: { kind: 'rejected', failure },
      };
      state.outbox.append({ kind: 'answerAttempt', callId, reply });
      return;
    }
    state.attempts.set({
      id: message.attemptId,
      endpointId: message.endpointId,
      phase: 'waiting',
      message,
      callIds: [callId],
      reply: undefined,
      receivedMs: tick.now,
      startedMs: 0,
      deadlineMs: tick.now + message.remainingMs,
      doneMs: 0,
    });
  }

  private join(state: AgentState, callId: string, known: LocalAttemptRow): void {
    if (known.reply === undefined)
      state.attempts.update(known.id, { callIds: [...known.callIds, callId] });
    else state.outbox.append({ kind: 'answerAttempt', callId, reply: known.reply });
  }

  private findRejection(state: AgentState, message: AttemptMessage): Failure | undefined {
    if (message.agentBootId !== state.self.bootId) {
      return createFailure(
        'agent_restarted',
        'the agent has restarted since the attempt was addressed',
      );
    }
    const endpoint = state.endpoints.get(message.endpointId);
    if (endpoint === undefined)
      return createFailure('no_endpoint', `endpoint ${message.endpointId} is not here`);
    if (endpoint.draining || state.self.phase === 'leaving') {
      return createFailure('endpoint_draining', `endpoint ${endpoint.id} is leaving`);
    }
    const { running, waiting } = this.countAttempts(state, endpoint.id);
    if (running + waiting >= endpoint.slots * (1 + WAITING_PER_SLOT)) {
      return createFailure(
        'endpoint_busy',
        `all ${endpoint.slots} slots of endpoint ${endpoint.id} are taken`,
      );
    }
    return undefined;
  }

  private startWaiting(state: AgentState, tick: Tick, endpoint: LocalEndpointRow): void {
    let { running } = this.countAttempts(state, endpoint.id);
    for (const attempt of state.attempts.list()) {
      if (
        attempt.endpointId !== endpoint.id ||
        attempt.phase !== 'waiting' ||
        running >= endpoint.slots
      )
        continue;
      if (attempt.message === undefined) continue;
      running += 1;
      state.attempts.update(attempt.id, {
        phase: 'running',
        startedMs: tick.now,
        message: undefined,
      });
      state.outbox.append({
        kind: 'forwardAttempt',
        origin: endpoint.origin,
        connections: endpoint.connections,
        timeoutMs: attempt.deadlineMs - tick.now,
        message: attempt.message,
      });
    }
  }

  private close(
    state: AgentState,
    tick: Tick,
    attemptId: string,
    outcome: AttemptReply['outcome'],
  ): void {
    const attempt = state.attempts.get(attemptId);
    if (attempt === undefined || attempt.phase === 'done') return;
    this.recordLatency(state, attempt, tick.now - attempt.startedMs);
    state.attempts.update(attemptId, { phase: 'done', doneMs: tick.now });
    const endpoint = state.endpoints.get(attempt.endpointId);
    const load = {
      ...this.countAttempts(state, attempt.endpointId),
      latencyMs: endpoint?.latencyMs ?? 0,
    };
    const reply: AttemptReply = { attemptId, load, outcome };
    state.attempts.update(attemptId, { reply, callIds: [] });
    for (const callId of attempt.callIds)
      state.outbox.append({ kind: 'answerAttempt', callId, reply });
  }

  private recordLatency(state: AgentState, attempt: LocalAttemptRow, durationMs: number): void {
    const endpoint = state.endpoints.get(attempt.endpointId);
    if (endpoint === undefined) return;
    const latencyMs =
      endpoint.latencyMs === 0
        ? durationMs
        : endpoint.latencyMs + LATENCY_SMOOTHING * (durationMs - endpoint.latencyMs);
    state.endpoints.update(endpoint.id, { latencyMs });
  }

  private countAttempts(
    state: AgentState,
    endpointId: string,
  ): { running: number; waiting: number } {
    let running = 0;
    let waiting = 0;
    for (const attempt of state.attempts.values()) {
      if (attempt.endpointId !== endpointId) continue;
      if (attempt.phase === 'running') running += 1;
      else if (attempt.phase === 'waiting') waiting += 1;
    }
    return { running, waiting };
  }

  private removeExpired(state: AgentState, tick: Tick): void {
    for (const attempt of state.attempts.values()) {
      if (attempt.phase !== 'done') continue;
      if (tick.now - attempt.doneMs < ANSWER_RETENTION_MS) break;
      state.attempts.remove(attempt.id);
    }
  }
}
