import type { Invariant, Step } from './explorer.ts';
import { Model } from './explorer.ts';
import type { ProtocolRules } from './taskRules.ts';
import type { Entry, Owner, Reply, TaskState, Worker } from './taskState.ts';
import {
  advanceTime,
  confirmWrite,
  copyState,
  createOwner,
  discardOwnership,
  getOwner,
  getWorker,
  isSameWrite,
  NOBODY,
  resendWrite,
  sendWrite,
  acquireOwnership,
  TICKS,
} from './taskState.ts';

type AddStep = (label: string, change: (next: TaskState) => void) => void;

/** Events that happen at most once in an exploration. */
export interface TaskOptions {
  readonly hasEviction: boolean;
  readonly hasZoneOut: boolean;
  /** Runs of the task that are explored. */
  readonly maxIncarnation: number;
  /** Takeovers that are explored; without a bound the number of states is infinite. */
  readonly maxEpoch: number;
}

/**
 * Faults need no state of their own: a paused or dead process, a slow store or an outage is a party that
 * takes no step while time passes, and a message may be lost or wait at any point.
 *
 * Two owners, two workers in two zones and one task; worker 0 stands in the zone that is
 * taken out.
 */
export class TaskProtocol extends Model<TaskState> {
  override readonly name = 'task protocol';

  override readonly invariants: readonly Invariant<TaskState>[] = [
    {
      name: 'no task runs in two places at once',
      isHeld: (state) => state.workers.filter((worker) => worker.phase === 'running').length <= 1,
    },
    {
      name: 'no incarnation starts on two workers',
      isHeld: (state) => state.broken !== 'startedTwice',
    },
    {
      name: 'no start before the write is in',
      isHeld: (state) => state.broken !== 'startBeforeWrite',
    },
    {
      name: 'no start in a zone that has been out for long',
      isHeld: (state) => state.broken !== 'lateZoneStart',
    },
  ];

  private constructor(
    private readonly rules: ProtocolRules,
    private readonly options: TaskOptions,
  ) {
    super();
  }

  static create(rules: ProtocolRules, options: TaskOptions): TaskProtocol {
    return new TaskProtocol(rules, options);
  }

  override createInitial(): TaskState {
    const ledger: Entry = { phase: 'queued', inc: 0, worker: NOBODY, by: NOBODY, epoch: 0 };
    return {
      heldBy: NOBODY,
      heldTicks: 0,
      ownershipEpoch: 0,
      ledger,
      version: 0,
      sent: [],
      zoneOut: false,
      outAge: 0,
      owners: [createOwner(ledger), createOwner(ledger)],
      workers: [0, 1].map(() => ({ inc: 0, phase: 'none', lease: 0, epoch: 0, exchange: null })),
      startedBy: [NOBODY, NOBODY, NOBODY],
      canEvict: this.options.hasEviction,
      canTakeZoneOut: this.options.hasZoneOut,
      broken: '',
    };
  }

  override isDone(state: TaskState): boolean {
    return (
      state.ledger.phase === 'finished' ||
      state.ledger.inc >= this.options.maxIncarnation ||
      state.ownershipEpoch >= this.options.maxEpoch
    );
  }

  override listSteps(state: TaskState): Step<TaskState>[] {
    const steps: Step<TaskState>[] = [];
    if (state.ledger.phase === 'finished') return steps;
    const add = (label: string, change: (next: TaskState) => void): void => {
      const next = copyState(state);
      change(next);
      steps.push({ label, state: next });
    };
    add('time passes', advanceTime);
    this.addPlatformSteps(state, add);
    state.owners.forEach((owner, index) => {
      this.addOwnerSteps(state, owner, index, add);
    });
    state.workers.forEach((worker, index) => {
      this.addWorkerSteps(state, worker, index, add);
    });
    return steps;
  }

  private addPlatformSteps(state: TaskState, add: AddStep): void {
    if (!state.zoneOut && state.canTakeZoneOut) {
      add('zone of worker 0 is taken out', (next) => {
        next.zoneOut = true;
        next.canTakeZoneOut = false;
      });
    }
    state.sent.forEach((write, index) => {
      const owner = getOwner(state, write.entry.by);
      const isAwaited = owner.write !== null && !owner.inDoubt && isSameWrite(owner.write, write);
      if (!isAwaited)
        add(`late write of owner ${write.entry.by} reaches the store`, (next) => {
          this.deliver(next, index, false);
        });
      else {
        add(`store answers the write of owner ${write.entry.by}`, (next) => {
          this.deliver(next, index, true);
        });
        add(
          `owner ${write.entry.by} gets no answer from the store`,
          (next) => void (getOwner(next, write.entry.by).inDoubt = true),
        );
      }
    });
  }

  private deliver(next: TaskState, index: number, isAnswered: boolean): void {
    const [write] = next.sent.splice(index, 1);
    if (write === undefined) return;
    const isIn = this.rules.isWriteAccepted(next, write);
    if (isIn) {
      next.ledger = { ...write.entry };
      next.version += 1;
      this.removeHopelessWrites(next);
    }
    const owner = next.owners[write.entry.by];
    if (!isAnswered || owner === undefined) return;
    if (isIn) confirmWrite(owner);
    else discardOwnership(owner);
  }

  /** Versions only grow, so a write that nobody waits for and that expects an old one has no effect any more. */
  private removeHopelessWrites(next: TaskState): void {
    next.sent = next.sent.filter((write) => {
      const owner = getOwner(next, write.entry.by);
      const isAwaited = owner.write !== null && isSameWrite(owner.write, write);
      return isAwaited || this.rules.isWriteAccepted(next, write);
    });
  }

  private addOwnerSteps(state: TaskState, owner: Owner, index: number, add: AddStep): void {
    this.addOwnershipSteps(state, owner, index, add);
    if (owner.phase === 'holding' && owner.write === null)
      this.addDecisionSteps(state, owner, index, add);
  }

  private addOwnershipSteps(state: TaskState, owner: Owner, index: number, add: AddStep): void {
    // The owners are alike, so the takeovers are explored in one order only.
    if (
      owner.phase === 'idle' &&
      state.heldBy === NOBODY &&
      state.ownershipEpoch < this.options.maxEpoch &&
      state.ownershipEpoch % 2 === index
    ) {
      add(`owner ${index} acquires the shard`, (next) => {
        acquireOwnership(next, index);
      });
    }
    if (owner.phase !== 'idle' && (owner.sinceConfirmed > 0 || owner.zoneOut !== state.zoneOut)) {
      add(`owner ${index} renews the ownership and reads the zones`, (next) => {
        const self = getOwner(next, index);
        if (next.heldBy === index && next.ownershipEpoch === self.epoch) {
          next.heldTicks = TICKS.ownershipLease;
          Object.assign(self, { sinceConfirmed: 0, zoneOut: next.zoneOut });
        } else discardOwnership(self);
      });
    }
    if (owner.inDoubt) {
      add(`owner ${index} reads its doubtful write back`, (next) => {
        const self = getOwner(next, index);
        const verdict = this.rules.resolveLostWrite(next, self);
        if (verdict === 'confirmed') confirmWrite(self);
        else if (verdict === 'fenced') discardOwnership(self);
        else resendWrite(next, self);
      });
    }
  }

  private addDecisionSteps(state: TaskState, owner: Owner, index: number, add: AddStep): void {
    const { view } = owner;
    if (view.phase === 'queued' && view.inc < this.options.maxIncarnation) {
      for (const worker of [0, 1]) {
        if (worker === 0 && owner.zoneOut) continue;
        add(`owner ${index} writes: incarnation ${view.inc + 1} on worker ${worker}`, (next) => {
          sendWrite(next, index, { phase: 'assigned', inc: view.inc + 1, worker });
        });
      }
    }
    if (view.phase !== 'assigned') return;
    if (owner.finished) {
      add(`owner ${index} writes: finished`, (next) => {
        sendWrite(next, index, { phase: 'finished', inc: view.inc, worker: view.worker });
      });
    } else if (this.rules.isProvenStopped(owner) && view.inc < this.options.maxIncarnation) {
      add(`owner ${index} writes: incarnation ${view.inc} is over, the task waits`, (next) => {
        sendWrite(next, index, { phase: 'queued', inc: view.inc, worker: NOBODY });
      });
    }
    if (owner.stopWanted !== view.inc && state.canEvict) {
      add(`owner ${index} evicts incarnation ${view.inc}`, (next) => {
        getOwner(next, index).stopWanted = view.inc;
        next.canEvict = false;
      });
    }
  }

  private addWorkerSteps(state: TaskState, worker: Worker, index: number, add: AddStep): void {
    const { exchange } = worker;
    if (exchange === null) {
      state.owners.forEach((owner, to) => {
        if (owner.phase !== 'holding' || owner.sinceConfirmed > TICKS.grace) return;
        add(`worker ${index} exchanges with owner ${to}`, (next) => {
          this.answer(next, index, to);
        });
      });
    } else {
      add(`reply of owner ${exchange.to} reaches worker ${index}`, (next) => {
        this.receiveReply(next, index);
      });
      add(
        `reply of owner ${exchange.to} to worker ${index} is lost`,
        (next) => void (getWorker(next, index).exchange = null),
      );
    }
    if (worker.phase === 'running')
      add(
        `run on worker ${index} finishes`,
        (next) => void (getWorker(next, index).phase = 'finished'),
      );
  }

  /** The owner's side of an exchange: takes the report, then grants, starts or stops. */
  private answer(next: TaskState, index: number, to: number): void {
    const worker = getWorker(next, index);
    const owner = getOwner(next, to);
    const isOurs = owner.view.phase === 'assigned' && owner.view.worker === index;
    if (isOurs && worker.inc === owner.view.inc) {
      if (worker.phase === 'stopped') owner.stopped = worker.inc;
      if (worker.phase === 'finished') owner.finished = true;
    }
    const entry = this.rules.getStartEntry(owner);
    const isStart =
      entry?.phase === 'assigned' &&
      entry.worker === index &&
      entry.inc !== worker.inc &&
      (index === 1 || !owner.zoneOut);
    const isStopWanted = isOurs && owner.stopWanted === owner.view.inc;
    const isRenewal = isOurs && owner.write === null && worker.inc === owner.view.inc;
    const grant =
      isStopWanted || owner.stopped === owner.view.inc
        ? 0
        : isStart
          ? entry.inc
          : isRenewal
            ? owner.view.inc
            : 0;
    if (grant > 0) owner.lease = TICKS.lease + TICKS.margin;
    const reply: Reply = {
      epoch: owner.epoch,
      grant,
      isStart: isStart && grant > 0,
      stop: isStopWanted ? owner.view.inc : 0,
      proofAge: owner.sinceConfirmed,
    };
    // An empty reply changes nothing at the worker.
    if (reply.grant > 0 || reply.stop > 0) worker.exchange = { to, age: 0, reply };
  }

  private receiveReply(next: TaskState, index: number): void {
    const worker = getWorker(next, index);
    const { exchange } = worker;
    worker.exchange = null;
    if (exchange === null) return;
    const { reply } = exchange;
    if (!this.rules.isEpochAccepted(worker, reply)) return;
    worker.epoch = reply.epoch;
    const lease = TICKS.lease - exchange.age;
    if (reply.stop > 0 && reply.stop >= worker.inc)
      Object.assign(worker, { inc: reply.stop, phase: 'stopped', lease: 0 });
    if (reply.grant === 0 || lease <= 0) return;
    const isLive = worker.phase === 'running' || worker.phase === 'suspended';
    if (worker.inc === reply.grant && isLive)
      Object.assign(worker, { phase: 'running', lease: Math.max(worker.lease, lease) });
    else if (reply.isStart && reply.grant > worker.inc && !isLive)
      this.start(next, index, reply, exchange.age, lease);
  }

  private start(next: TaskState, index: number, reply: Reply, age: number, lease: number): void {
    if (!this.rules.isZoneProofFresh(reply, age)) return;
    const worker = getWorker(next, index);
    Object.assign(worker, { inc: reply.grant, phase: 'running', lease });
    const before = next.startedBy[reply.grant] ?? NOBODY;
    if (before !== NOBODY && before !== index) next.broken = 'startedTwice';
    next.startedBy[reply.grant] = index;
    if (next.ledger.inc < reply.grant) next.broken = 'startBeforeWrite';
    if (index === 0 && next.outAge > TICKS.proof) next.broken = 'lateZoneStart';
  }
}
