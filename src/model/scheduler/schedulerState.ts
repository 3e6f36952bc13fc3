import { Counters } from '../../base/common/counters.ts';
import { Mailbox } from '../../base/common/mailbox.ts';
import type { TableIndex } from '../../base/common/table.ts';
import { Table } from '../../base/common/table.ts';
import type { PlatformBounds } from './platformBounds.ts';
import type { SchedulerArrival, SchedulerEffect } from './schedulerMessages.ts';
import type { FollowerRow } from './follower.ts';
import type { FleetState } from './fleet.ts';
import { createFleet } from './fleet.ts';
import type { LeaseWaitRow } from './leaseWait.ts';
import type { MaintenanceWave } from './maintenanceWave.ts';
import type { Ownership } from './ownership.ts';
import { createOwnership } from './ownership.ts';
import type { AdviceCallRow, AdvisedStepRow, AdviceRow, AdviserState } from './placementAdvice.ts';
import type { QueueCall } from './queueCall.ts';
import type { Queue, QueueConfiguration, QueueTerms } from './queueConfiguration.ts';
import type { JobStatus, EntryMessage, TakeoverQuestion } from './linkMessages.ts';
import type { SystemTimers } from './systemTimers.ts';
import { createSystemTimers } from './systemTimers.ts';
import type { AgentRow, JobRow, ReportedEnd, MoveRow, TaskRow, WorkerRow } from './rows.ts';
import { formatStepKey } from './rows.ts';
import type { RunTables } from './runTables.ts';
import { createRunTables } from './runTables.ts';

/** An unanswered call of a caller. */
export interface CallRow {
  readonly id: string;
  readonly call: QueueCall;
  readonly jobId: string;
  readonly queue: string;
  /** Parameters of the queue when the call arrived. */
  readonly terms: QueueTerms;
  readonly deadlineAt: number;
  readonly startedAt: number;
  /** Number of store calls made for the call. */
  readonly attempts: number;
  /** Whether an unanswered store write of the call may have taken effect. */
  readonly hasUnconfirmedWrite: boolean;
  /** Whether a store call, or the call forwarded to the owner, has no reply yet. */
  readonly isAwaitingReply: boolean;
  readonly retryAt: number;
  /** Store version of the job that a cancellation read; 0 before the read. */
  readonly jobVersion: number;
  /** Store lease under which the cancellation of a job that is not stored is kept; empty until it is granted. */
  readonly barLeaseId: string | undefined;
  readonly host: string;
  readonly path: string;
  /** Whether the call has been forwarded to the owner. */
  readonly isForwarded: boolean;
}

/** Estimated slack of a serving image (latency target over tail latency), or its reduction by a best-effort image. */
export interface SlackRow {
  /** `SERVING|FILLING`, the two images; without a best-effort image the row holds the serving image's own slack. */
  readonly id: string;
  readonly value: number;
  /** Variance of the estimate; 0 where only a mean is kept. */
  readonly variance: number;
}

/** Present slack of a serving job's tasks without best-effort tasks; the tasks share the load of the job's callers. */
export interface ServingLoadRow {
  /** `JOB|IMAGE`. */
  readonly id: string;
  readonly slack: number;
  readonly variance: number;
}

/** The operator's keys as an entry has read them. */
export interface OperatorState {
  configuration: QueueConfiguration | undefined;
  /** Queues of the configuration by name. */
  queues: ReadonlyMap<string, Queue>;
  /**
   * Whether any queue has needed an adviser's ticket since the entry started; jobs of a removed queue
   * still need theirs.
   */
  hasAdvice: boolean;
  /** Versions of the operator's keys, which a store call compares to verify that they are current. */
  readonly versions: Map<string, number>;
  readonly zonesOut: Set<string>;
  /** Requests for maintenance by their id. */
  readonly waves: Map<string, MaintenanceWave>;
  storeVersion: number;
  isListed: boolean;
  /** Start of the latest store call that verified the keys as current. */
  verifiedAt: number;
  verifyAt: number;
  watchAt: number;
}

/** Commits of job changes to the store. */
export interface CommitState {
  callId: string;
  /** When the call was sent, owner's clock ms. */
  sentAt: number;
  /** When the call counts as lost because the store has answered a later one; infinite before that. */
  presumedLostAt: number;
  jobs: { readonly jobId: string; readonly change: number; readonly storeVersion: number }[];
  retryAt: number;
  /** Number of the store transaction that is repeated after a lost reply. */
  sequence: number;
}

/** All state of an entry of the scheduler. */
export interface SchedulerState extends RunTables {
  readonly inbox: Mailbox<SchedulerArrival>;
  readonly outbox: Mailbox<SchedulerEffect>;
  readonly counters: Counters;
  readonly self: {
    readonly id: string;
    readonly bootId: string;
    readonly zone: string;
    cores: number;
    address: string;
    phase: 'starting' | 'serving' | 'stopping';
    stopAt: number;
  };
  readonly bounds: PlatformBounds;
  readonly zones: readonly string[];
  /** Wall clock minus monotonic clock, ms. */
  wallOffsetMs: number;
  nextCall: number;
  readonly timers: SystemTimers;
  readonly storeHealth: { failingSince: number };
  readonly operator: OperatorState;
  readonly ownership: Ownership;
  readonly commit: CommitState;
  /** Jobs in the pending delete call of the store; the call id is empty without one. */
  readonly deletion: { callId: string; jobIds: readonly string[] };
  /** Versions of the store's entries that could not be read, by key, to log each version once. */
  readonly unreadableEntries: Map<string, number>;
  /** Recently deleted jobs, with the store version and the owner's time of the deletion. */
  readonly deletedJobs: Map<string, { readonly version: number; readonly at: number }>;
  readonly calls: Table<CallRow>;
  /** Phases of jobs that callers may see, at every entry. */
  readonly statuses: Table<JobStatus>;
  readonly statusesByQueue: TableIndex<JobStatus>;
  /** Ids of the changed statuses that must be sent to the other entries. */
  readonly changedStatuses: Set<string>;
  /** Entries that may claim the ownership, at the owner. */
  readonly followers: Table<FollowerRow>;
  /** The owner's question of each pending `canTakeOver` call, by call id. */
  readonly takeoverQuestions: Map<string, TakeoverQuestion>;
  readonly peers: Set<string>;
  readonly newPeers: Set<string>;
  /** Messages of this entry to itself as the owner. */
  readonly entryMessages: EntryMessage[];
  readonly intake: { storeVersion: number; watchAt: number; isWatching: boolean; listAt: number };
  readonly load: {
    prefixes: string[];
    after: string | undefined;
    callId: string;
    version: number;
    readonly entries: Map<string, { readonly version: number; readonly value: unknown }>;
  };
  readonly jobs: Table<JobRow>;
  readonly tasks: Table<TaskRow>;
  readonly tasksByJob: TableIndex<TaskRow>;
  /** Tasks that wait for capacity, by step. */
  readonly readyTasksByStep: TableIndex<TaskRow>;
  /** Tasks that have become ready since the latest placement. */
  readonly newlyReadyTasks: Set<string>;
  /** When each unfinished step became ready, by job and step, owner's clock ms. */
  readonly stepTimes: Map<string, Map<number, number>>;
  readonly moves: Table<MoveRow>;
  readonly movesByJob: TableIndex<MoveRow>;
  readonly workers: Table<WorkerRow>;
  readonly agents: Table<AgentRow>;
  /** Silent workers with open runs. */
  readonly leaseWaits: Table<LeaseWaitRow>;
  readonly slacks: Table<SlackRow>;
  readonly servingLoads: Table<ServingLoadRow>;
  readonly advice: Table<AdviceRow>;
  readonly adviceByJob: TableIndex<AdviceRow>;
  /** Steps about which the adviser has been asked. */
  readonly advisedSteps: Table<AdvisedStepRow>;
  readonly advisedStepsByJob: TableIndex<AdvisedStepRow>;
  readonly adviceCalls: Table<AdviceCallRow>;
  readonly adviser: AdviserState;
  readonly fleet: FleetState;
  readonly reportedEnds: ReportedEnd[];
  /** Jobs with unstored changes. */
  readonly dirtyJobs: Set<string>;
  /** Jobs whose tasks may have become ready. */
  readonly jobsToAdvance: Set<string>;
}

const NEVER = Number.NEGATIVE_INFINITY;

export interface SchedulerIdentity {
  readonly id: string;
  readonly bootId: string;
  readonly zone: string;
  readonly zones: readonly string[];
  /** Processor time of the entry, in cores. */
  readonly cores: number;
  readonly bounds: PlatformBounds;
}

export function createSchedulerState(identity: SchedulerIdentity): SchedulerState {
  const statuses = Table.create<JobStatus>('statuses');
  const tasks = Table.create<TaskRow>('tasks');
  const moves = Table.create<MoveRow>('moves');
  return {
    inbox: Mailbox.create<SchedulerArrival>(),
    outbox: Mailbox.create<SchedulerEffect>(),
    counters: Counters.create(),
    self: createSelf(identity),
    bounds: identity.bounds,
    zones: identity.zones,
    wallOffsetMs: 0,
    nextCall: 1,
    timers: createSystemTimers(),
    storeHealth: { failingSince: Number.POSITIVE_INFINITY },
    operator: createOperatorState(),
    ownership: createOwnership(),
    commit: createCommit(),
    deletion: { callId: '', jobIds: [] },
    unreadableEntries: new Map(),
    deletedJobs: new Map(),
    calls: Table.create<CallRow>('calls'),
    statuses,
    statusesByQueue: statuses.addIndex((status) => status.queue),
    changedStatuses: new Set(),
    followers: Table.create<FollowerRow>('followers'),
    takeoverQuestions: new Map(),
    peers: new Set(),
    newPeers: new Set(),
    entryMessages: [],
    intake: createIntake(),
    load: createLoad(),
    jobs: Table.create<JobRow>('jobs'),
    tasks,
    tasksByJob: tasks.addIndex((task) => task.jobId),
    readyTasksByStep: tasks.addIndex((task) =>
      task.phase === 'ready' ? formatStepKey(task) : undefined,
    ),
    newlyReadyTasks: tasks.addChangeSet(
      (previous, next) => next?.phase === 'ready' && previous?.phase !== 'ready',
    ),
    stepTimes: new Map(),
    ...createRunTables(),
    moves,
    movesByJob: moves.addIndex((move) => move.jobId),
    workers: Table.create<WorkerRow>('workers'),
    agents: Table.create<AgentRow>('agents'),
    leaseWaits: Table.create<LeaseWaitRow>('leaseWaits'),
    slacks: Table.create<SlackRow>('slacks'),
    servingLoads: Table.create<ServingLoadRow>('servingLoads'),
    ...createAdviceTables(),
    fleet: createFleet(),
    reportedEnds: [],
    dirtyJobs: new Set(),
    jobsToAdvance: new Set(),
  };
}

function createSelf({ id, bootId, zone, cores }: SchedulerIdentity): SchedulerState['self'] {
  return { id, bootId, zone, cores, address: '', phase: 'starting', stopAt: NEVER };
}

function createCommit(): CommitState {
  return {
    callId: '',
    sentAt: NEVER,
    presumedLostAt: Number.POSITIVE_INFINITY,
    jobs: [],
    retryAt: NEVER,
    sequence: 0,
  };
}

function createIntake(): SchedulerState['intake'] {
  return { storeVersion: 0, watchAt: NEVER, isWatching: false, listAt: Number.POSITIVE_INFINITY };
}

function createLoad(): SchedulerState['load'] {
  return { prefixes: [], after: undefined, callId: '', version: 0, entries: new Map() };
}

function createAdviceTables(): Pick<
  SchedulerState,
  'advice' | 'adviceByJob' | 'advisedSteps' | 'advisedStepsByJob' | 'adviceCalls' | 'adviser'
> {
  const advice = Table.create<AdviceRow>('advice');
  const advisedSteps = Table.create<AdvisedStepRow>('advisedSteps');
  return {
    advice,
    adviceByJob: advice.addIndex((row) => row.jobId),
    advisedSteps,
    advisedStepsByJob: advisedSteps.addIndex((row) => row.jobId),
    adviceCalls: Table.create<AdviceCallRow>('adviceCalls'),
    adviser: { retryAt: NEVER, failures: 0, firstsInRow: 0, upkeepAt: NEVER },
  };
}

function createOperatorState(): OperatorState {
  return {
    configuration: undefined,
    queues: new Map(),
    hasAdvice: false,
    versions: new Map(),
    zonesOut: new Set(),
    waves: new Map(),
    storeVersion: 0,
    isListed: false,
    verifiedAt: NEVER,
    verifyAt: NEVER,
    watchAt: NEVER,
  };
}
