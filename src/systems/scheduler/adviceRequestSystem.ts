import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import type { AdviceCandidate } from './adviceCandidates.ts';
import { AdviceCandidates } from './adviceCandidates.ts';
import type { TaskPlacementPolicy } from './taskPlacementPolicy.ts';

/** Interval at which waiting steps are checked while nothing is to be asked about them. */
const CHECK_INTERVAL_MS = 50;
/** Time for the answer beyond the decision times of the queue's policy. */
const ANSWER_MARGIN_MS = 1_000;
/**
 * Longest wait for one answer. The decision times come from the operator's configuration or from a
 * stored job; a number out of range must not block the requests of other queues for ever.
 */
const MAX_ANSWER_MS = 30_000;
/**
 * Age of a pending request from which one of another queue is sent beside it, ms. The adviser handles
 * them in turn, so this gains time only when an answer is lost or the queue's decision times are wrong.
 */
const OVERDUE_MS = 1_000;
const MAX_PENDING_REQUESTS = 4;
/** `first` requests in a row after which one for another step with capacity has its turn. */
const MAX_FIRSTS_IN_ROW = 3;

/**
 * Asks the adviser which workers may run the steps of queues with a placement policy, one request at a
 * time while the answers come. Steps with capacity come first, those that no request has named before
 * the others; a step that waits for capacity gets its tickets renewed only while nothing else is to be
 * asked. Reads ready tasks, workers and `advice`; writes `advisedSteps` and `adviceCalls`. Runs after
 * placement, so that the steps that have found a worker are not asked about.
 */
export class AdviceRequestSystem extends System<SchedulerState> {
  override readonly name = 'adviceRequest';

  private constructor(private readonly policy: TaskPlacementPolicy) {
    super();
  }

  /** The policy tells whether a worker has capacity for a task. */
  static create(policy: TaskPlacementPolicy): AdviceRequestSystem {
    return new AdviceRequestSystem(policy);
  }

  override run(state: SchedulerState, tick: Tick): void {
    const { ownership, operator, adviceCalls, adviser, timers, readyTasksByStep } = state;
    if (ownership.role !== 'owner' || !operator.hasAdvice) return;
    if (readyTasksByStep.keyCount === 0 || adviceCalls.size >= MAX_PENDING_REQUESTS) return;
    let checkAt = Math.max(timers.adviceCheckAt, adviser.retryAt);
    for (const { sentAt } of adviceCalls.values()) checkAt = Math.max(checkAt, sentAt + OVERDUE_MS);
    if (tick.now < checkAt) {
      tick.wakeAt(checkAt);
      return;
    }
    const pendingQueues = new Set([...adviceCalls.values()].map(({ queue }) => queue));
    const candidates = AdviceCandidates.create(state, this.policy, tick.now)
      .list()
      .filter(({ queue }) => !pendingQueues.has(queue));
    const chosen = this.choose(state, candidates, tick.now);
    if (chosen !== undefined) this.sendRequest(state, chosen, tick.now);
    else if (candidates.length > 0) {
      timers.adviceCheckAt = tick.now + CHECK_INTERVAL_MS;
      tick.wakeAt(timers.adviceCheckAt);
    }
  }

  private choose(
    { adviser, adviceCalls }: SchedulerState,
    candidates: readonly AdviceCandidate[],
    now: number,
  ): AdviceCandidate | undefined {
    const first = findBest(candidates, 'first');
    const repeat = findBest(candidates, 'repeat');
    const isTurnOfRepeat = adviser.firstsInRow >= MAX_FIRSTS_IN_ROW && repeat !== undefined;
    if (first !== undefined && !isTurnOfRepeat) return first;
    if (repeat !== undefined) return repeat;
    const isUpkeepDue = now >= adviser.upkeepAt && adviceCalls.size === 0;
    return isUpkeepDue ? findBest(candidates, 'upkeep') : undefined;
  }

  private sendRequest(
    state: SchedulerState,
    { task, queue, stepKey, policy, purpose, workers, answerMs }: AdviceCandidate,
    now: number,
  ): void {
    const { adviser, adviceCalls } = state;
    const id = `advice#${state.nextCall}`;
    state.nextCall += 1;
    // The adviser answers the requests before it first.
    let expectedAt = now;
    for (const call of adviceCalls.values()) expectedAt = Math.max(expectedAt, call.expectedAt);
    expectedAt += answerMs;
    const workerKeys = new Map(workers.map((worker) => [worker.identity.id, worker.id]));
    adviser.firstsInRow = purpose === 'first' ? adviser.firstsInRow + 1 : 0;
    const { jobId } = task;
    adviceCalls.set({
      id,
      queue,
      stepKey,
      jobId,
      purpose,
      validMs: policy.validMs,
      sentAt: now,
      answerMs,
      expectedAt,
      workerKeys,
    });
    state.advisedSteps.set({ id: stepKey, jobId, askedAt: now });
    state.counters.add('advice_questions');
    state.outbox.append({
      kind: 'requestAdvice',
      callId: id,
      request: { stepKey, workerIds: [...workerKeys.keys()] },
      timeoutMs: Math.min(MAX_ANSWER_MS, expectedAt - now + ANSWER_MARGIN_MS),
    });
  }
}

function findBest(
  candidates: readonly AdviceCandidate[],
  purpose: AdviceCandidate['purpose'],
): AdviceCandidate | undefined {
  let best: AdviceCandidate | undefined;
  for (const candidate of candidates)
    if (candidate.purpose === purpose && candidate.score > (best?.score ?? 0)) best = candidate;
  return best;
}
