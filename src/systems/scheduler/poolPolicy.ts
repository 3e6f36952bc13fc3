/** What a pool has and needs. */
export interface PoolLoad {
  readonly pool: string;
  /** Tasks that have found no room, and how long the first of them has waited, ms. */
  readonly waitingTasks: number;
  readonly waitedMs: number;
  /** Time since a task last waited for room, ms. */
  readonly quietMs: number;
  /** Processors that open runs hold, and those of all workers, thousandths of a core. */
  readonly usedCpuMillis: number;
  readonly totalCpuMillis: number;
  /** Whether an instance is on its way to the pool or has not reported there. */
  readonly isGrowing: boolean;
  /** Spare instances that may be moved to it. */
  readonly spare: readonly string[];
  /** Instances of spare pools without tasks that last, the least used first, with their processors. */
  readonly returnable: readonly { readonly instanceId: string; readonly cpuMillis: number }[];
}

export interface PoolMove {
  readonly instanceId: string;
  readonly heading: 'out' | 'home';
}

/** Decides which instances move between spare pools and the pools in use. */
export abstract class PoolPolicy {
  /** At most one move a pool and look. */
  abstract choose(load: PoolLoad): PoolMove | undefined;
}

/** The baseline: every pool keeps its instances. */
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

/** Wait of a task that room on the present workers does not end; most tasks run for shorter. */
const GROW_AFTER_MS = 2_000;
/** A move and the start of a worker take seconds, so an instance goes back only after a longer lull. */
const RETURN_AFTER_MS = 15_000;
/** Part of the remaining processors that may be in use after an instance has gone back. */
const MAX_USED_FRACTION = 0.6;

/**
 * Adds a spare instance while tasks wait for long, and returns one after a lull once its tasks have ended. Answers waves
 * of large jobs without paying for the instances between them.
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
      return isShort && instanceId !== undefined ? { instanceId, heading: 'out' } : undefined;
    }
    const [leastUsed] = load.returnable;
    if (leastUsed === undefined || load.quietMs < RETURN_AFTER_MS) return undefined;
    const remainingCpuMillis = load.totalCpuMillis - leastUsed.cpuMillis;
    if (load.usedCpuMillis > remainingCpuMillis * MAX_USED_FRACTION) return undefined;
    return { instanceId: leastUsed.instanceId, heading: 'home' };
  }
}
