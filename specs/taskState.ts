/** State of the task protocol and the changes that its steps make. */

/** Durations in ticks of the model; the relations between them are those of the design page. */
export const TICKS = {
  /** Store lease of the shard ownership. */
  ownershipLease: 1,
  /** Task lease on the worker's clock. */
  lease: 1,
  /** Margin that the owner adds to a lease. */
  margin: 1,
  /** Time for which an owner renews without the store. */
  grace: 2,
  /** Largest age of a zone proof when the worker starts a task. */
  proof: 1,
} as const;

export const NOBODY = -1;

/** Content of the ledger for the one task. */
export interface Entry {
  phase: 'queued' | 'assigned' | 'finished';
  inc: number;
  worker: number;
  /** Owner that wrote it, and its epoch. */
  by: number;
  epoch: number;
}

export interface Write {
  expected: number;
  entry: Entry;
}

export interface Owner {
  phase: 'idle' | 'fencing' | 'holding';
  epoch: number;
  /** Confirmed view of the ledger and its version. */
  view: Entry;
  version: number;
  /** Write that is not known to be in. */
  write: Write | null;
  inDoubt: boolean;
  /** Ticks since the store last confirmed the ownership and the zones. */
  sinceConfirmed: number;
  /** Ticks during which runs granted by an earlier owner may go on. */
  inherited: number;
  /** Ticks during which the worker may run the assigned incarnation. */
  lease: number;
  /** Incarnation whose stop or end was reported. */
  stopped: number;
  finished: boolean;
  stopWanted: number;
  zoneOut: boolean;
}

export interface Reply {
  epoch: number;
  /** Incarnation that may run here; 0 for none. */
  grant: number;
  isStart: boolean;
  stop: number;
  proofAge: number;
}

/**
 * An exchange whose reply is on its way. Sending and answering are one step: a delayed request is the
 * same as a later one, because the reports that prove something never change afterwards.
 */
export interface Exchange {
  to: number;
  age: number;
  reply: Reply;
}

export interface Worker {
  inc: number;
  phase: 'none' | 'running' | 'suspended' | 'stopped' | 'finished';
  lease: number;
  epoch: number;
  exchange: Exchange | null;
}

export interface TaskState {
  heldBy: number;
  heldTicks: number;
  ownershipEpoch: number;
  ledger: Entry;
  version: number;
  /** Writes on their way to the store; they may arrive late. */
  sent: Write[];
  zoneOut: boolean;
  outAge: number;
  owners: Owner[];
  workers: Worker[];
  /** Worker that started each incarnation. */
  startedBy: number[];
  /** Whether the owner may still evict the task once, and operators may still take the zone out. */
  canEvict: boolean;
  canTakeZoneOut: boolean;
  /** Set when a step breaks a promise that is about the step itself. */
  broken: '' | 'lateZoneStart' | 'startedTwice' | 'startBeforeWrite';
}

export function isSameEntry(a: Entry, b: Entry): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}

export function isSameWrite(a: Write, b: Write): boolean {
  return a.expected === b.expected && isSameEntry(a.entry, b.entry);
}

export function createOwner(entry: Entry): Owner {
  return {
    phase: 'idle',
    epoch: 0,
    view: entry,
    version: 0,
    write: null,
    inDoubt: false,
    sinceConfirmed: 0,
    inherited: 0,
    lease: 0,
    stopped: 0,
    finished: false,
    stopWanted: 0,
    zoneOut: false,
  };
}

/** Copies what steps change; entries and writes are never changed in place. */
export function copyState(state: TaskState): TaskState {
  return {
    ...state,
    sent: [...state.sent],
    owners: state.owners.map((owner) => ({ ...owner })),
    workers: state.workers.map((worker) => ({
      ...worker,
      exchange: worker.exchange === null ? null : { ...worker.exchange },
    })),
    startedBy: [...state.startedBy],
  };
}

export function getOwner(state: TaskState, index: number): Owner {
  const owner = state.owners[index];
  if (owner === undefined) throw new Error(`no owner ${index}`);
  return owner;
}

export function getWorker(state: TaskState, index: number): Worker {
  const worker = state.workers[index];
  if (worker === undefined) throw new Error(`no worker ${index}`);
  return worker;
}

export function countDown(ticks: number): number {
  return Math.max(0, ticks - 1);
}

export function advanceTime(next: TaskState): void {
  next.heldTicks = countDown(next.heldTicks);
  if (next.heldTicks === 0) next.heldBy = NOBODY;
  if (next.zoneOut) next.outAge = Math.min(next.outAge + 1, TICKS.proof + 1);
  for (const owner of next.owners) {
    if (owner.phase === 'idle') continue;
    owner.sinceConfirmed = Math.min(owner.sinceConfirmed + 1, TICKS.grace + 1);
    owner.inherited = countDown(owner.inherited);
    owner.lease = countDown(owner.lease);
  }
  for (const worker of next.workers) {
    worker.lease = countDown(worker.lease);
    if (worker.lease === 0 && worker.phase === 'running') worker.phase = 'suspended';
    ageExchange(worker);
  }
}

/** A reply that is older than the lease that it grants is worth nothing and counts as lost. */
export function ageExchange(worker: Worker): void {
  if (worker.exchange === null) return;
  worker.exchange.age += 1;
  if (worker.exchange.age >= TICKS.lease && worker.exchange.reply.stop === 0)
    worker.exchange = null;
  else worker.exchange.age = Math.min(worker.exchange.age, TICKS.lease);
}

export function acquireOwnership(next: TaskState, index: number): void {
  next.heldBy = index;
  next.heldTicks = TICKS.ownershipLease;
  next.ownershipEpoch += 1;
  Object.assign(getOwner(next, index), createOwner(next.ledger), {
    phase: 'fencing',
    epoch: next.ownershipEpoch,
    view: { ...next.ledger },
    version: next.version,
    zoneOut: next.zoneOut,
    // A task that waits in the ledger has no run that could go on.
    inherited: next.ledger.phase === 'assigned' ? TICKS.grace + TICKS.lease + TICKS.margin : 0,
  });
  sendWrite(next, index, {
    phase: next.ledger.phase,
    inc: next.ledger.inc,
    worker: next.ledger.worker,
  });
}

export function sendWrite(
  next: TaskState,
  index: number,
  content: Pick<Entry, 'phase' | 'inc' | 'worker'>,
): void {
  const owner = getOwner(next, index);
  owner.write = { expected: owner.version, entry: { ...content, by: index, epoch: owner.epoch } };
  owner.inDoubt = false;
  next.sent.push(owner.write);
}

export function resendWrite(next: TaskState, owner: Owner): void {
  owner.inDoubt = false;
  if (
    owner.write !== null &&
    !next.sent.some((write) => owner.write !== null && isSameWrite(write, owner.write))
  )
    next.sent.push(owner.write);
}

export function confirmWrite(owner: Owner): void {
  if (owner.write === null) return;
  const isNewRun = owner.write.entry.inc !== owner.view.inc;
  owner.version = owner.write.expected + 1;
  owner.view = owner.write.entry;
  owner.write = null;
  owner.inDoubt = false;
  if (owner.phase === 'fencing') owner.phase = 'holding';
  if (isNewRun)
    Object.assign(owner, { stopped: 0, finished: false, stopWanted: 0, lease: 0, inherited: 0 });
}

export function discardOwnership(owner: Owner): void {
  Object.assign(
    owner,
    createOwner({ phase: 'queued', inc: 0, worker: NOBODY, by: NOBODY, epoch: 0 }),
  );
}
