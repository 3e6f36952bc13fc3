/** An instance that may go into maintenance next, with the numbers of its tasks. */
export interface MaintenanceCandidate {
  readonly instanceId: string;
  /** Long-running tasks, and those of them that cannot be evicted now. */
  readonly longRunning: number;
  readonly required: number;
  /** Tasks that end. */
  readonly finite: number;
}

/** The time that a wave has left for its instances. */
export interface MaintenanceTiming {
  readonly now: number;
  /** When the maintenance of the last instance should have begun. */
  readonly deadlineAt: number;
  /** Instances whose maintenance has not begun, and how many may be down at one time. */
  readonly remainingCount: number;
  readonly maxDown: number;
  /** Time that an instance is down, ms. */
  readonly maintenanceMs: number;
}

/** Chooses the order in which a wave's instances go down and how long their tasks may continue. */
export abstract class MaintenancePolicy {
  abstract choose(candidates: readonly MaintenanceCandidate[]): MaintenanceCandidate | undefined;
  /** Computes when the remaining tasks of a chosen instance are stopped. */
  abstract computeStopAt(timing: MaintenanceTiming): number;
}

/** Baseline: takes the first instance and stops everything on it at once. */
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

/**
 * Longest wait for tasks to end by themselves; a draining instance accepts no tasks, so its free
 * capacity is idle.
 */
const MAX_WAIT_MS = 5_000;
/** Time per instance in addition to its maintenance: stops, commands and the next list. */
const INSTANCE_OVERHEAD_MS = 2_500;
/**
 * Fraction of the spare time that is spent on waiting; the rest covers lost answers and takeovers.
 */
const WAIT_FRACTION = 0.5;

/**
 * Maintains the instances with the least work first and lets their tasks end while the wave's time
 * allows it. Meant for waves over a pool that is in use.
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
