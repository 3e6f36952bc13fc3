import { Counters } from '../base/common/counters.ts';
import type { LoopState } from '../base/common/loop.ts';
import { Mailbox } from '../base/common/mailbox.ts';
import { Table } from '../base/common/table.ts';
import type { PendingCallRow } from './call.ts';
import type { Configuration } from './configuration.ts';
import { EMPTY_CONFIGURATION } from './configuration.ts';
import type { DecisionRow } from './decision.ts';
import type { EntryArrival, EntryEffect } from './effects.ts';
import type { EntryInfo, ExchangeReply } from './exchange.ts';
import type { EndpointRow } from './endpoint.ts';
import type { DutyRow, PendingChangeRow } from './ledger.ts';
import type { PlacementState } from './placement.ts';
import { createPlacementState } from './placement.ts';
import type { RunRow, ThrottleRow } from './run.ts';
import type { TaskRow } from './task.ts';
import type { UsageSample, WorkerReport, WorkerRow } from './worker.ts';
import type { AttemptRow, RequestRow } from './request.ts';

/** Another entry, or this one, as this entry knows it. */
export interface EntryRow extends EntryInfo {
  /** Time of the last answer or call from it. */
  readonly lastHeardMs: number;
}

/** An exchange that waits for something to tell. */
export interface HeldExchangeRow {
  readonly id: string;
  readonly agentId: string;
  readonly answerByMs: number;
  readonly configRevision: number;
  readonly entriesDigest: number;
  readonly seq: number;
  /** Present on the link of a worker to the owner of its shard. */
  readonly worker: WorkerReport | undefined;
}

/** The owner's part of the answer to a held exchange. */
export interface OwnerAnswerRow {
  /** Call id of the held exchange. */
  readonly id: string;
  /** Whether the answer should go out now instead of at the end of the hold. */
  readonly isDue: boolean;
  readonly owner: NonNullable<ExchangeReply['owner']>;
}

/** A usage sample that the owner has received and not yet used. */
export interface UsageSampleRow extends UsageSample {
  readonly id: string;
  readonly workerId: string;
  /** Owner's time to which the sample refers, corrected by its age. */
  readonly takenMs: number;
}

/** The configuration in force and what is known about its freshness. */
export interface ConfigurationState {
  current: Configuration;
  /** Store version of `current`; 0 when it did not come from the store. */
  version: number;
  /** Time of sending of the last store read that confirmed `current`; undefined before the first. */
  confirmedSentMs: number | undefined;
}

/** Who this process is and in which phase of its life. */
export interface EntrySelf {
  readonly info: EntryInfo;
  readonly bootId: string;
  phase: 'starting' | 'serving' | 'leaving' | 'stopped';
}

/** All state of an entry. */
export interface EntryState extends LoopState<EntryArrival, EntryEffect> {
  readonly self: EntrySelf;
  readonly counters: Counters;
  readonly decisions: Table<DecisionRow>;
  nextDecision: number;
  readonly calls: Table<PendingCallRow>;
  readonly configuration: ConfigurationState;
  readonly entries: Table<EntryRow>;
  readonly heldExchanges: Table<HeldExchangeRow>;
  readonly endpoints: Table<EndpointRow>;
  readonly requests: Table<RequestRow>;
  readonly attempts: Table<AttemptRow>;
  readonly ownerAnswers: Table<OwnerAnswerRow>;
  readonly duties: Table<DutyRow>;
  /** Tasks as the ledger has them: every row is known to be in the store. */
  readonly tasks: Table<TaskRow>;
  readonly pendingChanges: Table<PendingChangeRow>;
  readonly workers: Table<WorkerRow>;
  readonly runs: Table<RunRow>;
  readonly throttles: Table<ThrottleRow>;
  readonly usageSamples: Table<UsageSampleRow>;
  readonly placement: PlacementState;
}

export function createEntryState(info: EntryInfo, bootId: string): EntryState {
  return {
    inbox: Mailbox.create(),
    outbox: Mailbox.create(),
    self: { info, bootId, phase: 'starting' },
    counters: Counters.create(),
    decisions: Table.create('decisions'),
    nextDecision: 1,
    calls: Table.create('calls'),
    configuration: { current: EMPTY_CONFIGURATION, version: 0, confirmedSentMs: undefined },
    entries: Table.create('entries'),
    heldExchanges: Table.create('heldExchanges'),
    endpoints: Table.create('endpoints'),
    requests: Table.create('requests'),
    attempts: Table.create('attempts'),
    ownerAnswers: Table.create('ownerAnswers'),
    duties: Table.create('duties'),
    tasks: Table.create('tasks'),
    pendingChanges: Table.create('pendingChanges'),
    workers: Table.create('workers'),
    runs: Table.create('runs'),
    throttles: Table.create('throttles'),
    usageSamples: Table.create('usageSamples'),
    placement: createPlacementState(),
  };
}
