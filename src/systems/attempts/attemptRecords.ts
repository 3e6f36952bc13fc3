import { createFailure } from '../../base/common/errors.ts';
import type { Tick } from '../../base/common/system.ts';
import type { AgentState, LocalAttemptRow } from '../../model/agentState.ts';
import { formatEndpointPhaseKey } from '../../model/agentState.ts';
import type { LoadSignal } from '../../model/endpoint.ts';
import type { AttemptReply } from '../../model/request.ts';

/** Retention of answers for duplicates of an attempt; entries resend for at most 20 s. */
export const ANSWER_RETENTION_MS = 30_000;
/** Maximum total size of cached bodies; the oldest answers beyond it become `outcome_unknown`. */
export const MAX_CACHED_ANSWER_BYTES = 16 * 1024 * 1024;
const LATENCY_SMOOTHING_FACTOR = 0.1;

export function buildLoadSignal(state: AgentState, endpointId: string): LoadSignal {
  return {
    running: state.attemptsByPhase.count(formatEndpointPhaseKey(endpointId, 'running')),
    waiting: state.attemptsByPhase.count(formatEndpointPhaseKey(endpointId, 'waiting')),
    latencyMs: state.endpoints.get(endpointId)?.latencyMs ?? 0,
  };
}

export function sendReply(
  state: AgentState,
  tick: Tick,
  callId: string,
  reply: AttemptReply,
): void {
  state.lastAnswerMs = tick.now;
  state.outbox.append({ kind: 'answerAttempt', callId, reply });
}

/**
 * Completes an attempt, answers each call that waits for it and caches the answer for duplicates.
 */
export function completeAttempt(
  state: AgentState,
  tick: Tick,
  attemptId: string,
  outcome: AttemptReply['outcome'],
): void {
  const attempt = state.attempts.get(attemptId);
  if (attempt === undefined || attempt.phase === 'done') {
    state.counters.add('late_endpoint_answers');
    return;
  }
  if (attempt.phase === 'running') recordLatency(state, attempt, tick.now - attempt.startedMs);
  // Reinserts the row, so that completed attempts are ordered by their expiry.
  state.attempts.remove(attemptId);
  const reply: AttemptReply = {
    attemptId,
    load: buildLoadSignal(state, attempt.endpointId),
    outcome,
  };
  state.attempts.set({
    ...attempt,
    phase: 'done',
    message: undefined,
    callIds: [],
    reply,
    completedMs: tick.now,
  });
  for (const callId of attempt.callIds) sendReply(state, tick, callId, reply);
  if (outcome.kind === 'response')
    addCachedAnswer(state, attemptId, outcome.response.body.byteLength);
}

/** Removes completed attempts whose retention has expired. */
export function removeExpiredAttempts(state: AgentState, nowMs: number): void {
  for (const attempt of state.attempts.values()) {
    if (attempt.phase !== 'done') continue;
    if (nowMs - attempt.completedMs < ANSWER_RETENTION_MS) return;
    state.attempts.remove(attempt.id);
    releaseAnswerBytes(state, attempt.id);
  }
}

function addCachedAnswer(state: AgentState, attemptId: string, bytes: number): void {
  state.cachedAnswers.set({ id: attemptId, bytes });
  state.cachedAnswerBytes += bytes;
  if (state.cachedAnswerBytes <= MAX_CACHED_ANSWER_BYTES) return;
  for (const oldest of state.cachedAnswers.values()) {
    evictAnswer(state, oldest.id);
    if (state.cachedAnswerBytes <= MAX_CACHED_ANSWER_BYTES) return;
  }
}

/**
 * Evicts the body of an answer but retains the row, so that a duplicate of the attempt never runs.
 */
function evictAnswer(state: AgentState, attemptId: string): void {
  releaseAnswerBytes(state, attemptId);
  state.counters.add('kept_answers_displaced');
  const failure = createFailure('outcome_unknown', 'the cached answer was evicted');
  state.attempts.update(attemptId, {
    reply: { attemptId, outcome: { kind: 'failed', failure } },
  });
}

function releaseAnswerBytes(state: AgentState, attemptId: string): void {
  state.cachedAnswerBytes -= state.cachedAnswers.remove(attemptId)?.bytes ?? 0;
}

function recordLatency(state: AgentState, attempt: LocalAttemptRow, durationMs: number): void {
  const endpoint = state.endpoints.get(attempt.endpointId);
  if (endpoint === undefined) return;
  const latencyMs =
    endpoint.latencyMs === 0
      ? durationMs
      : endpoint.latencyMs + LATENCY_SMOOTHING_FACTOR * (durationMs - endpoint.latencyMs);
  state.endpoints.update(endpoint.id, { latencyMs });
}
