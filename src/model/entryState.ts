import { Counters } from '../base/common/counters.ts';
import type { LoopState } from '../base/common/loop.ts';
import { Mailbox } from '../base/common/mailbox.ts';
import { Table } from '../base/common/table.ts';
import type { PendingCallRow } from './call.ts';
import type { ConfigWriteRow } from './configWrite.ts';
import type { Configuration } from './configuration.ts';
import { EMPTY_CONFIGURATION } from './configuration.ts';
import type { DecisionRow, RefusalRow, WaitRow } from './decision.ts';
import type { EntryArrival, EntryEffect } from './effects.ts';
import type { EntryInfo } from './exchange.ts';
import type { ExchangeTables } from './exchangeTables.ts';
import { createExchangeTables } from './exchangeTables.ts';
import type { HomeAgentRow, PeerSyncRow, RegistrationState } from './membership.ts';
import type { PlacementState } from './placement.ts';
import { createPlacementState } from './placement.ts';
import type { RequestTables } from './requestTables.ts';
import { createRequestTables } from './requestTables.ts';
import type { TaskTables } from './taskTables.ts';
import { createTaskTables } from './taskTables.ts';

/** An entry of the entry list, including this one. */
export interface EntryRow extends EntryInfo {
  /** Time of the last reply or call received from it. */
  readonly lastHeardMs: number;
}

/** The configuration in force and when the store last confirmed it. */
export interface ConfigurationState {
  current: Configuration;
  /** Store version of `current`; 0 when it was not read from the store. */
  version: number;
  /** Send time of the last store read that confirmed `current`; undefined before the first one. */
  confirmedSentMs: number | undefined;
}

/** Identity and lifecycle phase of this process. */
export interface EntrySelf {
  readonly info: EntryInfo;
  readonly bootId: string;
  phase: 'starting' | 'serving' | 'leaving' | 'stopped';
  /** Entry addresses from the settings; sources of the configuration while the store is down. */
  readonly peerAddresses: readonly string[];
  /** Timeout of a graceful shutdown, in milliseconds. */
  readonly stopBoundMs: number;
  /** Time of the stop request; undefined before it. */
  stopRequestedMs: number | undefined;
  /** Whether the front, the listener for callers, is closed. */
  isFrontClosed: boolean;
}

/** All state of an entry. */
export interface EntryState
  extends LoopState<EntryArrival, EntryEffect>, RequestTables, TaskTables, ExchangeTables {
  readonly self: EntrySelf;
  readonly counters: Counters;
  readonly decisions: Table<DecisionRow>;
  readonly waits: Table<WaitRow>;
  readonly refusals: Table<RefusalRow>;
  nextDecisionId: number;
  readonly calls: Table<PendingCallRow>;
  readonly configuration: ConfigurationState;
  readonly configWrites: Table<ConfigWriteRow>;
  readonly registration: RegistrationState;
  readonly homeAgents: Table<HomeAgentRow>;
  readonly peerSyncs: Table<PeerSyncRow>;
  readonly entries: Table<EntryRow>;
  readonly placement: PlacementState;
}

/** Settings that systems use. */
export type EntryOptions = Pick<EntrySelf, 'peerAddresses' | 'stopBoundMs'>;

const DEFAULT_OPTIONS: EntryOptions = { peerAddresses: [], stopBoundMs: 30_000 };

export function createEntryState(
  info: EntryInfo,
  bootId: string,
  options: EntryOptions = DEFAULT_OPTIONS,
): EntryState {
  return {
    inbox: Mailbox.create(),
    outbox: Mailbox.create(),
    self: {
      info,
      bootId,
      phase: 'starting',
      ...options,
      stopRequestedMs: undefined,
      isFrontClosed: false,
    },
    counters: Counters.create(),
    decisions: Table.create('decisions'),
    waits: Table.create('waits'),
    refusals: Table.create('refusals'),
    nextDecisionId: 1,
    calls: Table.create('calls'),
    configuration: { current: EMPTY_CONFIGURATION, version: 0, confirmedSentMs: undefined },
    configWrites: Table.create('configWrites'),
    registration: { leaseId: undefined, version: undefined, renewedMs: 0, entriesDigest: 0 },
    homeAgents: Table.create('homeAgents'),
    peerSyncs: Table.create('peerSyncs'),
    entries: Table.create('entries'),
    ...createExchangeTables(),
    ...createRequestTables(),
    ...createTaskTables(),
    placement: createPlacementState(),
  };
}
