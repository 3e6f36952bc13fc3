import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { AdviceCallRow, AdviceReply } from '../../model/scheduler/placementAdvice.ts';
import { formatAdviceId } from '../../model/scheduler/placementAdvice.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { logEvent } from './storeCalls.ts';

const RETRY_INITIAL_MS = 100;
const RETRY_MAX_MS = 2_000;

/**
 * Records the adviser's answers. Which workers a step may use is final; the ticket for a start there
 * expires. Reads replies; writes `advice` and removes the answered `adviceCalls`. Runs before placement.
 */
export class AdviceSystem extends System<SchedulerState> {
  override readonly name = 'advice';

  private constructor() {
    super();
  }

  static create(): AdviceSystem {
    return new AdviceSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    if (state.ownership.role !== 'owner') return;
    for (const { callId, reply } of state.inbox.list('adviceReply')) {
      const call = state.adviceCalls.remove(callId);
      if (call !== undefined) this.receiveReply(state, call, reply, tick.now);
    }
  }

  private receiveReply(
    state: SchedulerState,
    call: AdviceCallRow,
    reply: AdviceReply,
    now: number,
  ): void {
    const { adviser } = state;
    const { stepKey, jobId, purpose, sentAt, workerKeys } = call;
    // Upkeep takes at most half of the adviser's time.
    if (purpose === 'upkeep') adviser.upkeepAt = now + (now - sentAt);
    if (reply.kind !== 'advice') {
      adviser.failures += 1;
      adviser.retryAt =
        now + Math.min(RETRY_MAX_MS, RETRY_INITIAL_MS * 2 ** (adviser.failures - 1));
      state.counters.add('advice_failures', { kind: reply.kind });
      if (adviser.failures === 1)
        logEvent(state, 'warn', 'adviser_lost', { step: stepKey, answer: reply.kind });
      return;
    }
    if (adviser.failures > 0)
      logEvent(state, 'info', 'adviser_answers', { failures: adviser.failures });
    adviser.failures = 0;
    const validUntil = computeTicketsEnd(call, now);
    const tickets = new Map(reply.tickets.map(({ workerId, ticket }) => [workerId, ticket]));
    for (const [workerId, workerKey] of workerKeys)
      state.advice.set({
        id: formatAdviceId(stepKey, workerKey),
        jobId,
        ticket: tickets.get(workerId) ?? '',
        validUntil,
      });
    logEvent(state, 'info', 'advice_known', {
      step: stepKey,
      purpose,
      asked: workerKeys.size,
      allowed: tickets.size,
      tookMs: Math.round(now - sentAt),
    });
  }
}

/**
 * Computes until when the tickets of an answer are used. The adviser may issue them at the beginning
 * of its decision. Where that leaves less than half of their validity they may have been issued at its
 * end as well: a start with a ticket that has expired is rejected and does no harm.
 */
function computeTicketsEnd({ sentAt, answerMs, validMs }: AdviceCallRow, now: number): number {
  return now + validMs - Math.min(now - sentAt, answerMs, validMs / 2);
}
