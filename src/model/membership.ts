/** Registration of this entry in the entry list. */
export interface RegistrationState {
  leaseId: string | undefined;
  /** Store version of the entry's key; undefined while it is not registered. */
  version: number | undefined;
  /** Send time of the last grant or renewal that the store confirmed. */
  renewedMs: number;
  /** Hash of the entry list; 0 while it is empty. */
  entriesDigest: number;
}

/** An agent whose home entry is this entry. The id is the agent id. */
export interface HomeAgentRow {
  readonly id: string;
  readonly bootId: string;
  readonly seq: number;
  readonly lastExchangeMs: number;
}

/** Version of an endpoint that a peer has acknowledged. */
export interface SyncedEndpoint {
  readonly agentId: string;
  readonly bootId: string;
  readonly version: number;
  readonly sentMs: number;
}

/** State of the endpoint sync between this entry and a peer. The id is the peer's entry id. */
export interface PeerSyncRow {
  readonly id: string;
  readonly seq: number;
  readonly acknowledgedEndpoints: ReadonlyMap<string, SyncedEndpoint>;
  readonly pendingCallId: string | undefined;
  /** Endpoints in the pending call; its reply merges them into `acknowledgedEndpoints`. */
  readonly pendingEndpoints: ReadonlyMap<string, SyncedEndpoint>;
  readonly pendingRemovals: readonly string[];
  /** Time at which the changes for the peer were last collected. */
  readonly lastCheckMs: number;
  readonly lastFullSyncMs: number;
  /**
   * Boot and sequence number of the last sync from the peer; older ones of the boot are ignored.
   */
  readonly receivedBootId: string;
  readonly receivedSeq: number;
}
