import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { AdviceReply } from '../../model/scheduler/placementAdvice.ts';
import { formatAdviceId } from '../../model/scheduler/placementAdvice.ts';
import type { AdvicePolicy } from '../../model/scheduler/queueConfiguration.ts';
import type { TaskRow, WorkerRow } from '../../model/scheduler/rows.ts';
import { formatStepKey } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { logEvent } from './storeCalls.ts';
import { findTicket } from './tickets.ts';
import { explainClosedWorker, explainUnusableWorker } from './workerCapacities.ts';

/** Workers per request. The platform accepts 100; the answer takes longer with each worker. */
const WORKERS_PER_REQUEST = 30;
/** Time for the answer beyond the decision times of the queue's policy. */
const ANSWER_MARGIN_MS = 1_000;
/**
 * Longest wait for one answer. The decision times come from the operator's configuration or from a
 * stored job; a number out of range must not block the requests of other queues for ever.
 */
const MAX_ANSWER_MS = 30_000;
const RETRY_INITIAL_MS = 100;
const RETRY_MAX_MS = 2_000;

interface PendingRequest {
  readonly task: TaskRow;
  readonly policy: AdvicePolicy;
  readonly workers: readonly WorkerRow[];
}

/**
 * Asks the adviser which workers may run the steps of queues with a placement policy, one request
 * at a time, for the oldest job first. Reads ready tasks, workers and replies; writes `advice`.
 * Runs before placement. Under load it asks only for steps with tasks that have no worker.
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
    for (const { callId, reply, sentAt } of state.inbox.list('adviceReply'))
      if (callId === state.adviceCall.callId) this.receiveReply(state, reply, sentAt, tick.now);
    const { adviceCall } = state;
    if (!state.operator.hasAdvice || adviceCall.callId !== '') return;
    const pending = this.findRequest(state, tick.now);
    if (pending === undefined) return;
    if (tick.now < adviceCall.retryAt) tick.wakeAt(adviceCall.retryAt);
    else this.sendRequest(state, pending);
  }

  private findRequest(state: SchedulerState, now: number): PendingRequest | undefined {
    let oldest: PendingRequest | undefined;
    let oldestAcceptedAt = Number.POSITIVE_INFINITY;
    for (const stepKey of state.readyTasksByStep.keys()) {
      const task = state.readyTasksByStep.getFirst(stepKey);
      const job = state.jobs.get(task?.jobId ?? '');
      const terms = job?.terms;
      if (task === undefined || job === undefined || terms?.advice === undefined) continue;
      if (job.acceptedAt >= oldestAcceptedAt) continue;
      const workers = this.listWorkersWithoutAdvice(state, task, terms.service, now);
      if (workers.length === 0) continue;
      oldest = { task, policy: terms.advice, workers: workers.slice(0, WORKERS_PER_REQUEST) };
      oldestAcceptedAt = job.acceptedAt;
    }
    return oldest;
  }

  /** Lists the workers that could run the step and have no valid advice. */
  private listWorkersWithoutAdvice(
    state: SchedulerState,
    task: TaskRow,
    service: string,
    now: number,
  ): WorkerRow[] {
    const { step } = task;
    const stepKey = formatStepKey(task);
    return state.workers.list().filter((worker) => {
      const { identity } = worker;
      if (identity.service !== service || identity.cpuMillis < step.cpuMillis) return false;
      if (step.requiredLabel !== '' && !identity.labels.includes(step.requiredLabel)) return false;
      // A long-running task may get a probation run on a worker in backoff.
      const explain = step.longRunning ? explainUnusableWorker : explainClosedWorker;
      if (explain(state, worker, now) !== undefined) return false;
      const known = state.advice.get(formatAdviceId(stepKey, worker.id));
      if (known === undefined) return true;
      return known.ticket !== '' && findTicket(state, stepKey, worker.id, now) === undefined;
    });
  }

  private sendRequest(state: SchedulerState, { task, policy, workers }: PendingRequest): void {
    const { adviceCall } = state;
    const stepKey = formatStepKey(task);
    adviceCall.callId = `advice#${state.nextCall}`;
    state.nextCall += 1;
    adviceCall.stepKey = stepKey;
    adviceCall.jobId = task.jobId;
    adviceCall.validMs = policy.validMs;
    adviceCall.workerKeys.clear();
    for (const worker of workers) adviceCall.workerKeys.set(worker.identity.id, worker.id);
    state.counters.add('advice_questions');
    state.outbox.append({
      kind: 'requestAdvice',
      callId: adviceCall.callId,
      request: { stepKey, workerIds: [...adviceCall.workerKeys.keys()] },
      timeoutMs: Math.min(
        MAX_ANSWER_MS,
        policy.decideMs + workers.length * policy.perWorkerMs + ANSWER_MARGIN_MS,
      ),
    });
  }

  private receiveReply(
    state: SchedulerState,
    reply: AdviceReply,
    sentAt: number,
    now: number,
  ): void {
    const { adviceCall } = state;
    const { stepKey, jobId, workerKeys } = adviceCall;
    adviceCall.callId = '';
    if (reply.kind !== 'advice') {
      adviceCall.failures += 1;
      adviceCall.retryAt =
        now + Math.min(RETRY_MAX_MS, RETRY_INITIAL_MS * 2 ** (adviceCall.failures - 1));
      state.counters.add('advice_failures', { kind: reply.kind });
      if (adviceCall.failures === 1)
        logEvent(state, 'warn', 'adviser_lost', { step: stepKey, answer: reply.kind });
      return;
    }
    if (adviceCall.failures > 0)
      logEvent(state, 'info', 'adviser_answers', { failures: adviceCall.failures });
    adviceCall.failures = 0;
    const tickets = new Map(reply.tickets.map(({ workerId, ticket }) => [workerId, ticket]));
    const validUntil = sentAt + adviceCall.validMs;
    for (const [workerId, workerKey] of workerKeys)
      state.advice.set({
        id: formatAdviceId(stepKey, workerKey),
        jobId,
        ticket: tickets.get(workerId) ?? '',
        validUntil,
      });
    logEvent(state, 'info', 'advice_known', {
      step: stepKey,
      asked: workerKeys.size,
      allowed: tickets.size,
      tookMs: Math.round(now - sentAt),
    });
  }
}
