/** A silent worker whose runs count as running until their lease has certainly ended. */
export interface LeaseWaitRow {
  /** Incarnation of the worker, `AGENT|WORKER|BORN`. */
  readonly id: string;
  /** When the owner last received the worker's lists, or loaded its tables, owner's clock ms. */
  readonly silentSince: number;
  /** Time until which the lease may last, owner's clock ms. */
  readonly endsAt: number;
  /** Who may have granted the lease last. */
  readonly grantedBy: 'thisOwner' | 'earlierOwner';
}
