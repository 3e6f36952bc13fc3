import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { CommandRow, RunnerAgentState } from '../../model/scheduler/runnerAgentState.ts';
import { formatRunId } from '../../model/scheduler/rows.ts';
import type { RunnerCall, RunnerReply } from '../../model/scheduler/runnerCall.ts';
import {
  computeFence,
  logAgentEvent,
  requestPoll,
  sendOwner,
  sendRunnerCall,
} from './agentCalls.ts';

/** Answers take milliseconds; a command without an answer is repeated, because commands are idempotent. */
const COMMAND_TIMEOUT_MS = 300;
const RETRY_DELAY_MS = 50;
/** Attempts of a start before the agent checks whether the worker runs it, and otherwise stops it. */
const MAX_START_ATTEMPTS = 4;
const MAX_PACE_ATTEMPTS = 2;

/**
 * Sends the owner's commands to the worker until their outcomes are certain. A start without an answer
 * may be executed seconds later, so it is repeated, and before it is reported as not started it is
 * stopped and the worker's lists are read. Reads replies; writes `commands`. Runs after the worker poll
 * system.
 */
export class WorkerCommandSystem extends System<RunnerAgentState> {
  override readonly name = 'workerOrder';

  private constructor() {
    super();
  }

  static create(): WorkerCommandSystem {
    return new WorkerCommandSystem();
  }

  override run(state: RunnerAgentState, tick: Tick): void {
    const replies = new Map(
      state.inbox.list('runnerReply').map(({ callId, reply }) => [callId, reply]),
    );
    for (const row of state.commands.list()) {
      const reply = replies.get(row.callId);
      if (row.callId !== '' && reply !== undefined) this.receiveReply(state, row, reply, tick);
    }
    for (const row of state.commands.list()) this.sendCommand(state, row, tick);
  }

  private sendCommand(state: RunnerAgentState, row: CommandRow, tick: Tick): void {
    if (row.step === 'listing' || row.step === 'checking') {
      if (state.poll.lastCompleted >= row.afterPoll) this.receiveLists(state, row, tick);
      return;
    }
    if (row.callId !== '') return;
    if (tick.now < row.retryAt) {
      tick.wakeAt(row.retryAt);
      return;
    }
    if (row.step === 'sending' && this.isRefusedByDrain(state, row)) {
      this.completeCommand(state, { ...row, outcome: 'draining' });
      return;
    }
    const callId = sendRunnerCall(state, this.buildCall(state, row), COMMAND_TIMEOUT_MS);
    state.commands.update(row.id, { callId, attempts: row.attempts + 1 });
  }

  /** Whether a start is refused because the worker drains; one that may have been executed is not. */
  private isRefusedByDrain(
    state: RunnerAgentState,
    { command, mayHaveStarted }: CommandRow,
  ): boolean {
    return command.kind === 'start' && !mayHaveStarted && state.worker?.isDraining === true;
  }

  private buildCall(state: RunnerAgentState, row: CommandRow): RunnerCall {
    const { command } = row;
    const { task, run } = command;
    const fence = computeFence(state);
    if (command.kind === 'start' && row.step === 'sending') {
      const { payload, checkpoint, ticket, leaseUntilMs } = command;
      return { op: 'start', task, run, payload, checkpoint, ticket, leaseUntilMs, fence };
    }
    if (command.kind === 'pace') return { op: 'pace', task, run, percent: command.percent, fence };
    return { op: 'stop', task, run, fence };
  }

  private receiveReply(
    state: RunnerAgentState,
    row: CommandRow,
    reply: RunnerReply,
    tick: Tick,
  ): void {
    if (row.command.kind === 'start' && row.step === 'sending')
      this.receiveStartReply(state, row, reply, tick);
    else this.receiveOtherReply(state, row, reply, tick);
  }

  private receiveStartReply(
    state: RunnerAgentState,
    row: CommandRow,
    reply: RunnerReply,
    tick: Tick,
  ): void {
    if (reply.kind === 'done') {
      this.completeCommand(state, { ...row, outcome: 'started' });
    } else if (reply.kind === 'noAnswer') {
      state.counters.add('unanswered_orders', { kind: 'start' });
      logAgentEvent(state, 'warn', 'start_unanswered', {
        task: row.command.task,
        run: row.command.run,
        tries: row.attempts,
        answer: reply.message,
      });
      state.commands.update(row.id, { callId: '', mayHaveStarted: true, retryAt: tick.now });
      if (row.attempts >= MAX_START_ATTEMPTS)
        this.waitForLists(state, row, 'checking', 'unanswered', tick);
    } else if (reply.kind === 'otherIncarnation') {
      this.completeCommand(state, { ...row, outcome: 'gone' });
    } else {
      this.receiveRejection(state, row, reply, tick);
    }
  }

  private receiveRejection(
    state: RunnerAgentState,
    row: CommandRow,
    reply: RunnerReply,
    tick: Tick,
  ): void {
    const outcome = reply.kind === 'rejected' ? reply.reason : reply.kind;
    if (outcome === 'old') {
      this.waitForLists(state, row, 'listing', outcome, tick);
    } else if (row.mayHaveStarted) {
      state.commands.update(row.id, { step: 'stopping', callId: '', retryAt: tick.now, outcome });
    } else {
      this.completeCommand(state, { ...row, outcome });
    }
  }

  private receiveOtherReply(
    state: RunnerAgentState,
    row: CommandRow,
    reply: RunnerReply,
    tick: Tick,
  ): void {
    if (row.command.kind === 'pace') {
      const isAnswered = !['noAnswer', 'refused', 'unreachable'].includes(reply.kind);
      if (isAnswered || row.attempts >= MAX_PACE_ATTEMPTS) state.commands.remove(row.id);
      else state.commands.update(row.id, { callId: '', retryAt: tick.now + RETRY_DELAY_MS });
    } else if (reply.kind === 'done') {
      const { task, run } = row.command;
      logAgentEvent(state, 'info', 'stop_answered', { task, run, tries: row.attempts });
      // A stopped run continues for up to its grace period, so only a later poll shows whether it ran.
      this.waitForLists(state, row, 'listing', row.outcome, tick);
    } else if (reply.kind === 'otherIncarnation') {
      this.completeCommand(state, { ...row, outcome: 'gone' });
    } else if (reply.kind === 'rejected') {
      // The worker has received a newer owner's fence; that owner's lists decide.
      state.commands.remove(row.id);
    } else {
      state.commands.update(row.id, { callId: '', retryAt: tick.now + RETRY_DELAY_MS });
    }
  }

  /** Completes or stops the command by lists that were read after the latest answer. */
  private receiveLists(state: RunnerAgentState, row: CommandRow, tick: Tick): void {
    if (row.step === 'listing') {
      this.completeCommand(state, row);
      return;
    }
    const { task, run } = row.command;
    if (state.poll.listedRuns.has(formatRunId(task, run))) {
      this.completeCommand(state, { ...row, outcome: 'started' });
      return;
    }
    state.commands.update(row.id, { step: 'stopping', retryAt: tick.now });
    tick.wakeAt(tick.now + 1);
  }

  /** Suspends a command until the worker's lists have been read again. */
  private waitForLists(
    state: RunnerAgentState,
    row: CommandRow,
    step: 'checking' | 'listing',
    outcome: string,
    tick: Tick,
  ): void {
    const afterPoll = requestPoll(state);
    // Polls are sent before commands in a tick, so the requested poll needs another tick.
    tick.wakeAt(tick.now + 1);
    state.commands.update(row.id, { step, callId: '', outcome, afterPoll });
  }

  private completeCommand(state: RunnerAgentState, row: CommandRow): void {
    state.commands.remove(row.id);
    const { kind, task, run, bornMs } = row.command;
    if (kind === 'pace') return;
    // The owner has received the lists that contain the run, and waits for its end.
    const isListed = row.step === 'listing' && state.poll.listedRuns.has(formatRunId(task, run));
    const outcome = isListed ? 'listed' : row.outcome;
    if (kind === 'start') {
      state.counters.add('start_results', { outcome });
      if (outcome === 'started')
        logAgentEvent(state, 'info', 'run_started', { task, run, tries: row.attempts });
      else
        logAgentEvent(state, 'warn', 'start_rejected', {
          task,
          run,
          reason: row.outcome,
          listed: isListed,
          tries: row.attempts,
        });
    }
    const attempt =
      row.command.kind === 'start' && row.step !== 'listing' ? row.command.attempt : 0;
    sendOwner(state, { kind: 'startResult', task, run, bornMs, attempt, outcome });
  }
}
