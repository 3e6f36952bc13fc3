import type { TaskRow, WorkerRow } from '../../model/scheduler/rows.ts';

/** What is known of the effect of filling images on serving ones, in parts of the latency target. */
export interface PairPressures {
  getBase(servingImage: string): number;
  getPair(servingImage: string, fillingImage: string): number;
}

/** A worker with the room that its open runs leave. */
export interface WorkerRoom {
  readonly worker: WorkerRow;
  freeCpuMillis: number;
  freeMemoryMb: number;
  freeGpus: number;
  /** Demand of the tasks that take only leftover processor time, thousandths of a core. */
  fillingCpuMillis: number;
  filling: number;
  /** Whether a serving task is over its target now, or filling tasks are slowed for one. */
  isPressed: boolean;
  /** Expected tail latency of each serving image here, relative to its target. */
  readonly pressures: Map<string, number>;
  readonly fillingImages: Map<string, number>;
  readonly pairs: PairPressures;
  /** Open runs by `JOB.K.STEP`. */
  readonly tasksByStep: Map<string, number>;
}

/** Chooses a worker for a task among those with room. Answers ordinary load and bursts alike. */
export abstract class TaskPlacementPolicy {
  abstract choose(task: TaskRow, rooms: readonly WorkerRoom[]): WorkerRoom | undefined;
}

/** The baseline: the first worker with room. */
export class FirstFitTaskPlacement extends TaskPlacementPolicy {
  private constructor() {
    super();
  }

  static create(): FirstFitTaskPlacement {
    return new FirstFitTaskPlacement();
  }

  override choose(task: TaskRow, rooms: readonly WorkerRoom[]): WorkerRoom | undefined {
    return rooms.find((room) => canHold(room, task));
  }
}

/** A run that failed elsewhere should try another worker before anything else is weighed. */
const AVOIDED_PENALTY = 1_000;
/** Expected share of a latency target from which a serving task may go over it now and then. */
const SAFE_PRESSURE = 0.6;
/** Weight of the expected pressure against the load of a worker, both in parts of their limits. */
const PRESSURE_WEIGHT = 4;
/** A worker whose filling tasks are slowed now has no use for more of them. */
const PRESSED_PENALTY = 20;
/** Beside serving tasks at all; pressures change with their load, within seconds. */
const MIXED_PENALTY = 0.5;
/** A worker with serving tasks is better for more of them than one that could take filling tasks. */
const PACKING_BONUS = 2;
/** Work away from its data takes half as long again or more. */
const FAR_PENALTY = 50;
const FAILURE_PENALTY = 5;

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

  override choose(task: TaskRow, rooms: readonly WorkerRoom[]): WorkerRoom | undefined {
    let best: WorkerRoom | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const room of rooms) {
      if (!canHold(room, task)) continue;
      const score = computeScore(room, task);
      if (score < bestScore) {
        best = room;
        bestScore = score;
      }
    }
    return best;
  }
}

function computeScore(room: WorkerRoom, task: TaskRow): number {
  const { identity, recentFailures } = room.worker;
  const { step } = task;
  let score = FAILURE_PENALTY * recentFailures;
  if (task.avoided.includes(identity.id)) score += AVOIDED_PENALTY;
  if (step.nearRack !== '' && !identity.labels.includes(step.nearRack)) score += FAR_PENALTY;
  if (step.fills && room.isPressed) score += PRESSED_PENALTY;
  if (step.fills && room.pressures.size > 0) score += MIXED_PENALTY;
  if (step.targetMs > 0 || step.fills)
    score += PRESSURE_WEIGHT * Math.max(0, estimateWorst(room, task) - SAFE_PRESSURE);
  const used = identity.cpuMillis - room.freeCpuMillis + room.fillingCpuMillis;
  const load = used / Math.max(1, identity.cpuMillis);
  if (step.targetMs > 0 && room.pressures.size > 0) return score + load - PACKING_BONUS;
  return score + load;
}

/** Highest expected pressure on a serving task of the worker once the task is there too. */
export function estimateWorst(room: WorkerRoom, { step }: TaskRow): number {
  if (step.targetMs > 0) {
    let pressure = room.pairs.getBase(step.image);
    for (const [image, count] of room.fillingImages)
      pressure += count * room.pairs.getPair(step.image, image);
    return pressure;
  }
  let worst = 0;
  for (const [image, pressure] of room.pressures)
    worst = Math.max(worst, pressure + room.pairs.getPair(image, step.image));
  return worst;
}

/** Whether the worker has the label, the room and a free place of the step. */
export function canHold(room: WorkerRoom, task: TaskRow): boolean {
  const { step } = task;
  if (!step.fills && step.cpuMillis > room.freeCpuMillis) return false;
  if (step.memoryMb > room.freeMemoryMb || step.gpus > room.freeGpus) return false;
  if (step.requiredLabel !== '' && !room.worker.identity.labels.includes(step.requiredLabel))
    return false;
  const placed = room.tasksByStep.get(formatStepKey(task)) ?? 0;
  return step.maxPerWorker === 0 || placed < step.maxPerWorker;
}

export function formatStepKey(task: TaskRow): string {
  return `${task.jobId}.${task.occurrence}.${task.stepIndex}`;
}

/** Takes the room of a task, or with -1 gives it back. */
export function takeRoom(room: WorkerRoom, task: TaskRow, sign: 1 | -1 = 1): void {
  const { step } = task;
  if (step.fills) room.fillingCpuMillis += sign * step.cpuMillis;
  else room.freeCpuMillis -= sign * step.cpuMillis;
  room.freeMemoryMb -= sign * step.memoryMb;
  room.freeGpus -= sign * step.gpus;
  if (step.fills) addFilling(room, step.image, sign);
  if (step.targetMs > 0 && sign === 1 && !room.pressures.has(step.image))
    room.pressures.set(step.image, estimateWorst(room, task));
  const key = formatStepKey(task);
  room.tasksByStep.set(key, (room.tasksByStep.get(key) ?? 0) + sign);
}

function addFilling(room: WorkerRoom, image: string, sign: 1 | -1): void {
  room.filling += sign;
  room.fillingImages.set(image, (room.fillingImages.get(image) ?? 0) + sign);
  for (const [serving, pressure] of room.pressures)
    room.pressures.set(serving, pressure + sign * room.pairs.getPair(serving, image));
}
