import type { TaskRow, WorkerRow } from '../../model/scheduler/rows.ts';
import { formatStepKey } from '../../model/scheduler/rows.ts';

/** What is known of the slack of serving images, and of what filling images take of it. */
export interface SlackEstimates {
  getBaseSlack(servingImage: string): number;
  getCost(servingImage: string, bestEffortImage: string): number;
}

/** A worker with the room that its open runs leave. */
export interface WorkerCapacity {
  readonly worker: WorkerRow;
  freeCpuMillis: number;
  freeMemoryMb: number;
  freeGpus: number;
  /** Reserved by serving tasks, thousandths of a core. */
  servingCpuMillis: number;
  /** Demand of the tasks that take only leftover processor time, thousandths of a core. */
  bestEffortCpuMillis: number;
  bestEffort: number;
  /** Whether a serving task is over its target now, or filling tasks are slowed for one. */
  isUnderPressure: boolean;
  /** Least expected slack of each serving image here: latency target over tail latency. */
  readonly expectedSlacks: Map<string, number>;
  /** Least slack by the latest report. */
  readonly reportedSlacks: Map<string, number>;
  readonly bestEffortImages: Map<string, number>;
  readonly slackEstimates: SlackEstimates;
  /** Open runs by `JOB.K.STEP`. */
  readonly tasksByStep: Map<string, number>;
}

/** Chooses a worker for a task among those with room. Answers ordinary load and bursts alike. */
export abstract class TaskPlacementPolicy {
  abstract choose(task: TaskRow, capacities: readonly WorkerCapacity[]): WorkerCapacity | undefined;
}

/** The baseline: the first worker with room. */
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

/** A run that failed elsewhere should try another worker before anything else is weighed. */
const AVOIDED_PENALTY = 1_000;
/** Expected slack below which a serving task may go over its target when its load swings. */
const SAFE_SLACK = 1.8;
/** Weight of missing slack against the load of a worker, both in parts. */
const SLACK_WEIGHT = 3;
/** Weight of a worker's load in favour of more serving tasks there. */
const PACKING_WEIGHT = 6;
/** Filling tasks share what is left, so a worker without processors left slows all of them. */
const OVERLOAD_WEIGHT = 2;
/** A worker whose filling tasks are slowed now has no use for more of them. */
const PRESSURE_PENALTY = 20;
/** Work away from its data takes half as long again or more. */
const REMOTE_DATA_PENALTY = 50;
const FAILURE_PENALTY = 5;
/**
 * Expected slack of serving tasks below which a worker takes no more filling tasks: for a task that
 * costs them nothing, how much more for each unit of its cost, and at most. Holding a task back that
 * costs little helps nobody; docs/decisions/filling-tasks.md has the trials.
 */
const REQUIRED_SLACK_BASE = 1.2;
const REQUIRED_SLACK_PER_COST = 2.5;
const REQUIRED_SLACK_MAX = 2.6;
/**
 * Part of their reserved processors that serving tasks leave unused; in a trace of hanbit-sched scale-1 filling
 * tasks kept their speed until they and the whole reservation came to 1.5 times the worker.
 */
const SERVING_IDLE_FRACTION = 0.5;
/** Failed runs in a row that a sound worker may have; tasks fail by their own fault now and then. */
export const TOLERATED_FAILURES = 2;

/**
 * Keeps filling tasks off the workers of serving tasks, work near its data, and spreads the rest by
 * load, so that bursts of large jobs find room and filling tasks find idle processors.
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
 * Keeps filling tasks waiting while every worker's serving tasks would come near their targets. In
 * a burst of large jobs the first ones then finish, instead of all of them slowing each other and the
 * serving tasks.
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
    // A task that lasts has no end to wait for and has to be back within seconds.
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
 * Keeps filling tasks waiting while the ones placed ask for all the processors that are left, so that
 * one large job after the other finishes instead of all of them late.
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

/** Whether the filling tasks of a worker still get what they ask for once the task is there too. */
function hasCpuFor(free: WorkerCapacity, { step }: TaskRow): boolean {
  return free.bestEffort === 0 || free.bestEffortCpuMillis + step.cpuMillis <= getSpareCpu(free);
}

/** Processors that batch and serving tasks leave to the filling ones, thousandths of a core. */
export function getSpareCpu(capacity: WorkerCapacity): number {
  return capacity.freeCpuMillis + SERVING_IDLE_FRACTION * capacity.servingCpuMillis;
}

/** Slack that the serving tasks of a worker have to keep beside the task. */
function computeRequiredSlack(capacity: WorkerCapacity, { step }: TaskRow): number {
  let cost = 0;
  for (const serving of capacity.expectedSlacks.keys())
    cost = Math.max(cost, capacity.slackEstimates.getCost(serving, step.image));
  return Math.min(REQUIRED_SLACK_MAX, REQUIRED_SLACK_BASE + REQUIRED_SLACK_PER_COST * cost);
}

function computeScore(capacity: WorkerCapacity, task: TaskRow): number {
  const { identity, recentFailures } = capacity.worker;
  const { step } = task;
  let score = FAILURE_PENALTY * Math.max(0, recentFailures - TOLERATED_FAILURES);
  if (task.avoided.includes(identity.id)) score += AVOIDED_PENALTY;
  if (step.nearRack !== '' && !identity.labels.includes(step.nearRack))
    score += REMOTE_DATA_PENALTY;
  if (step.fills && capacity.isUnderPressure) score += PRESSURE_PENALTY;
  if (step.targetMs > 0 || step.fills)
    score += SLACK_WEIGHT * Math.max(0, SAFE_SLACK - estimateSlackWith(capacity, task));
  const used = identity.cpuMillis - capacity.freeCpuMillis + capacity.bestEffortCpuMillis;
  const load = used / Math.max(1, identity.cpuMillis);
  // Serving tasks fill up one worker after the other, so that others are left to filling tasks alone.
  if (step.targetMs > 0) return score - PACKING_WEIGHT * load;
  return score + load + OVERLOAD_WEIGHT * Math.max(0, load - 1);
}

/** Least expected slack of a serving task of the worker once the task is there too. */
export function estimateSlackWith(capacity: WorkerCapacity, { step }: TaskRow): number {
  if (step.targetMs > 0) {
    let slack = capacity.slackEstimates.getBaseSlack(step.image);
    for (const [image, count] of capacity.bestEffortImages)
      slack -= count * capacity.slackEstimates.getCost(step.image, image);
    return slack;
  }
  let leastSlack = Number.POSITIVE_INFINITY;
  for (const [image, slack] of capacity.expectedSlacks)
    leastSlack = Math.min(leastSlack, slack - capacity.slackEstimates.getCost(image, step.image));
  return leastSlack;
}

/** Whether the worker has the label, the room and a free place of the step. */
export function canRun(capacity: WorkerCapacity, task: TaskRow): boolean {
  const { step } = task;
  if (!step.fills && step.cpuMillis > capacity.freeCpuMillis) return false;
  if (step.memoryMb > capacity.freeMemoryMb || step.gpus > capacity.freeGpus) return false;
  if (step.requiredLabel !== '' && !capacity.worker.identity.labels.includes(step.requiredLabel))
    return false;
  const placed = capacity.tasksByStep.get(formatStepKey(task)) ?? 0;
  return step.maxPerWorker === 0 || placed < step.maxPerWorker;
}

/** Takes the room of a task, or with -1 gives it back. */
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
  capacity.bestEffortImages.set(image, (capacity.bestEffortImages.get(image) ?? 0) + sign);
  for (const [serving, slack] of capacity.expectedSlacks)
    capacity.expectedSlacks.set(
      serving,
      slack - sign * capacity.slackEstimates.getCost(serving, image),
    );
}
