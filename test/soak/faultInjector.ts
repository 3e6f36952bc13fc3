import type { SoakCallers } from './callers.ts';
import type { Fault, PlannedFault } from './faultPlan.ts';
import type { SoakHistory } from './history.ts';
import { STORE } from './history.ts';
import type { Operator } from './operator.ts';
import { RoleFaults } from './roleFaults.ts';
import type { SoakNetwork } from './soakNetwork.ts';
import type { SoakProcess } from './soakProcess.ts';
import type { StoreStandIn, StoreTrouble } from './storeStandIn.ts';
import type { WorkerFault, WorkerSlot } from './workerSlot.ts';

/** What the faults act on. */
export interface SoakParts {
  readonly processes: ReadonlyMap<string, SoakProcess>;
  readonly workers: ReadonlyMap<string, WorkerSlot>;
  readonly network: SoakNetwork;
  readonly store: StoreStandIn;
  readonly callers: SoakCallers;
  readonly operator: Operator;
}

type FaultOf<Kind extends Fault['kind']> = Extract<Fault, { kind: Kind }>;
type Undo = () => void;
const NOTHING: Undo = () => undefined;

const PLANNED_KINDS = ['terminate', 'reload'];
/** A process that is down for longer counts as gone: its loss and its return disturb, not the time between. */
const LONGEST_OUTAGE_MS = 10_000;

/** Brings faults about and ends them, and records which processes they act on. */
export class FaultInjector {
  private readonly undos = new Set<Undo>();
  private readonly timers = new Set<NodeJS.Timeout>();
  private readonly roles: RoleFaults;

  private constructor(
    private readonly parts: SoakParts,
    private readonly history: SoakHistory,
  ) {
    this.roles = RoleFaults.create(parts, history);
  }

  static create(parts: SoakParts, history: SoakHistory): FaultInjector {
    return new FaultInjector(parts, history);
  }

  /** Plans all faults from now on. */
  start(plan: readonly PlannedFault[], onFault: (planned: PlannedFault) => void): void {
    for (const { at, fault: planned } of plan)
      this.schedule(at, () => {
        for (const fault of this.roles.resolve(planned)) {
          onFault({ at, fault });
          this.apply(fault);
        }
      });
  }

  /** Ends every fault that still acts. */
  clear(): void {
    for (const timer of this.timers) clearTimeout(timer);
    for (const undo of [...this.undos]) undo();
  }

  apply(fault: Fault): void {
    const rows = this.listDisturbed(fault).map((process) => {
      const id = this.history.takeId();
      const isPlanned = PLANNED_KINDS.includes(fault.kind);
      const from = performance.now();
      this.history.disruptions.set({ id, process, kind: fault.kind, isPlanned, from });
      if (fault.kind === 'kill' && fault.forMs > LONGEST_OUTAGE_MS)
        this.history.disruptions.update(id, { to: from });
      return id;
    });
    const troubles = listTroubledWorkers(fault).map((worker) => {
      const id = this.history.takeId();
      const from = performance.now();
      this.history.workerTroubles.set({ id, worker, kind: fault.kind, from });
      return id;
    });
    const end = this.startFault(fault);
    const undo = (): void => {
      if (!this.undos.delete(undo)) return;
      end();
      for (const id of rows) this.endDisruption(id);
      for (const id of troubles) this.history.workerTroubles.update(id, { to: performance.now() });
    };
    this.undos.add(undo);
    this.schedule(fault.forMs, undo);
  }

  /** Ends a disruption; the return of a process that was gone is one of its own. */
  private endDisruption(id: string): void {
    const { disruptions } = this.history;
    const to = performance.now();
    const row = disruptions.get(id);
    if (row?.to === undefined) disruptions.update(id, { to });
    else disruptions.set({ ...row, id: this.history.takeId(), from: to, to });
  }

  /** Processes that are out of touch while the fault acts. */
  private listDisturbed(fault: Fault): string[] {
    switch (fault.kind) {
      case 'kill':
      case 'terminate':
      case 'freeze':
      case 'reload':
      case 'resetProcess':
        return [fault.process];
      case 'cutProcess':
        return [fault.process];
      case 'delayLink':
      case 'cutLink':
      case 'silenceLink':
      case 'resetLink':
        return fault.link
          .split('>')
          .map((end) => this.parts.workers.get(end)?.agent ?? end)
          .filter((end) => this.parts.processes.has(end));
      case 'storeDown':
      case 'storeSlow':
      case 'storeLosesAnswers':
      case 'storeActsLate':
      case 'storeForgets':
        return [STORE];
      default:
        return [];
    }
  }

  private startFault(fault: Fault): Undo {
    const { callers, operator, network, store } = this.parts;
    switch (fault.kind) {
      case 'kill':
      case 'terminate':
      case 'freeze':
      case 'reload':
        return applyToProcess(this.getProcess(fault.process), fault);
      case 'delayLink':
      case 'cutLink':
      case 'silenceLink':
      case 'resetLink':
        return applyToLink(network, fault);
      case 'cutProcess': {
        const proxies = network.listAround(fault.process);
        for (const proxy of proxies) proxy.stop(fault.directions);
        return () => {
          for (const proxy of proxies) proxy.resume();
        };
      }
      case 'resetProcess':
        for (const proxy of network.listAround(fault.process)) proxy.reset();
        return NOTHING;
      case 'workerLosesAnswers':
      case 'workerActsLate':
      case 'workerRefuses':
      case 'workerFails':
      case 'workerStalls':
        return this.applyToWorkers(fault.workers, fault);
      case 'workerCrash':
      case 'workerGone':
      case 'workerDrains':
        return this.applyToWorkers([fault.worker], fault);
      case 'storeDown':
      case 'storeSlow':
      case 'storeLosesAnswers':
      case 'storeActsLate': {
        const trouble = toTrouble(fault);
        store.troubles.add(trouble);
        return () => store.troubles.delete(trouble);
      }
      case 'storeForgets':
        store.dropHistory();
        return NOTHING;
      case 'changeConfiguration':
        operator.updateConfiguration();
        return NOTHING;
      case 'zoneOut':
        return operator.removeZone(fault.zone);
      case 'cancelJobs':
        callers.cancel(fault.share);
        return NOTHING;
      case 'submitBurst':
        for (let left = fault.jobs; left > 0; left -= 1) callers.submit();
        return NOTHING;
    }
  }

  private applyToWorkers(names: readonly string[], fault: WorkerFault): Undo {
    const ends = names.map((name) => this.parts.workers.get(name)?.apply(fault) ?? NOTHING);
    return () => {
      for (const end of ends) end();
    };
  }

  private getProcess(name: string): SoakProcess {
    const process = this.parts.processes.get(name);
    if (process === undefined) throw new Error(`no process ${name}`);
    return process;
  }

  private schedule(afterMs: number, run: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      run();
    }, afterMs);
    this.timers.add(timer);
  }
}

/** Workers that do their work badly while the fault acts; one that ended does none, and its row says so. */
function listTroubledWorkers(fault: Fault): readonly string[] {
  if ('workers' in fault) return fault.workers;
  return fault.kind === 'workerDrains' ? [fault.worker] : [];
}

function applyToProcess(
  process: SoakProcess,
  { kind, forMs }: FaultOf<'kill' | 'terminate' | 'freeze' | 'reload'>,
): Undo {
  switch (kind) {
    case 'kill':
      process.stop(forMs);
      return NOTHING;
    case 'terminate':
      process.drain(forMs);
      return NOTHING;
    case 'freeze':
      process.setFrozen(true);
      return () => {
        process.setFrozen(false);
      };
    case 'reload':
      process.reload();
      return NOTHING;
  }
}

function applyToLink(
  network: SoakNetwork,
  fault: FaultOf<'delayLink' | 'cutLink' | 'silenceLink' | 'resetLink'>,
): Undo {
  const proxy = network.proxies.get(fault.link);
  if (proxy === undefined) throw new Error(`no link ${fault.link}`);
  switch (fault.kind) {
    case 'delayLink':
      proxy.delayMs = fault.delayMs;
      return () => {
        proxy.delayMs = 0;
      };
    case 'cutLink':
      proxy.stop(fault.directions);
      return () => {
        proxy.resume();
      };
    case 'silenceLink':
      proxy.dropBytes(fault.directions);
      return NOTHING;
    case 'resetLink':
      proxy.reset();
      return NOTHING;
  }
}

function toTrouble(
  fault: FaultOf<'storeDown' | 'storeSlow' | 'storeLosesAnswers' | 'storeActsLate'>,
): StoreTrouble {
  switch (fault.kind) {
    case 'storeDown':
      return { how: fault.how, processes: fault.processes, share: 1, delayMs: 0 };
    case 'storeSlow':
      return { how: 'slow', processes: [], share: 1, delayMs: fault.delayMs };
    case 'storeLosesAnswers':
      return { how: 'losesAnswers', processes: [], share: fault.share, delayMs: 0 };
    case 'storeActsLate':
      return { how: 'actsLate', processes: [], share: fault.share, delayMs: 0 };
  }
}
