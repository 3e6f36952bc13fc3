import type { TaskRow, WorkerRow } from '../../model/scheduler/rows.ts';

/** A worker with the room that its open runs leave. */
export interface WorkerRoom {
  readonly worker: WorkerRow;
  freeCpuMillis: number;
  freeMemoryMb: number;
  freeGpus: number;
  /** Demand of the tasks that take only leftover processor time, thousandths of a core. */
  fillingCpuMillis: number;
  serving: number;
  filling: number;
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
/** Tasks that fill slow serving tasks down beside them, so the two are kept apart while there is room. */
const MIXED_PENALTY = 100;
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
  if (step.targetMs > 0) score += room.filling > 0 ? MIXED_PENALTY : 0;
  else if (step.fills) score += room.serving > 0 ? MIXED_PENALTY : 0;
  const used = identity.cpuMillis - room.freeCpuMillis + room.fillingCpuMillis;
  const load = used / Math.max(1, identity.cpuMillis);
  // Serving tasks are packed, so that few workers are closed to filling tasks.
  return step.targetMs > 0 ? score - load : score + load;
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
  if (step.targetMs > 0) room.serving += sign;
  if (step.fills) room.filling += sign;
  const key = formatStepKey(task);
  room.tasksByStep.set(key, (room.tasksByStep.get(key) ?? 0) + sign);
}
