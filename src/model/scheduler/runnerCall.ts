import type { EndedRun, RunningRun } from './linkMessages.ts';

/** Calls of an agent to its worker. Lease ends are times on the worker's clock, ms. */
export type RunnerCall =
  | {
      readonly op: 'hold';
      readonly fence: number;
      /** End of the lease of all runs; a lease is never shortened. */
      readonly leaseUntilMs?: number;
      /** Acknowledges ends up to this number; the worker removes them. */
      readonly lastSeen: number;
      /** How long the worker may delay the answer until a run ends, whole ms. */
      readonly waitMs: number;
    }
  | {
      readonly op: 'start';
      readonly task: string;
      readonly run: number;
      readonly payload: string;
      readonly leaseUntilMs: number;
      readonly fence: number;
      readonly checkpoint: string;
      readonly ticket: string;
    }
  | { readonly op: 'stop'; readonly task: string; readonly run: number; readonly fence: number }
  | {
      readonly op: 'pace';
      readonly task: string;
      readonly run: number;
      readonly percent: number;
      readonly fence: number;
    };

export type RunnerReply =
  | {
      readonly kind: 'lists';
      readonly clockMs: number;
      readonly bornMs: number | undefined;
      readonly running: readonly RunningRun[];
      readonly ended: readonly EndedRun[];
      /** Whether the lists contain every unacknowledged end. */
      readonly isComplete: boolean;
    }
  | { readonly kind: 'done'; readonly clockMs: number }
  /** The worker rejected the command; the reason is `fence`, `old`, `late`, `room` or `ticket`. */
  | { readonly kind: 'rejected'; readonly reason: string }
  /** The worker answered that it did not execute the call. */
  | { readonly kind: 'refused'; readonly message: string }
  /** No connection could be opened, so the call was not executed. */
  | { readonly kind: 'unreachable'; readonly message: string }
  /** An incarnation other than the addressed one answered. */
  | { readonly kind: 'otherIncarnation' }
  /** No answer: the call may have been executed, or may be executed later. */
  | { readonly kind: 'noAnswer'; readonly message: string };
