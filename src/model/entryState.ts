import { Counters } from '../base/common/counters.ts';
import type { LoopState } from '../base/common/loop.ts';
import { Mailbox } from '../base/common/mailbox.ts';
import type { TableIndex } from '../base/common/table.ts';
import { Table } from '../base/common/table.ts';
import type { QueueRow, ServiceLoadRow } from './admission.ts';
import { formatQueueId } from './admission.ts';
import type { PendingCallRow } from './call.ts';
import type { Configuration } from './configuration.ts';
import type { ConfigWriteRow } from './configWrite.ts';
import type { HomeAgentRow, PeerSyncRow, RegistrationState } from './membership.ts';
import { EMPTY_CONFIGURATION } from './configuration.ts';
import type { DecisionRow, RefusalRow, WaitRow } from './decision.ts';
import type { EntryArrival, EntryEffect } from './effects.ts';
import type { EntryInfo } from './exchange.ts';
import type { ExchangeScan, HeldExchangeRow, OwnerAnswerRow } from './heldExchange.ts';
import type { EndpointHealthRow, EndpointRow } from './endpoint.ts';
import type {
  KeyCopyRow,
  KeyCoverRow,
  KeyHandOverRow,
  KeyMemory,
  KeyRow,
  KeySettlementRow,
} from './key.ts';
import type {
  DutyClaimRow,
  DutyRow,
  JobCallRow,
  LedgerRow,
  PendingChangeRow,
  TaskHomeRow,
} from './ledger.ts';
import type { PlacementState } from './placement.ts';
import { createPlacementState } from './placement.ts';
import type { RunRow, ThrottleRow } from './run.ts';
import type { TaskRow } from './task.ts';
import type { UsageSample, WorkerRow } from './worker.ts';
import type { AttemptRow, RequestRow } from './request.ts';

/** Another entry, or this one, as this entry knows it. */
export interface EntryRow extends EntryInfo {
  /** Time of the last answer or call from it. */
  readonly lastHeardMs: number;
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

/** Tokens that pay for the retries of a service. */
export interface RetryBudgetRow {
  /** Service name. */
  readonly id: string;
  readonly tokens: number;
}

/** Who this process is and in which phase of its life. */
export interface EntrySelf {
  readonly info: EntryInfo;
  readonly bootId: string;
  phase: 'starting' | 'serving' | 'leaving' | 'stopped';
  /** Entry addresses from the settings, asked for the configuration while the store is down. */
  readonly peerAddresses: readonly string[];
  /** Bound of a graceful shutdown, in milliseconds. */
  readonly stopBoundMs: number;
  /** Time of the stop request; undefined before it. */
  stopRequestedMs: number | undefined;
  /** Whether the callers' listener has been closed. */
  isFrontClosed: boolean;
}

/** All state of an entry. */
export interface EntryState extends LoopState<EntryArrival, EntryEffect> {
  readonly self: EntrySelf;
  readonly counters: Counters;
  readonly decisions: Table<DecisionRow>;
  readonly waits: Table<WaitRow>;
  readonly refusals: Table<RefusalRow>;
  nextDecision: number;
  readonly calls: Table<PendingCallRow>;
  readonly configuration: ConfigurationState;
  readonly configWrites: Table<ConfigWriteRow>;
  readonly registration: RegistrationState;
  readonly homeAgents: Table<HomeAgentRow>;
  readonly peerSyncs: Table<PeerSyncRow>;
  readonly entries: Table<EntryRow>;
  readonly heldExchanges: Table<HeldExchangeRow>;
  readonly heldExchangesByAgent: TableIndex<HeldExchangeRow>;
  readonly heldExchangesByWorker: TableIndex<HeldExchangeRow>;
  readonly exchangeScan: ExchangeScan;
  readonly endpoints: Table<EndpointRow>;
  readonly requests: Table<RequestRow>;
  readonly requestsByPhase: TableIndex<RequestRow>;
  /** No request has an earlier deadline than this; the rows are checked again then. */
  requestCheckMs: number;
  /** Queued requests that admission has not decided on, under the key `new`. */
  readonly newRequests: TableIndex<RequestRow>;
  /** Admitted queued requests by queue id, oldest first. */
  readonly queuedRequests: TableIndex<RequestRow>;
  readonly queues: Table<QueueRow>;
  readonly serviceLoads: Table<ServiceLoadRow>;
  readonly endpointHealth: Table<EndpointHealthRow>;
  readonly endpointsByService: TableIndex<EndpointRow>;
  readonly endpointsByAgent: TableIndex<EndpointRow>;
  readonly attempts: Table<AttemptRow>;
  readonly attemptsByPhase: TableIndex<AttemptRow>;
  readonly retryBudgets: Table<RetryBudgetRow>;
  /** Records of the idempotency keys that this entry holds. */
  readonly keys: Table<KeyRow>;
  readonly keyMemory: KeyMemory;
  readonly keyCopies: Table<KeyCopyRow>;
  readonly keySettlements: Table<KeySettlementRow>;
  readonly keyHandOvers: Table<KeyHandOverRow>;
  readonly keyCovers: Table<KeyCoverRow>;
  readonly ownerAnswers: Table<OwnerAnswerRow>;
  /** Answers that should go out now, under the key `due`. */
  readonly dueAnswers: TableIndex<OwnerAnswerRow>;
  readonly duties: Table<DutyRow>;
  /** Tasks as the ledger has them: every row is known to be in the store. */
  readonly tasks: Table<TaskRow>;
  /** Assigned tasks by worker id. */
  readonly tasksByWorker: TableIndex<TaskRow>;
  /** Ids of tasks that have changed since the answers to held exchanges were built. */
  readonly tasksToAnswer: Set<string>;
  readonly dutyClaims: Table<DutyClaimRow>;
  readonly ledgers: Table<LedgerRow>;
  readonly taskHomes: Table<TaskHomeRow>;
  /** Task homes by shard and hash bucket, `shard/17`. */
  readonly taskHomesByBucket: TableIndex<TaskHomeRow>;
  readonly jobCalls: Table<JobCallRow>;
  readonly pendingChanges: Table<PendingChangeRow>;
  readonly workers: Table<WorkerRow>;
  readonly runs: Table<RunRow>;
  readonly runsByWorker: TableIndex<RunRow>;
  readonly throttles: Table<ThrottleRow>;
  readonly usageSamples: Table<UsageSampleRow>;
  readonly placement: PlacementState;
}

/** Parts of the settings that systems need. */
export type EntryOptions = Pick<EntrySelf, 'peerAddresses' | 'stopBoundMs'>;

const DEFAULT_OPTIONS: EntryOptions = { peerAddresses: [], stopBoundMs: 30_000 };

/** Tables of requests, endpoints and idempotency keys. */
type RequestTables = Pick<
  EntryState,
  | 'endpoints'
  | 'requests'
  | 'requestsByPhase'
  | 'requestCheckMs'
  | 'newRequests'
  | 'queuedRequests'
  | 'queues'
  | 'serviceLoads'
  | 'endpointHealth'
  | 'endpointsByService'
  | 'endpointsByAgent'
  | 'attempts'
  | 'attemptsByPhase'
  | 'retryBudgets'
  | 'keys'
  | 'keyMemory'
  | 'keyCopies'
  | 'keySettlements'
  | 'keyHandOvers'
  | 'keyCovers'
>;

/** Tables of the ledger, the workers and their runs. */
type TaskTables = Pick<
  EntryState,
  | 'duties'
  | 'tasks'
  | 'tasksByWorker'
  | 'tasksToAnswer'
  | 'dutyClaims'
  | 'ledgers'
  | 'taskHomes'
  | 'taskHomesByBucket'
  | 'jobCalls'
  | 'pendingChanges'
  | 'workers'
  | 'runs'
  | 'runsByWorker'
  | 'throttles'
  | 'usageSamples'
>;

/** Tables of exchanges that wait for their answers. */
type ExchangeTables = Pick<
  EntryState,
  | 'heldExchanges'
  | 'heldExchangesByAgent'
  | 'heldExchangesByWorker'
  | 'exchangeScan'
  | 'ownerAnswers'
  | 'dueAnswers'
>;

function createExchangeTables(): ExchangeTables {
  const heldExchanges = Table.create<HeldExchangeRow>('heldExchanges');
  const ownerAnswers = Table.create<OwnerAnswerRow>('ownerAnswers');
  return {
    heldExchanges,
    heldExchangesByAgent: heldExchanges.addIndex((row) => row.agentId),
    heldExchangesByWorker: heldExchanges.addIndex((row) => row.worker?.workerId),
    exchangeScan: { revision: 0, digest: 0, nextAnswerMs: Number.POSITIVE_INFINITY },
    ownerAnswers,
    dueAnswers: ownerAnswers.addIndex((row) => (row.isDue ? 'due' : undefined)),
  };
}

function createRequestTables(): RequestTables {
  const requests = Table.create<RequestRow>('requests');
  const attempts = Table.create<AttemptRow>('attempts');
  const endpoints = Table.create<EndpointRow>('endpoints');
  return {
    endpoints,
    requests,
    requestsByPhase: requests.addIndex((row) => row.phase),
    requestCheckMs: Number.POSITIVE_INFINITY,
    newRequests: requests.addIndex((row) =>
      row.phase === 'queued' && row.admittedMs === undefined ? 'new' : undefined,
    ),
    queuedRequests: requests.addIndex((row) =>
      row.phase === 'queued' && row.admittedMs !== undefined
        ? formatQueueId(row.route, row.priority)
        : undefined,
    ),
    queues: Table.create('queues'),
    serviceLoads: Table.create('serviceLoads'),
    endpointHealth: Table.create('endpointHealth'),
    endpointsByService: endpoints.addIndex((row) => row.service),
    endpointsByAgent: endpoints.addIndex((row) => row.agentId),
    attempts,
    attemptsByPhase: attempts.addIndex((row) => row.phase),
    retryBudgets: Table.create('retryBudgets'),
    keys: Table.create('keys'),
    keyMemory: { bytes: 0, views: [], isHandedOver: false },
    keyCopies: Table.create('keyCopies'),
    keySettlements: Table.create('keySettlements'),
    keyHandOvers: Table.create('keyHandOvers'),
    keyCovers: Table.create('keyCovers'),
  };
}

function createTaskTables(): TaskTables {
  const tasks = Table.create<TaskRow>('tasks');
  const runs = Table.create<RunRow>('runs');
  const taskHomes = Table.create<TaskHomeRow>('taskHomes');
  return {
    duties: Table.create('duties'),
    tasks,
    tasksToAnswer: tasks.addChangeSet(),
    tasksByWorker: tasks.addIndex((task) =>
      task.phase === 'assigned' ? task.workerId : undefined,
    ),
    dutyClaims: Table.create('dutyClaims'),
    ledgers: Table.create('ledgers'),
    taskHomes,
    taskHomesByBucket: taskHomes.addIndex((home) => `${home.shard}/${home.bucket}`),
    jobCalls: Table.create('jobCalls'),
    pendingChanges: Table.create('pendingChanges'),
    workers: Table.create('workers'),
    runs,
    runsByWorker: runs.addIndex((run) => run.workerId),
    throttles: Table.create('throttles'),
    usageSamples: Table.create('usageSamples'),
  };
}

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
    nextDecision: 1,
    calls: Table.create('calls'),
    configuration: { current: EMPTY_CONFIGURATION, version: 0, confirmedSentMs: undefined },
    configWrites: Table.create('configWrites'),
    registration: { leaseId: undefined, version: undefined, renewedMs: 0, digest: 0 },
    homeAgents: Table.create('homeAgents'),
    peerSyncs: Table.create('peerSyncs'),
    entries: Table.create('entries'),
    ...createExchangeTables(),
    ...createRequestTables(),
    ...createTaskTables(),
    placement: createPlacementState(),
  };
}
