import type { ErrorKind } from '../base/common/errors.ts';

/** A decision and its reason, kept so that `explain` is a look-up. */
export interface DecisionRow {
  readonly id: string;
  /** What the decision is about: a task, job, request, worker or zone id. */
  readonly subject: string;
  readonly action: string;
  readonly reason: string;
  /** Process time in milliseconds. */
  readonly atMs: number;
}

/** Why a queued task has not been assigned, as of the last try. The id is the task id. */
export interface WaitRow {
  readonly id: string;
  readonly reason: string;
}

/** Why a request was refused. The id is the request id. */
export interface RefusalRow {
  readonly id: string;
  readonly kind: ErrorKind;
  readonly message: string;
}
