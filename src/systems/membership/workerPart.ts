import type { WorkerReport } from '../../model/worker.ts';

/** What an exchange with the owner of the worker's shard carries. */
export interface WorkerPart {
  readonly epoch: number;
  readonly worker: WorkerReport | undefined;
}

/** The worker's part of an exchange. There is none until the worker systems report. */
export function buildWorkerPart(): WorkerPart {
  return { epoch: 0, worker: undefined };
}
