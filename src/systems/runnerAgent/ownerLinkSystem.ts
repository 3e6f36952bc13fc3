import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { AgentMessage, OwnerCommand } from '../../model/scheduler/linkMessages.ts';
import type { RunnerAgentState } from '../../model/scheduler/runnerAgentState.ts';
import { isWorkerConfirmed } from '../../model/scheduler/runnerAgentState.ts';
import { logAgentEvent, resetOwnerLink, sendOwner } from './agentCalls.ts';
import { computeLeaseLeft, recordLease, recordEarlierProcess } from './agentLease.ts';

type WorkerCommand = Exclude<OwnerCommand, { kind: 'hello' | 'grant' | 'heartbeat' }>;

/**
 * Time without a message of the owner after which the link is closed; the owner sends one every 0.7 s.
 * Longer than the owner key's lease of 1.5 s, so that a suspended owner is replaced first, and shorter
 * than the lease of runs, 5 s.
 */
const OWNER_SILENCE_TIMEOUT_MS = 4_000;
/** Interval of reports without lists, which show the owner that the agent is up. */
const REPORT_INTERVAL_MS = 900;

/**
 * Follows the owner with the highest epoch: accepts its commands and grants, and reports the worker to
 * it. Reads links and commands of the owner; writes `owner`, `lease`, `poll` and `commands`. Runs after
 * the worker heartbeat system.
 */
export class OwnerLinkSystem extends System<RunnerAgentState> {
  override readonly name = 'ownerLink';

  private constructor() {
    super();
  }

  static create(): OwnerLinkSystem {
    return new OwnerLinkSystem();
  }

  override run(state: RunnerAgentState, tick: Tick): void {
    recordEarlierProcess(state, tick.now);
    for (const { linkId, command } of state.inbox.list('ownerOrder'))
      this.receiveCommand(state, linkId, command, tick.now);
    for (const { linkId, isOpen } of state.inbox.list('ownerLink')) {
      if (isOpen || linkId !== state.owner.linkId) continue;
      logAgentEvent(state, 'warn', 'owner_lost', { epoch: state.owner.epoch });
      state.owner.linkId = '';
      state.commands.clear();
    }
    if (state.owner.linkId === '') return;
    if (tick.now > state.owner.lastMessageAt + OWNER_SILENCE_TIMEOUT_MS) {
      this.dropSilentLink(state, tick.now);
      return;
    }
    tick.wakeAt(state.owner.lastMessageAt + OWNER_SILENCE_TIMEOUT_MS + 1);
    if (tick.now >= state.owner.reportAt) this.sendReport(state, tick.now);
    tick.wakeAt(state.owner.reportAt);
  }

  /** Sends a report without lists. */
  private sendReport(state: RunnerAgentState, now: number): void {
    const leaseLeftMs = computeLeaseLeft(state, now);
    // The owner may release the runs of a silent worker as soon as their leases have ended.
    const endsBeforeNextReport = leaseLeftMs > 0 && leaseLeftMs < REPORT_INTERVAL_MS;
    state.owner.reportAt = now + (endsBeforeNextReport ? leaseLeftMs : REPORT_INTERVAL_MS);
    sendOwner(state, {
      kind: 'report',
      epoch: 0,
      ...describeWorker(state, now),
      ...(state.workerExit === 'gone' ? { isGone: true } : {}),
      leaseLeftMs,
      clockMs: state.poll.clockMs,
      running: [],
      ended: [],
      isComplete: false,
    });
  }

  /** Closes the link, so that the owner opens a new one for its commands. */
  private dropSilentLink(state: RunnerAgentState, now: number): void {
    logAgentEvent(state, 'warn', 'owner_lost', { epoch: state.owner.epoch, link: 'silent' });
    resetOwnerLink(state, now);
  }

  private receiveCommand(
    state: RunnerAgentState,
    linkId: string,
    command: OwnerCommand,
    now: number,
  ): void {
    if (command.kind === 'hello') {
      this.receiveHello(state, linkId, command, now);
      return;
    }
    if (linkId !== state.owner.linkId) return;
    state.owner.lastMessageAt = now;
    if (command.kind === 'heartbeat') return;
    if (command.kind === 'grant') {
      if (command.bornMs !== state.worker?.bornMs) return;
      state.lease.workerStartedMs = command.bornMs;
      state.lease.untilMs = Math.max(state.lease.untilMs, command.leaseUntilMs);
      recordLease(state, command.bornMs, command.leaseUntilMs, now);
      state.lease.acknowledgedEnd = Math.max(state.lease.acknowledgedEnd, command.lastSeen);
      if (state.lease.acknowledgedEnd >= state.poll.lastListedEnd) state.poll.nextAt = now;
      return;
    }
    this.addCommand(state, command, now);
  }

  private receiveHello(
    state: RunnerAgentState,
    linkId: string,
    hello: Extract<OwnerCommand, { kind: 'hello' }>,
    now: number,
  ): void {
    const { owner } = state;
    if (hello.agent !== undefined && hello.agent !== state.self.id) {
      // The record of an instance that is gone names the address, which this instance has now.
      logAgentEvent(state, 'warn', 'owner_mistaken', { epoch: hello.epoch, agent: hello.agent });
      state.outbox.append({ kind: 'closeOwner', linkId });
      return;
    }
    if (hello.epoch < owner.epoch) {
      state.outbox.append({ kind: 'closeOwner', linkId });
      return;
    }
    logAgentEvent(state, 'info', 'owner_known', { epoch: hello.epoch, before: owner.epoch });
    if (owner.linkId !== '' && owner.linkId !== linkId)
      state.outbox.append({ kind: 'closeOwner', linkId: owner.linkId });
    owner.epoch = hello.epoch;
    owner.linkId = linkId;
    owner.reportAt = now;
    owner.longestLeaseMs = hello.longestLeaseMs ?? owner.longestLeaseMs;
    owner.lastMessageAt = now;
    state.commands.clear();
    state.worker ??= hello.worker;
    state.confirmedWorker ??= hello.worker;
    state.poll.callId = '';
    state.poll.epoch = 0;
    state.poll.nextAt = now;
  }

  /** Replaces a start that the worker has not answered by its stop; returns false without such a start. */
  private revokeStart(state: RunnerAgentState, { task, run }: WorkerCommand): boolean {
    const start = state.commands.get(`start:${task}#${run}`);
    if (start === undefined) return false;
    if (start.step === 'sending')
      state.commands.update(start.id, {
        step: 'stopping',
        callId: '',
        retryAt: Number.NEGATIVE_INFINITY,
        outcome: 'stopped',
      });
    return true;
  }

  private addCommand(state: RunnerAgentState, command: WorkerCommand, now: number): void {
    if (command.bornMs !== state.worker?.bornMs) return;
    if (command.kind === 'start') recordLease(state, command.bornMs, command.leaseUntilMs, now);
    const id = `${command.kind}:${command.task}#${command.run}`;
    const pending = state.commands.get(id);
    if (pending !== undefined && command.kind !== 'pace') {
      state.commands.update(id, { command });
      return;
    }
    if (command.kind === 'stop' && this.revokeStart(state, command)) return;
    const mayHaveStarted = command.kind === 'start' && command.attempt > 1;
    const isRevoked = mayHaveStarted && state.worker.isDraining;
    state.commands.set({
      id,
      command,
      step: isRevoked ? 'stopping' : 'sending',
      attempts: 0,
      mayHaveStarted,
      callId: '',
      retryAt: Number.NEGATIVE_INFINITY,
      outcome: isRevoked ? 'draining' : command.kind === 'stop' ? 'stopped' : '',
      afterPoll: 0,
    });
  }
}

/** Describes the present worker, or the incarnation that has not answered yet. */
function describeWorker(
  state: RunnerAgentState,
  now: number,
): Pick<Extract<AgentMessage, { kind: 'report' }>, 'worker' | 'unconfirmedWorker'> {
  const { worker } = state;
  if (worker === undefined) return {};
  if (isWorkerConfirmed(state)) return { worker };
  const { id, bornMs } = worker;
  const knownForMs = Math.max(0, Math.floor(now - state.incarnationSince));
  return { unconfirmedWorker: { id, bornMs, knownForMs } };
}
