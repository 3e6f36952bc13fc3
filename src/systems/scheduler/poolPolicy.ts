/** The capacity and the demand of a pool. */
export interface PoolLoad {
  readonly pool: string;
  /** Tasks that wait for capacity, and the longest wait of the first task of a step, ms. */
  readonly waitingTasks: number;
  readonly waitedMs: number;
  /** Time since a task last waited for capacity, ms. */
  readonly quietMs: number;
  /** Processors that open runs reserve, and those of all workers, thousandths of a core. */
  readonly usedCpuMillis: number;
  readonly totalCpuMillis: number;
  /** Whether an instance is being moved to the pool or has not reported there yet. */
  readonly isGrowing: boolean;
  /** Spare instances that may be moved to it. */
  readonly spare: readonly string[];
  /**
   * Instances of spare pools without long-running tasks, the least used first, with their
   * processors.
   */
  readonly returnable: readonly { readonly instanceId: string; readonly cpuMillis: number }[];
}

export interface PoolMove {
  readonly instanceId: string;
  readonly direction: 'out' | 'home';
}

/** Decides which instances move between spare pools and the pools in use. */
export abstract class PoolPolicy {
  /** Chooses at most one move per pool and evaluation. */
  abstract choose(load: PoolLoad): PoolMove | undefined;
}

/** Baseline: every pool keeps its instances. */
export class FixedPools extends PoolPolicy {
  private constructor() {
    super();
  }

  static create(): FixedPools {
    return new FixedPools();
  }

  override choose(): PoolMove | undefined {
    return undefined;
  }
}

/**
 * Wait of a task after which its pool grows. Most tasks run for less, so a task that still waits
 * finds no capacity on the present workers.
 */
const GROW_AFTER_MS = 2_000;
/**
 * Time without waiting tasks after which an instance returns; longer than a move and the start of a
 * worker, which take seconds.
 */
const RETURN_AFTER_MS = 15_000;
/** Fraction of the remaining processors that may be in use after an instance has returned. */
const MAX_USED_FRACTION = 0.6;

/**
 * Adds a spare instance while tasks wait for long, and returns one after a period without waiting
 * tasks, once its own tasks have ended. Covers bursts of large jobs without paying for the instances
 * between them.
 */
export class DemandPools extends PoolPolicy {
  private constructor() {
    super();
  }

  static create(): DemandPools {
    return new DemandPools();
  }

  override choose(load: PoolLoad): PoolMove | undefined {
    if (load.waitingTasks > 0) {
      const [instanceId] = load.spare;
      const isShort = load.waitedMs >= GROW_AFTER_MS && !load.isGrowing;
      return isShort && instanceId !== undefined ? { instanceId, direction: 'out' } : undefined;
    }
    const [leastUsed] = load.returnable;
    if (leastUsed === undefined || load.quietMs < RETURN_AFTER_MS) return undefined;
    const remainingCpuMillis = load.totalCpuMillis - leastUsed.cpuMillis;
    if (load.usedCpuMillis > remainingCpuMillis * MAX_USED_FRACTION) return undefined;
    return { instanceId: leastUsed.instanceId, direction: 'home' };
  }
}
