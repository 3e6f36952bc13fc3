/** A call to a peer, the store or a worker that awaits its reply. */
export interface PendingCallRow {
  readonly id: string;
  /** Name of the system that sent the call and handles the reply. */
  readonly system: string;
  /** Kind of the call within that system. */
  readonly purpose: string;
  /** Id of the row that the call refers to. */
  readonly subject: string;
  readonly sentMs: number;
}
