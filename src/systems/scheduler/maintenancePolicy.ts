/** An instance that may go into maintenance next, and what runs on it. */
export interface MaintenanceCandidate {
  readonly instanceId: string;
  /** Tasks that last, and of these the ones that their step cannot miss now. */
  readonly longRunning: number;
  readonly required: number;
  /** Other tasks. */
  readonly finite: number;
}

/** How much time a wave has for an instance. */
export interface MaintenanceTiming {
  readonly now: number;
  /** When the last instance should have begun. */
  readonly deadlineAt: number;
  /** Instances that have not begun, and how many may be down at one time. */
  readonly remainingCount: number;
  readonly maxDown: number;
  /** Time that an instance is down, ms. */
  readonly maintenanceMs: number;
}

/** Chooses the order in which a wave's instances go down, and how long their tasks may go on. */
export abstract class MaintenancePolicy {
  abstract choose(candidates: readonly MaintenanceCandidate[]): MaintenanceCandidate | undefined;
  /** From when on the tasks of a chosen instance are stopped. */
  abstract computeStopAt(timing: MaintenanceTiming): number;
}

/** The baseline: the first instance, and everything on it is stopped at once. */
export class ImmediateMaintenance extends MaintenancePolicy {
  private constructor() {
    super();
  }

  static create(): ImmediateMaintenance {
    return new ImmediateMaintenance();
  }

  override choose(candidates: readonly MaintenanceCandidate[]): MaintenanceCandidate | undefined {
    return candidates[0];
  }

  override computeStopAt({ now }: MaintenanceTiming): number {
    return now;
  }
}

/** Longest wait for tasks to end by themselves; an instance that takes nothing new is idle room. */
const MAX_WAIT_MS = 5_000;
/** Time of one instance besides its maintenance: stops, orders and the next list. */
const INSTANCE_OVERHEAD_MS = 2_500;
/** Part of the spare time that is spent on waiting; the rest is for lost answers and takeovers. */
const WAIT_FRACTION = 0.5;

/**
 * Takes the instances with the least work first, and lets their tasks end as long as the wave's time
 * allows it. Answers waves over a pool that is in use.
 */
export class GracefulMaintenance extends MaintenancePolicy {
  private constructor() {
    super();
  }

  static create(): GracefulMaintenance {
    return new GracefulMaintenance();
  }

  override choose(candidates: readonly MaintenanceCandidate[]): MaintenanceCandidate | undefined {
    let best: MaintenanceCandidate | undefined;
    for (const candidate of candidates)
      if (best === undefined || compareLoad(candidate, best) < 0) best = candidate;
    return best;
  }

  override computeStopAt(timing: MaintenanceTiming): number {
    const batches = Math.max(1, Math.ceil(timing.remainingCount / timing.maxDown));
    const perBatchMs = (timing.deadlineAt - timing.now) / batches;
    const spareMs = perBatchMs - timing.maintenanceMs - INSTANCE_OVERHEAD_MS;
    return timing.now + Math.min(MAX_WAIT_MS, Math.max(0, spareMs * WAIT_FRACTION));
  }
}

function compareLoad(a: MaintenanceCandidate, b: MaintenanceCandidate): number {
  return a.required - b.required || a.longRunning - b.longRunning || a.finite - b.finite;
}
