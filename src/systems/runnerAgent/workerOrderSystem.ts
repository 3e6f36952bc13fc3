import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { OrderRow, RunnerAgentState } from '../../model/scheduler/runnerAgentState.ts';
import { formatRunId } from '../../model/scheduler/rows.ts';
import type { RunnerCall, RunnerReply } from '../../model/scheduler/runnerCall.ts';
import {
  computeFence,
  logAgentEvent,
  requestLook,
  sendOwner,
  sendRunnerCall,
} from './agentCalls.ts';

/** Answers come within milliseconds; an order without one is repeated, which is harmless. */
const ORDER_TIMEOUT_MS = 300;
const RETRY_MS = 50;
/** Tries of a start before it is given up and stopped. */
const MAX_START_TRIES = 4;
const MAX_PACE_TRIES = 2;

/**
 * Carries the owner's orders to the worker until they are certain. A start without an answer may
 * be carried out seconds later, so it is repeated, and before it is reported as not started it is
 * stopped and the worker's lists are read. Reads replies; writes `orders`. Runs after the looks at the worker.
 */
export class WorkerOrderSystem extends System<RunnerAgentState> {
  override readonly name = 'workerOrder';

  private constructor() {
    super();
  }

  static create(): WorkerOrderSystem {
    return new WorkerOrderSystem();
  }

  override run(state: RunnerAgentState, tick: Tick): void {
    const replies = new Map(
      state.inbox.list('runnerReply').map(({ callId, reply }) => [callId, reply]),
    );
    for (const row of state.orders.list()) {
      const reply = replies.get(row.callId);
      if (row.callId !== '' && reply !== undefined) this.receiveReply(state, row, reply, tick);
    }
    for (const row of state.orders.list()) this.sendRow(state, row, tick);
  }

  private sendRow(state: RunnerAgentState, row: OrderRow, tick: Tick): void {
    if (row.step === 'listing' || row.step === 'checking') {
      if (state.hold.finished >= row.afterLook) this.receiveLists(state, row, tick);
      return;
    }
    if (row.callId !== '') return;
    if (tick.now < row.retryAt) {
      tick.wakeAt(row.retryAt);
      return;
    }
    if (row.step === 'sending' && this.isRefusedByDrain(state, row)) {
      this.settle(state, { ...row, outcome: 'draining' });
      return;
    }
    const callId = sendRunnerCall(state, this.buildCall(state, row), ORDER_TIMEOUT_MS);
    state.orders.update(row.id, { callId, tries: row.tries + 1 });
  }

  /** A worker that drains gets no new run; a start that may have been carried out is another matter. */
  private isRefusedByDrain(state: RunnerAgentState, { order, isInDoubt }: OrderRow): boolean {
    return order.kind === 'start' && !isInDoubt && state.worker?.isDraining === true;
  }

  private buildCall(state: RunnerAgentState, row: OrderRow): RunnerCall {
    const { order } = row;
    const { task, run } = order;
    const fence = computeFence(state);
    if (order.kind === 'start' && row.step === 'sending') {
      const { payload, checkpoint, ticket, leaseUntilMs } = order;
      return { op: 'start', task, run, payload, checkpoint, ticket, leaseUntilMs, fence };
    }
    if (order.kind === 'pace') return { op: 'pace', task, run, percent: order.percent, fence };
    return { op: 'stop', task, run, fence };
  }

  private receiveReply(
    state: RunnerAgentState,
    row: OrderRow,
    reply: RunnerReply,
    tick: Tick,
  ): void {
    if (row.order.kind === 'start' && row.step === 'sending')
      this.receiveStartReply(state, row, reply, tick);
    else this.receiveOtherReply(state, row, reply, tick);
  }

  private receiveStartReply(
    state: RunnerAgentState,
    row: OrderRow,
    reply: RunnerReply,
    tick: Tick,
  ): void {
    if (reply.kind === 'done') {
      this.settle(state, { ...row, outcome: 'started' });
    } else if (reply.kind === 'noAnswer') {
      state.counters.add('unanswered_orders', { kind: 'start' });
      logAgentEvent(state, 'warn', 'start_unanswered', {
        task: row.order.task,
        run: row.order.run,
        tries: row.tries,
        answer: reply.message,
      });
      state.orders.update(row.id, { callId: '', isInDoubt: true, retryAt: tick.now });
      if (row.tries >= MAX_START_TRIES)
        this.waitForLists(state, row, 'checking', 'unanswered', tick);
    } else if (reply.kind === 'otherIncarnation') {
      this.settle(state, { ...row, outcome: 'gone' });
    } else {
      this.receiveRejection(state, row, reply, tick);
    }
  }

  private receiveRejection(
    state: RunnerAgentState,
    row: OrderRow,
    reply: RunnerReply,
    tick: Tick,
  ): void {
    const outcome = reply.kind === 'rejected' ? reply.reason : reply.kind;
    if (outcome === 'old') {
      this.waitForLists(state, row, 'listing', outcome, tick);
    } else if (row.isInDoubt) {
      state.orders.update(row.id, { step: 'stopping', callId: '', retryAt: tick.now, outcome });
    } else {
      this.settle(state, { ...row, outcome });
    }
  }

  private receiveOtherReply(
    state: RunnerAgentState,
    row: OrderRow,
    reply: RunnerReply,
    tick: Tick,
  ): void {
    if (row.order.kind === 'pace') {
      const isAnswered = !['noAnswer', 'refused', 'unreachable'].includes(reply.kind);
      if (isAnswered || row.tries >= MAX_PACE_TRIES) state.orders.remove(row.id);
      else state.orders.update(row.id, { callId: '', retryAt: tick.now + RETRY_MS });
    } else if (reply.kind === 'done') {
      const { task, run } = row.order;
      logAgentEvent(state, 'info', 'stop_answered', { task, run, tries: row.tries });
      // A stopped run goes on for up to its grace period, so only a later look tells whether it was there.
      this.waitForLists(state, row, 'listing', row.outcome, tick);
    } else if (reply.kind === 'otherIncarnation') {
      this.settle(state, { ...row, outcome: 'gone' });
    } else if (reply.kind === 'rejected') {
      // The worker knows a newer owner, whose lists decide.
      state.orders.remove(row.id);
    } else {
      state.orders.update(row.id, { callId: '', retryAt: tick.now + RETRY_MS });
    }
  }

  /** Lists that were read after the latest answer show whether the run is there. */
  private receiveLists(state: RunnerAgentState, row: OrderRow, tick: Tick): void {
    if (row.step === 'listing') {
      this.settle(state, row);
      return;
    }
    const { task, run } = row.order;
    if (state.hold.listed.has(formatRunId(task, run))) {
      this.settle(state, { ...row, outcome: 'started' });
      return;
    }
    state.orders.update(row.id, { step: 'stopping', retryAt: tick.now });
    tick.wakeAt(tick.now + 1);
  }

  /** Goes on with an order once the worker's lists have been read anew. */
  private waitForLists(
    state: RunnerAgentState,
    row: OrderRow,
    step: 'checking' | 'listing',
    outcome: string,
    tick: Tick,
  ): void {
    const afterLook = requestLook(state);
    // Looks are sent before orders in a turn.
    tick.wakeAt(tick.now + 1);
    state.orders.update(row.id, { step, callId: '', outcome, afterLook });
  }

  private settle(state: RunnerAgentState, row: OrderRow): void {
    state.orders.remove(row.id);
    const { kind, task, run, bornMs } = row.order;
    if (kind === 'pace') return;
    // The owner has the lists that name the run, and waits for its end.
    const isListed = row.step === 'listing' && state.hold.listed.has(formatRunId(task, run));
    const outcome = isListed ? 'listed' : row.outcome;
    if (kind === 'start') {
      state.counters.add('start_results', { outcome });
      if (outcome === 'started')
        logAgentEvent(state, 'info', 'run_started', { task, run, tries: row.tries });
      else
        logAgentEvent(state, 'warn', 'start_rejected', {
          task,
          run,
          reason: row.outcome,
          listed: isListed,
          tries: row.tries,
        });
    }
    const attempt = row.order.kind === 'start' && row.step !== 'listing' ? row.order.attempt : 0;
    sendOwner(state, { kind: 'startResult', task, run, bornMs, attempt, outcome });
  }
}
