/** This entry's key in the entry list. */
export interface RegistrationState {
  leaseId: string | undefined;
  /** Store version of the key; undefined while it is not registered. */
  version: number | undefined;
  /** Time of sending of the last grant or renewal that was answered. */
  renewedMs: number;
  /** Hash of the entry list; 0 while it is empty. */
  entriesDigest: number;
}

/** An agent that exchanges with this entry as its home entry. The id is the agent id. */
export interface HomeAgentRow {
  readonly id: string;
  readonly bootId: string;
  readonly seq: number;
  readonly lastExchangeMs: number;
}

/** What a peer has acknowledged of one endpoint. */
export interface SyncedEndpoint {
  readonly agentId: string;
  readonly bootId: string;
  readonly version: number;
  readonly sentMs: number;
}

/** Endpoint changes between this entry and a peer. The id is the peer's entry id. */
export interface PeerSyncRow {
  readonly id: string;
  readonly seq: number;
  readonly acknowledgedEndpoints: ReadonlyMap<string, SyncedEndpoint>;
  readonly pendingCallId: string | undefined;
  /** What the pending call carries, merged into `acknowledged` by its answer. */
  readonly pendingEndpoints: ReadonlyMap<string, SyncedEndpoint>;
  readonly pendingRemovals: readonly string[];
  /** Time at which the changes for the peer were last collected. */
  readonly lastCheckMs: number;
  readonly lastFullSyncMs: number;
  /** Last sync received from the peer; older ones of the same boot change nothing. */
  readonly receivedBootId: string;
  readonly receivedSeq: number;
}
