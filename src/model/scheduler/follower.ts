/** An entry that follows the owner and may claim the ownership, at the owner. */
export interface FollowerRow {
  /** Id of the entry, which a new process of it keeps. */
  readonly id: string;
  /** Link of the entry's latest message. */
  readonly peerId: string;
  /** When the entry first told this owner that it follows, owner's clock ms. */
  readonly followsSince: number;
  /** When the entry last told that it follows, owner's clock ms. */
  readonly heardAt: number;
  /** When the owner asked the latest question that the entry answered without the store, owner's clock ms. */
  readonly declinedAt: number;
}
