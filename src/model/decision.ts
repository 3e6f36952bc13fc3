import type { ErrorKind } from '../base/common/errors.ts';

/** A decision and its reason, recorded so that `explain` is a look-up. */
export interface DecisionRow {
  readonly id: string;
  /** Id of the task, job, request, worker or zone that the decision concerns. */
  readonly subject: string;
  readonly action: string;
  readonly reason: string;
  /** Process time in milliseconds. */
  readonly atMs: number;
}

/** Why the last placement attempt did not assign a queued task. The id is the task id. */
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
