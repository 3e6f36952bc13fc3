import type { RunPhase } from './worker.ts';

/** One incarnation as the owner last heard of it. Not kept in the ledger. */
export interface RunRow {
  /** Task id and incarnation, `task#3`. */
  readonly id: string;
  readonly taskId: string;
  readonly incarnation: number;
  readonly workerId: string;
  readonly phase: RunPhase | 'unconfirmed';
  readonly checkpoint: string | undefined;
  readonly throttle: number;
  /** Owner's time until which the worker may run it; includes the margin. */
  readonly leaseUntilMs: number;
  /** Time at which the owner first knew of it. */
  readonly sinceMs: number;
  /** Time at which a checkpoint of this run was last queued for the ledger. */
  readonly checkpointQueuedMs?: number;
  /** What the worker said about a run that failed. */
  readonly message?: string;
}

/** Share of full speed that the owner wants for a task. Absent means full speed. */
export interface ThrottleRow {
  /** Task id. */
  readonly id: string;
  readonly share: number;
  readonly sinceMs: number;
}

export function formatRunId(taskId: string, incarnation: number): string {
  return `${taskId}#${incarnation}`;
}
