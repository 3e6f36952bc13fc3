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

/** An endpoint beside this agent. */
export interface LocalEndpointRow extends EndpointAnnouncement {
  readonly id: string;
  readonly draining: boolean;
  readonly version: number;
  readonly latencyMs: number;
}

/** An attempt that this agent has accepted or rejected, kept so that a copy gets the same answer. */
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

/** An answer that is kept with its body, oldest first in its table. */
export interface CachedAnswerRow {
  /** Attempt id. */
  readonly id: string;
  readonly bytes: number;
}

/** A link to an entry over which the agent exchanges. */
export interface EntryLinkRow {
  /** Address of the entry. */
  readonly id: string;
  readonly seq: number;
  readonly pendingCallId: string | undefined;
  readonly sentMs: number;
  readonly lastReplyMs: number;
  readonly nextSendMs: number;
  /** Time of the last exchange without an answer; undefined when the last one was answered. */
  readonly failedMs: number | undefined;
  /** Version of `announcementVersion` that the last exchange carried. */
  readonly sentAnnouncementVersion: number;
}

/** What an exchange in progress was built from. */
export interface ExchangeSampleRow {
  /** Call id of the exchange. */
  readonly id: string;
  readonly workerBootId: string;
  /** Worker's clock in the status that the exchange carries. */
  readonly workerClockMs: number;
  readonly sentMs: number;
  readonly rejectedStarts: WorkerReport['rejectedStarts'];
}

/** Who this process is and in which phase of its life. */
export interface AgentSelf {
  readonly id: string;
  readonly bootId: string;
  /** Address of its attempt server, `ip:port`; set when the server is open. */
  address: string;
  readonly region: string;
  readonly zone: string;
  /** Entry addresses from the settings, used until an entry sends its list. */
  readonly seedAddresses: readonly string[];
  /** Whether the platform runs tasks on this instance. */
  readonly hasWorker: boolean;
  phase: 'starting' | 'serving' | 'leaving' | 'stopped';
  /** Bound of a graceful shutdown, in milliseconds. */
  readonly stopBoundMs: number;
  /** Whether the instance stops with the agent, so that its tasks have to stop as well. */
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
  /** Grows over all links, so that an entry can order exchanges after a link was dropped. */
  exchangeSeq: number;
  /** Address of the owner of the worker's shard, as the last answer named it. */
  ownerAddress: string | undefined;
  /** Grows with each change of the endpoints that entries must learn at once. */
  announcementVersion: number;
  readonly endpoints: Table<LocalEndpointRow>;
  readonly attempts: Table<LocalAttemptRow>;
  /** Waiting and running attempts by {@link formatEndpointPhaseKey}. */
  readonly attemptsByPhase: TableIndex<LocalAttemptRow>;
  /** No waiting attempt has an earlier deadline than this. */
  earliestWaitingDeadlineMs: number;
  readonly cachedAnswers: Table<CachedAnswerRow>;
  cachedAnswerBytes: number;
  /** Time of the last answer to an entry. */
  lastAnswerMs: number;
  /** Last status of the worker beside this agent, and the time of its request on the agent's clock. */
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

/** Identity of an agent; the bound of its shutdown defaults to 30 s. */
export type AgentIdentity = Omit<
  AgentSelf,
  'phase' | 'stopBoundMs' | 'stopsTasks' | 'stopRequestedMs'
> &
  Partial<Pick<AgentSelf, 'stopBoundMs' | 'stopsTasks'>>;

const DEFAULT_STOP_BOUND_MS = 30_000;

/** Index key of an endpoint's attempts in a phase. */
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
