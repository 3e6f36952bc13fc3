import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { AgentState, ExchangeSampleRow } from '../../model/agentState.ts';
import type { ExchangeReply } from '../../model/exchange.ts';
import type { WorkerCommand, WorkerReport } from '../../model/worker.ts';
import type { WorkerCall, WorkerReply } from '../../model/workerCall.ts';
import { MAX_PROOF_AGE_AT_START_MS } from '../leases/leaseTimes.ts';
import { isLeaving, MAX_STATUS_AGE_MS } from './workerReport.ts';

const CALL_TIMEOUT_MS = 1_000;
/** A call without a reply is discarded this long after its timeout. */
const REPLY_GRACE_MS = 500;
const STATUS_PERIOD_MS = 500;
const STATUS_CALL = 'worker.status';
/** Exchanges time out long before this. */
const CLOCK_SAMPLE_RETENTION_MS = 30_000;

type StartCommand = Extract<WorkerCommand, { kind: 'start' }>;
type OwnerReply = NonNullable<ExchangeReply['owner']>;
type RejectedStart = WorkerReport['rejectedStarts'][number];

/**
 * Forwards lease renewals and commands of the owner to the worker, and the worker's status to the
 * owner. Reads `exchangeReply`, `workerReply` and the exchanges that are sent in this tick. Writes
 * `worker`, `ownerEpoch`, `rejectedStarts`, `exchangeSamples`, `calls`. Runs each tick after the
 * announcements.
 * All state is also in the worker, from which a restarted agent restores it.
 */
export class WorkerSystem extends System<AgentState> {
  override readonly name = 'worker';

  private constructor() {
    super();
  }

  static create(): WorkerSystem {
    return new WorkerSystem();
  }

  override run(state: AgentState, tick: Tick): void {
    if (!state.self.hasWorker) return;
    for (const { callId, reply } of state.inbox.list('workerReply'))
      this.handleWorkerReply(state, tick, callId, reply);
    this.removeExpired(state, tick);
    for (const { callId, reply } of state.inbox.list('exchangeReply'))
      this.handleExchangeReply(state, tick, callId, reply);
    this.recordClockSamples(state, tick);
    this.sendStatus(state, tick);
  }

  private handleWorkerReply(
    state: AgentState,
    tick: Tick,
    callId: string,
    reply: WorkerReply | undefined,
  ): void {
    const call = state.calls.remove(callId);
    if (call?.system !== this.name) return;
    if (reply?.kind === 'status') {
      // A delayed reply must not replace the status of a later call.
      if (call.sentMs < (state.worker?.requestedMs ?? 0)) return;
      state.worker = { status: reply.status, requestedMs: call.sentMs, receivedMs: tick.now };
      return;
    }
    if (call.purpose === 'start' && reply?.kind === 'refused') {
      const [taskId = '', incarnation = '0'] = call.subject.split('#');
      const reason = reply.reason === 'too_late' ? 'stale_proof' : 'no_room';
      this.recordRejection(state, { taskId, incarnation: Number(incarnation), reason });
    }
  }

  private recordRejection(state: AgentState, rejection: RejectedStart): void {
    state.counters.add('rejected_starts', { reason: rejection.reason });
    state.rejectedStarts = [...state.rejectedStarts, rejection];
  }

  /**
   * Removes calls without a reply and a status that is too old. Without a status the agent sends no
   * worker report, so the leases of a silent worker expire at the owner.
   */
  private removeExpired(state: AgentState, tick: Tick): void {
    for (const call of state.calls.list()) {
      if (call.system !== this.name) continue;
      if (tick.now - call.sentMs >= CALL_TIMEOUT_MS + REPLY_GRACE_MS) state.calls.remove(call.id);
    }
    if (state.worker !== undefined && tick.now - state.worker.requestedMs > MAX_STATUS_AGE_MS)
      state.worker = undefined;
  }

  /** Records the worker's clock at each exchange; the leases in the reply start at that reading. */
  private recordClockSamples(state: AgentState, tick: Tick): void {
    for (const effect of state.outbox.list('sendExchange')) {
      if (effect.request.worker === undefined || state.worker === undefined) continue;
      state.exchangeSamples.set({
        id: effect.callId,
        workerBootId: state.worker.status.bootId,
        workerClockMs: state.worker.status.clockMs,
        sentMs: tick.now,
        rejectedStarts: effect.request.worker.rejectedStarts,
      });
      state.worker = { ...state.worker, hasReportedSamples: true };
    }
    for (const sample of state.exchangeSamples.list()) {
      if (tick.now - sample.sentMs < CLOCK_SAMPLE_RETENTION_MS) break;
      state.exchangeSamples.remove(sample.id);
    }
  }

  private handleExchangeReply(
    state: AgentState,
    tick: Tick,
    callId: string,
    reply: ExchangeReply | undefined,
  ): void {
    const sample = state.exchangeSamples.remove(callId);
    if (sample === undefined || reply?.owner === undefined) return;
    const { owner } = reply;
    if (owner.epoch < state.ownerEpoch) {
      state.counters.add('stale_epoch_replies');
      return;
    }
    state.ownerEpoch = owner.epoch;
    const reported = new Set(sample.rejectedStarts);
    state.rejectedStarts = state.rejectedStarts.filter((rejection) => !reported.has(rejection));
    // After a restart of the worker, clock readings and runs of its previous boot are invalid.
    if (state.worker?.status.bootId !== sample.workerBootId) return;
    this.sendRenewals(state, tick, sample, owner);
    for (const command of owner.commands) this.sendCommand(state, tick, sample, owner, command);
  }

  private sendRenewals(
    state: AgentState,
    tick: Tick,
    sample: ExchangeSampleRow,
    owner: OwnerReply,
  ): void {
    if (owner.renewed.length === 0) return;
    const leaseUntil = sample.workerClockMs + owner.leaseMs;
    this.send(state, tick, 'renew', '', { op: 'renew', leaseUntil, runs: [...owner.renewed] });
  }

  private sendCommand(
    state: AgentState,
    tick: Tick,
    sample: ExchangeSampleRow,
    owner: OwnerReply,
    command: WorkerCommand,
  ): void {
    const { taskId, incarnation } = command;
    const subject = `${taskId}#${incarnation}`;
    switch (command.kind) {
      case 'start':
        this.startRun(state, tick, sample, owner, command);
        return;
      case 'stop': {
        const { withCheckpoint } = command;
        const call = { op: 'stop', taskId, incarnation, withCheckpoint } as const;
        this.send(state, tick, 'stop', subject, call);
        return;
      }
      case 'throttle': {
        const call = { op: 'throttle', taskId, incarnation, share: command.share } as const;
        this.send(state, tick, 'throttle', subject, call);
        return;
      }
      default:
        this.send(state, tick, command.kind, subject, { op: command.kind, taskId, incarnation });
    }
  }

  /** Starts a run unless the proof that its zone is in service has expired. */
  private startRun(
    state: AgentState,
    tick: Tick,
    sample: ExchangeSampleRow,
    owner: OwnerReply,
    command: StartCommand,
  ): void {
    const { taskId, incarnation } = command;
    const { worker, self } = state;
    if (worker === undefined) return;
    if (isLeaving(self)) {
      this.recordRejection(state, { taskId, incarnation, reason: 'shutting_down' });
      return;
    }
    const startByMs = sample.sentMs + MAX_PROOF_AGE_AT_START_MS - command.proofAgeMs;
    const isZoneOut = state.config?.zonesOut.includes(self.zone) === true;
    if (isZoneOut || tick.now > startByMs) {
      this.recordRejection(state, { taskId, incarnation, reason: 'stale_proof' });
      return;
    }
    // The status was created at or before its receipt, so this never extends the worker's deadline.
    const startBefore = worker.status.clockMs + (startByMs - (worker.receivedMs ?? tick.now));
    this.send(state, tick, 'start', `${taskId}#${incarnation}`, {
      op: 'start',
      taskId,
      incarnation,
      taskKind: command.taskKind,
      demand: command.demand,
      command: command.command,
      ...(command.checkpoint === undefined ? {} : { checkpoint: command.checkpoint }),
      startBefore,
      leaseUntil: sample.workerClockMs + owner.leaseMs,
    });
  }

  /**
   * Requests the status every 500 ms, and at once after a reply of the owner, so that the next
   * exchange reports the effect of its commands.
   */
  private sendStatus(state: AgentState, tick: Tick): void {
    const lastStatusCall = state.calls.get(STATUS_CALL);
    const isStatusPending = [...state.calls.values()].some(
      (call) => call.system === this.name && call.purpose === 'status',
    );
    if (isStatusPending) {
      tick.wakeAt(tick.now + CALL_TIMEOUT_MS);
      return;
    }
    const hasNewReplies =
      state.inbox.list('exchangeReply').length > 0 ||
      state.inbox.list('workerReply').some(({ reply }) => reply?.kind !== 'status');
    const lastMs = lastStatusCall?.sentMs;
    if (!hasNewReplies && lastMs !== undefined && tick.now - lastMs < STATUS_PERIOD_MS) {
      tick.wakeAt(lastMs + STATUS_PERIOD_MS);
      return;
    }
    state.calls.set({
      id: STATUS_CALL,
      system: 'worker.last',
      purpose: 'last',
      subject: '',
      sentMs: tick.now,
    });
    this.send(state, tick, 'status', '', { op: 'status' });
    tick.wakeAt(tick.now + STATUS_PERIOD_MS);
  }

  private send(
    state: AgentState,
    tick: Tick,
    purpose: string,
    subject: string,
    call: WorkerCall,
  ): void {
    const id = `worker/${purpose}/${tick.random.takeId()}`;
    state.calls.set({ id, system: this.name, purpose, subject, sentMs: tick.now });
    state.outbox.append({ kind: 'callWorker', callId: id, call, timeoutMs: CALL_TIMEOUT_MS });
  }
}
