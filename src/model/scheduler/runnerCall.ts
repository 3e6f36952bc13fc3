import type { EndedRun, RunningRun } from './linkMessages.ts';

/** Calls to the worker beside an agent. Lease ends are times on the worker's clock, ms. */
export type RunnerCall =
  | {
      readonly op: 'hold';
      readonly fence: number;
      /** Lease of everything that runs; a lease is never shortened. */
      readonly leaseUntilMs?: number;
      /** Ends up to this number are forgotten. */
      readonly lastSeen: number;
      /** How long the answer may wait for an end, whole ms. */
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
      /** Whether every end that is not acknowledged is listed. */
      readonly isComplete: boolean;
    }
  | { readonly kind: 'done'; readonly clockMs: number }
  /** The worker refused the order for a reason: `fence`, `old`, `late`, `room` or `ticket`. */
  | { readonly kind: 'rejected'; readonly reason: string }
  /** The worker answered that it did nothing. */
  | { readonly kind: 'refused'; readonly message: string }
  /** No connection could be made, so nothing was done. */
  | { readonly kind: 'unreachable'; readonly message: string }
  /** Another incarnation than the addressed one answered. */
  | { readonly kind: 'otherIncarnation' }
  /** No answer: the call may have been carried out, or may be carried out later. */
  | { readonly kind: 'noAnswer'; readonly message: string };
