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
