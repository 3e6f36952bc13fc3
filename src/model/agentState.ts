import { Counters } from '../base/common/counters.ts';
import type { LoopState } from '../base/common/loop.ts';
import { Mailbox } from '../base/common/mailbox.ts';
import type { TableIndex } from '../base/common/table.ts';
import { Table } from '../base/common/table.ts';
import type { PendingCallRow } from './call.ts';
import type { AgentArrival, AgentEffect } from './effects.ts';
import type { EndpointAnnouncement } from './endpoint.ts';
import type { AgentConfig, EntryInfo } from './exchange.ts';
import type { AttemptMessage, AttemptReply } from './request.ts';
import type { WorkerReport } from './worker.ts';
import type { WorkerStatus } from './workerCall.ts';

/** An endpoint on the agent's instance. */
export interface LocalEndpointRow extends EndpointAnnouncement {
  readonly id: string;
  readonly draining: boolean;
  readonly version: number;
  readonly latencyMs: number;
}

/**
 * An attempt that was accepted or rejected, retained so that a duplicate receives the same answer.
 */
export interface LocalAttemptRow {
  readonly id: string;
  readonly endpointId: string;
  readonly phase: 'waiting' | 'running' | 'done';
  readonly message: AttemptMessage | undefined;
  /** Calls that wait for the answer. */
  readonly callIds: readonly string[];
  readonly reply: AttemptReply | undefined;
  readonly receivedMs: number;
  readonly startedMs: number;
  readonly deadlineMs: number;
  readonly completedMs: number;
}

/** An answer that is cached with its body. The table is ordered from the oldest to the newest. */
export interface CachedAnswerRow {
  /** Attempt id. */
  readonly id: string;
  readonly bytes: number;
}

/** A link to an entry with which the agent exchanges state. */
export interface EntryLinkRow {
  /** Address of the entry. */
  readonly id: string;
  readonly seq: number;
  readonly pendingCallId: string | undefined;
  readonly sentMs: number;
  readonly lastReplyMs: number;
  readonly nextSendMs: number;
  /** Time at which the last exchange failed; undefined when it was answered. */
  readonly failedMs: number | undefined;
  /** Value of `announcementVersion` in the last exchange. */
  readonly sentAnnouncementVersion: number;
}

/** State of the worker that a pending exchange reported. */
export interface ExchangeSampleRow {
  /** Call id of the exchange. */
  readonly id: string;
  readonly workerBootId: string;
  /** Worker's clock in the reported status. */
  readonly workerClockMs: number;
  readonly sentMs: number;
  readonly rejectedStarts: WorkerReport['rejectedStarts'];
}

/** Identity and lifecycle phase of this process. */
export interface AgentSelf {
  readonly id: string;
  readonly bootId: string;
  /** Address of its attempt server, `ip:port`; set when the server listens. */
  address: string;
  readonly region: string;
  readonly zone: string;
  /** Entry addresses from the settings, used until an entry sends the entry list. */
  readonly seedAddresses: readonly string[];
  /** Whether the platform runs tasks on this instance. */
  readonly hasWorker: boolean;
  phase: 'starting' | 'serving' | 'leaving' | 'stopped';
  /** Timeout of a graceful shutdown, in milliseconds. */
  readonly stopBoundMs: number;
  /** Whether the instance stops with the agent, so that its tasks must stop too. */
  readonly stopsTasks: boolean;
  /** Time of the stop request; undefined before it. */
  stopRequestedMs: number | undefined;
}

/** All state of an agent. */
export interface AgentState extends LoopState<AgentArrival, AgentEffect> {
  readonly self: AgentSelf;
  readonly counters: Counters;
  readonly calls: Table<PendingCallRow>;
  /** Configuration in force; undefined before the first exchange. */
  config: AgentConfig | undefined;
  readonly entries: Table<EntryInfo>;
  readonly links: Table<EntryLinkRow>;
  /** Increases across all links, so that an entry can order exchanges after a link was removed. */
  exchangeSeq: number;
  /** Address of the owner of the worker's shard from the last reply that contained it. */
  ownerAddress: string | undefined;
  /** Increases with each change of the endpoints that is sent to entries immediately. */
  announcementVersion: number;
  readonly endpoints: Table<LocalEndpointRow>;
  readonly attempts: Table<LocalAttemptRow>;
  /** Waiting and running attempts by {@link formatEndpointPhaseKey}. */
  readonly attemptsByPhase: TableIndex<LocalAttemptRow>;
  /** Lower bound of the deadlines of waiting attempts. */
  earliestWaitingDeadlineMs: number;
  readonly cachedAnswers: Table<CachedAnswerRow>;
  cachedAnswerBytes: number;
  /** Time of the last answer to an entry. */
  lastAnswerMs: number;
  /**
   * Last status of the worker on the agent's instance, and its request time on the agent's clock.
   */
  worker:
    | {
        readonly status: WorkerStatus;
        readonly requestedMs: number;
        readonly receivedMs?: number;
        /** Whether an exchange has carried the usage samples of this status. */
        readonly hasReportedSamples?: boolean;
      }
    | undefined;
  /** Highest epoch of the shard's owner that this agent has adopted. */
  ownerEpoch: number;
  /** Starts that were rejected and not yet reported. */
  rejectedStarts: WorkerReport['rejectedStarts'];
  readonly exchangeSamples: Table<ExchangeSampleRow>;
}

/** Identity of an agent. The shutdown timeout defaults to 30 s. */
export type AgentIdentity = Omit<
  AgentSelf,
  'phase' | 'stopBoundMs' | 'stopsTasks' | 'stopRequestedMs'
> &
  Partial<Pick<AgentSelf, 'stopBoundMs' | 'stopsTasks'>>;

const DEFAULT_STOP_BOUND_MS = 30_000;

/** Formats the index key of an endpoint's attempts in a phase. */
export function formatEndpointPhaseKey(
  endpointId: string,
  phase: LocalAttemptRow['phase'],
): string {
  return `${phase}|${endpointId}`;
}

export function createAgentState(identity: AgentIdentity): AgentState {
  const attempts = Table.create<LocalAttemptRow>('attempts');
  return {
    inbox: Mailbox.create(),
    outbox: Mailbox.create(),
    self: {
      stopBoundMs: DEFAULT_STOP_BOUND_MS,
      stopsTasks: false,
      ...identity,
      phase: 'starting',
      stopRequestedMs: undefined,
    },
    counters: Counters.create(),
    calls: Table.create('calls'),
    config: undefined,
    entries: Table.create('entries'),
    links: Table.create('links'),
    exchangeSeq: 0,
    ownerAddress: undefined,
    announcementVersion: 0,
    endpoints: Table.create('endpoints'),
    attempts,
    attemptsByPhase: attempts.addIndex((row) =>
      row.phase === 'done' ? undefined : formatEndpointPhaseKey(row.endpointId, row.phase),
    ),
    earliestWaitingDeadlineMs: Number.POSITIVE_INFINITY,
    cachedAnswers: Table.create('keptAnswers'),
    cachedAnswerBytes: 0,
    lastAnswerMs: 0,
    worker: undefined,
    ownerEpoch: 0,
    rejectedStarts: [],
    exchangeSamples: Table.create('exchangeSamples'),
  };
}
