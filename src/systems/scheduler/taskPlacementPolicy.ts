import type { TaskRow, WorkerRow } from '../../model/scheduler/rows.ts';
import { formatStepKey } from '../../model/scheduler/rows.ts';

/** Estimates of the slack of serving images and of the slack that best-effort images cost them. */
export interface SlackEstimates {
  getBaseSlack(servingImage: string): number;
  getCost(servingImage: string, bestEffortImage: string): number;
}

/** A worker with the capacity that its open runs leave. */
export interface WorkerCapacity {
  readonly worker: WorkerRow;
  freeCpuMillis: number;
  freeMemoryMb: number;
  freeGpus: number;
  /** Reserved by serving tasks, thousandths of a core. */
  servingCpuMillis: number;
  /**
   * Processor demand of the best-effort tasks, which use only spare processor time, thousandths of
   * a core, and the number of these tasks.
   */
  bestEffortCpuMillis: number;
  bestEffort: number;
  /** Whether a serving task exceeds its target now, or best-effort tasks are throttled for one. */
  isUnderPressure: boolean;
  /** Least expected slack by serving image: latency target over tail latency. */
  readonly expectedSlacks: Map<string, number>;
  /** Least slack by serving image in the latest report. */
  readonly reportedSlacks: Map<string, number>;
  readonly bestEffortByImage: Map<string, number>;
  readonly slackEstimates: SlackEstimates;
  /** Open runs by `JOB.K.STEP`. */
  readonly tasksByStep: Map<string, number>;
}

/** Chooses a worker for a task among those with capacity, under ordinary load and in bursts. */
export abstract class TaskPlacementPolicy {
  abstract choose(task: TaskRow, capacities: readonly WorkerCapacity[]): WorkerCapacity | undefined;
}

/** Baseline: the first worker with capacity. */
export class FirstFitTaskPlacement extends TaskPlacementPolicy {
  private constructor() {
    super();
  }

  static create(): FirstFitTaskPlacement {
    return new FirstFitTaskPlacement();
  }

  override choose(
    task: TaskRow,
    capacities: readonly WorkerCapacity[],
  ): WorkerCapacity | undefined {
    return capacities.find((capacity) => canRun(capacity, task));
  }
}

/** Moving a failed task to another worker outweighs every other criterion. */
const AVOIDED_PENALTY = 1_000;
/** Expected slack below which a serving task may exceed its target when its load changes. */
const SAFE_SLACK = 1.8;
/** Weight of missing slack relative to the load of a worker, both as fractions. */
const SLACK_WEIGHT = 3;
/** Weight of a worker's load that attracts further serving tasks. */
const PACKING_WEIGHT = 6;
/**
 * Best-effort tasks share the spare processors, so a worker without spare processors slows them
 * all.
 */
const OVERLOAD_WEIGHT = 2;
/** A worker whose best-effort tasks are throttled now cannot use more of them. */
const PRESSURE_PENALTY = 20;
/** Work away from its data takes at least half as long again. */
const REMOTE_DATA_PENALTY = 50;
const FAILURE_PENALTY = 5;
/**
 * Expected slack of serving tasks below which a worker takes no more best-effort tasks: for a task
 * without cost, the addition per unit of its cost, and the maximum. Delaying a task of little cost
 * has no benefit; see docs/decisions/filling-tasks.md.
 */
const REQUIRED_SLACK_BASE = 1.2;
const REQUIRED_SLACK_PER_COST = 2.5;
const REQUIRED_SLACK_MAX = 2.6;
/**
 * Fraction of their reserved processors that serving tasks leave unused. Best-effort tasks keep
 * their speed until they and the whole reservation reach 1.5 times the worker.
 */
const SERVING_IDLE_FRACTION = 0.5;
/** Consecutive failed runs that a healthy worker may have; runs also fail because of their task. */
export const TOLERATED_FAILURES = 2;

/**
 * Keeps best-effort tasks off the workers of serving tasks and work near its data, and spreads the
 * rest by load, so that bursts of large jobs find capacity and best-effort tasks find idle
 * processors.
 */
export class SeparatingTaskPlacement extends TaskPlacementPolicy {
  private constructor() {
    super();
  }

  static create(): SeparatingTaskPlacement {
    return new SeparatingTaskPlacement();
  }

  override choose(
    task: TaskRow,
    capacities: readonly WorkerCapacity[],
  ): WorkerCapacity | undefined {
    let best: WorkerCapacity | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const capacity of capacities) {
      if (!canRun(capacity, task)) continue;
      const score = computeScore(capacity, task);
      if (score < bestScore) {
        best = capacity;
        bestScore = score;
      }
    }
    return best;
  }
}

/**
 * Delays best-effort tasks while the serving tasks of every worker would come near their targets.
 * In a burst of large jobs the first ones then finish, instead of all jobs slowing down each other
 * and the serving tasks.
 */
export class SlackLimitedTaskPlacement extends TaskPlacementPolicy {
  private constructor(private readonly inner: TaskPlacementPolicy) {
    super();
  }

  static create(inner: TaskPlacementPolicy): SlackLimitedTaskPlacement {
    return new SlackLimitedTaskPlacement(inner);
  }

  override choose(
    task: TaskRow,
    capacities: readonly WorkerCapacity[],
  ): WorkerCapacity | undefined {
    // A long-running task has no end to wait for and must be available again within seconds.
    if (!task.step.fills || task.step.longRunning) return this.inner.choose(task, capacities);
    return this.inner.choose(
      task,
      capacities.filter(
        (capacity) =>
          !capacity.isUnderPressure &&
          estimateSlackWith(capacity, task) >= computeRequiredSlack(capacity, task),
      ),
    );
  }
}

/**
 * Delays best-effort tasks while the placed ones request all spare processors, so that large jobs
 * finish one after the other instead of all of them late.
 */
export class CpuLimitedTaskPlacement extends TaskPlacementPolicy {
  private constructor(private readonly inner: TaskPlacementPolicy) {
    super();
  }

  static create(inner: TaskPlacementPolicy): CpuLimitedTaskPlacement {
    return new CpuLimitedTaskPlacement(inner);
  }

  override choose(
    task: TaskRow,
    capacities: readonly WorkerCapacity[],
  ): WorkerCapacity | undefined {
    if (!task.step.fills || task.step.longRunning) return this.inner.choose(task, capacities);
    return this.inner.choose(
      task,
      capacities.filter((capacity) => hasCpuFor(capacity, task)),
    );
  }
}

/**
 * Whether the best-effort tasks of a worker get the processors they request with the task added.
 */
function hasCpuFor(free: WorkerCapacity, { step }: TaskRow): boolean {
  return free.bestEffort === 0 || free.bestEffortCpuMillis + step.cpuMillis <= getSpareCpu(free);
}

/**
 * Returns the processors that batch and serving tasks leave to best-effort tasks, thousandths of a
 * core.
 */
export function getSpareCpu(capacity: WorkerCapacity): number {
  return capacity.freeCpuMillis + SERVING_IDLE_FRACTION * capacity.servingCpuMillis;
}

/** Computes the slack that the serving tasks of a worker must retain beside the task. */
function computeRequiredSlack(capacity: WorkerCapacity, { step }: TaskRow): number {
  let cost = 0;
  for (const serving of capacity.expectedSlacks.keys())
    cost = Math.max(cost, capacity.slackEstimates.getCost(serving, step.image));
  return Math.min(REQUIRED_SLACK_MAX, REQUIRED_SLACK_BASE + REQUIRED_SLACK_PER_COST * cost);
}

function computeScore(capacity: WorkerCapacity, task: TaskRow): number {
  const { identity, backoff } = capacity.worker;
  const { step } = task;
  let score = FAILURE_PENALTY * Math.max(0, backoff.failures - TOLERATED_FAILURES);
  if (task.avoidedWorkerIds.includes(identity.id)) score += AVOIDED_PENALTY;
  if (step.nearRack !== '' && !identity.labels.includes(step.nearRack))
    score += REMOTE_DATA_PENALTY;
  if (step.fills && capacity.isUnderPressure) score += PRESSURE_PENALTY;
  if (step.targetMs > 0 || step.fills)
    score += SLACK_WEIGHT * Math.max(0, SAFE_SLACK - estimateSlackWith(capacity, task));
  const used = identity.cpuMillis - capacity.freeCpuMillis + capacity.bestEffortCpuMillis;
  const load = used / Math.max(1, identity.cpuMillis);
  // Serving tasks are packed onto few workers, so that the others run only best-effort tasks.
  if (step.targetMs > 0) return score - PACKING_WEIGHT * load;
  return score + load + OVERLOAD_WEIGHT * Math.max(0, load - 1);
}

/** Estimates the least slack of a serving task of the worker with the task added. */
export function estimateSlackWith(capacity: WorkerCapacity, { step }: TaskRow): number {
  if (step.targetMs > 0) {
    let slack = capacity.slackEstimates.getBaseSlack(step.image);
    for (const [image, count] of capacity.bestEffortByImage)
      slack -= count * capacity.slackEstimates.getCost(step.image, image);
    return slack;
  }
  let leastSlack = Number.POSITIVE_INFINITY;
  for (const [image, slack] of capacity.expectedSlacks)
    leastSlack = Math.min(leastSlack, slack - capacity.slackEstimates.getCost(image, step.image));
  return leastSlack;
}

/** Whether the worker has the label, the capacity and fewer tasks of the step than it may have. */
export function canRun(capacity: WorkerCapacity, task: TaskRow): boolean {
  const { step } = task;
  if (!step.fills && step.cpuMillis > capacity.freeCpuMillis) return false;
  if (step.memoryMb > capacity.freeMemoryMb || step.gpus > capacity.freeGpus) return false;
  if (step.requiredLabel !== '' && !capacity.worker.identity.labels.includes(step.requiredLabel))
    return false;
  const placed = capacity.tasksByStep.get(formatStepKey(task)) ?? 0;
  return step.maxPerWorker === 0 || placed < step.maxPerWorker;
}

/** Reserves the capacity of a task, or releases it with -1. */
export function reserveCapacity(capacity: WorkerCapacity, task: TaskRow, sign: 1 | -1 = 1): void {
  const { step } = task;
  if (step.fills) capacity.bestEffortCpuMillis += sign * step.cpuMillis;
  else capacity.freeCpuMillis -= sign * step.cpuMillis;
  if (step.targetMs > 0) capacity.servingCpuMillis += sign * step.cpuMillis;
  capacity.freeMemoryMb -= sign * step.memoryMb;
  capacity.freeGpus -= sign * step.gpus;
  if (step.fills) addBestEffort(capacity, step.image, sign);
  if (step.targetMs > 0 && sign === 1 && !capacity.expectedSlacks.has(step.image))
    capacity.expectedSlacks.set(step.image, estimateSlackWith(capacity, task));
  const key = formatStepKey(task);
  capacity.tasksByStep.set(key, (capacity.tasksByStep.get(key) ?? 0) + sign);
}

function addBestEffort(capacity: WorkerCapacity, image: string, sign: 1 | -1): void {
  capacity.bestEffort += sign;
  capacity.bestEffortByImage.set(image, (capacity.bestEffortByImage.get(image) ?? 0) + sign);
  for (const [serving, slack] of capacity.expectedSlacks)
    capacity.expectedSlacks.set(
      serving,
      slack - sign * capacity.slackEstimates.getCost(serving, image),
    );
}
