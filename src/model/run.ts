import type { RunPhase } from './worker.ts';

/** State of one incarnation as last reported to the owner. Not stored in the ledger. */
export interface RunRow {
  /** Task id and incarnation, `task#3`. */
  readonly id: string;
  readonly taskId: string;
  readonly incarnation: number;
  readonly workerId: string;
  readonly phase: RunPhase | 'unconfirmed';
  readonly checkpoint: string | undefined;
  readonly throttle: number;
  /** End of the run's lease on the owner's clock, including the margin. */
  readonly leaseUntilMs: number;
  /** Time at which the owner created this row. */
  readonly sinceMs: number;
  /** Time at which a checkpoint of this run was last queued for the ledger. */
  readonly checkpointQueuedMs?: number;
  /** Failure message from the worker. */
  readonly message?: string;
}

/**
 * Share of full speed that the owner requests for a task. Without a row the task runs at full
 * speed.
 */
export interface ThrottleRow {
  /** Task id. */
  readonly id: string;
  readonly share: number;
  readonly sinceMs: number;
}

export function formatRunId(taskId: string, incarnation: number): string {
  return `${taskId}#${incarnation}`;
}
