import type { System } from '../src/base/common/system.ts';
import type { PoolConfig } from '../src/model/configuration.ts';
import type { EntryState } from '../src/model/entryState.ts';

/** What a run does, unknown to the policies. */
export interface WorkerModelOptions {
  readonly seed: number;
  readonly stepMs: number;
  /** Time between two advances of the work; a multiple of the step. */
  readonly advanceMs: number;
  readonly pools: PoolConfig[];
  readonly workers: { id: string; zone: string; rack: string; cores: number; memoryMb: number }[];
  readonly systems: readonly System<EntryState>[];
  /** Slowdown of the first kind per unit of pressure of the second. */
  readonly computeEffect: (victim: string, aggressor: string, nowMs: number) => number;
  /** Time a stop with a checkpoint takes, for each task that stops on the worker at the same time. */
  readonly checkpointMs: number;
  /** Whether a stop takes a checkpoint first; otherwise work since the last periodic one is lost. */
  readonly hasStopCheckpoint: boolean;
  readonly periodicCheckpointMs: number;
}

/** One incarnation on a worker of the model. */
export interface ModelRun {
  readonly id: string;
  readonly taskId: string;
  readonly workerId: string;
  startsMs: number;
  stopsMs: number;
  slowdown: number;
  nextSampleMs: number;
  checkpointedMs: number;
}
