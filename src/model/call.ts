/** A call to a peer, the store or a worker that has not been answered yet. */
export interface PendingCallRow {
  readonly id: string;
  /** System that sent the call and handles the reply. */
  readonly system: string;
  /** Meaning of the call within that system. */
  readonly purpose: string;
  /** Row that the call is about. */
  readonly subject: string;
  readonly sentMs: number;
}
