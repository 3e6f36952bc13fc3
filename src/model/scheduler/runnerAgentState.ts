import { Counters } from '../../base/common/counters.ts';
import { Mailbox } from '../../base/common/mailbox.ts';
import { Table } from '../../base/common/table.ts';
import type { LogEffect } from '../effects.ts';
import type { StoreCall, StoreReply } from '../store.ts';
import type { AgentMessage, OwnerCommand, WorkerIdentity } from './linkMessages.ts';
import type { RunnerCall, RunnerReply } from './runnerCall.ts';

/** A heartbeat of a worker to its agent. */
export interface WorkerHeartbeat {
  readonly identity: WorkerIdentity;
  /** Grows with each heartbeat of an incarnation. */
  readonly sequence: number;
}

export type RunnerAgentArrival =
  | { readonly kind: 'workerBeat'; readonly heartbeat: WorkerHeartbeat }
  | { readonly kind: 'workerLeft'; readonly workerId: string }
  | { readonly kind: 'ownerLink'; readonly linkId: string; readonly isOpen: boolean }
  | { readonly kind: 'ownerOrder'; readonly linkId: string; readonly command: OwnerCommand }
  | { readonly kind: 'runnerReply'; readonly callId: string; readonly reply: RunnerReply }
  | { readonly kind: 'storeReply'; readonly callId: string; readonly reply: StoreReply }
  | { readonly kind: 'stopRequested' };

export type RunnerAgentEffect =
  | {
      readonly kind: 'callRunner';
      readonly callId: string;
      readonly address: string;
      readonly workerId: string;
      readonly call: RunnerCall;
      readonly timeoutMs: number;
    }
  | { readonly kind: 'sendOwner'; readonly linkId: string; readonly message: AgentMessage }
  /** `isSilent` marks a link whose peer may not be notified of the close. */
  | { readonly kind: 'closeOwner'; readonly linkId: string; readonly isSilent?: boolean }
  | {
      readonly kind: 'callStore';
      readonly callId: string;
      readonly call: StoreCall;
      readonly timeoutMs: number;
    }
  | LogEffect
  | { readonly kind: 'exit' };

/** A command of the owner whose outcome is not certain yet. */
export interface CommandRow {
  /** `start:TASK#RUN`, `stop:TASK#RUN` or `pace:TASK#RUN`. */
  readonly id: string;
  readonly command: Exclude<OwnerCommand, { kind: 'hello' | 'grant' | 'heartbeat' }>;
  /**
   * `checking`: polls whether the worker lists the run of an unanswered start. `stopping`: stops a start
   * that may have been executed, so that a delayed copy of it cannot run. `listing`: waits for lists
   * that are read after the worker's answer.
   */
  readonly step: 'sending' | 'checking' | 'stopping' | 'listing';
  readonly attempts: number;
  /** Whether a start may have been executed without an answer. */
  readonly mayHaveStarted: boolean;
  readonly callId: string;
  readonly retryAt: number;
  /** Outcome that is reported to the owner once the run is certainly not running. */
  readonly outcome: string;
  /** Number of the poll that must be complete before the outcome is reported. */
  readonly afterPoll: number;
}

export interface RunnerAgentState {
  readonly inbox: Mailbox<RunnerAgentArrival>;
  readonly outbox: Mailbox<RunnerAgentEffect>;
  readonly counters: Counters;
  readonly self: {
    readonly id: string;
    readonly zone: string;
    address: string;
    /** Whether the store holds the agent's current record. */
    isRegistered: boolean;
    /** Version of the stored record as this process knows it; 0 without one. */
    recordVersion: number;
    /** The incarnation whose end an earlier process of the agent has stored. */
    storedGoneWorker: { readonly id: string; readonly bornMs: number } | undefined;
    /** Id of the latest registration call; replies to earlier ones are ignored. */
    registerCallId: string;
    registerAt: number;
    stopAt: number;
  };
  nextCall: number;
  worker: WorkerIdentity | undefined;
  /**
   * The latest incarnation that has answered a poll, or that the owner knows. A heartbeat alone may
   * come from another writer, and an owner releases the runs of the incarnations before the reported
   * one.
   */
  confirmedWorker: { readonly id: string; readonly bornMs: number } | undefined;
  /** Since when commands are accepted for the present incarnation only, monotonic clock ms. */
  incarnationSince: number;
  workerSequence: number;
  /** `leaving` once the worker has announced its end, `gone` once it refuses connections after that. */
  workerExit: 'none' | 'leaving' | 'gone';
  /** Highest received epoch, and the link of its owner; empty without one. */
  readonly owner: {
    epoch: number;
    linkId: string;
    reportAt: number;
    /** Longest lease that a worker accepts, ms, as the owner has told. */
    longestLeaseMs: number;
    /** When a message of the owner was last received on the link. */
    lastMessageAt: number;
  };
  /** Lease of the worker's runs on the worker's clock, and the number of the last acknowledged end. */
  readonly lease: {
    workerStartedMs: number;
    untilMs: number;
    acknowledgedEnd: number;
    /**
     * Time until which any lease may last on this instance, agent's clock ms, also one that an earlier
     * process passed on; undefined before the first tick.
     */
    endsAt: number | undefined;
  };
  /** The long poll of the worker. */
  readonly poll: {
    callId: string;
    epoch: number;
    /** Start of the incarnation that has answered a poll; it rejects calls to earlier incarnations. */
    answeredWorkerStartedMs: number;
    nextAt: number;
    /** Highest number of an end in the worker's lists. */
    lastListedEnd: number;
    clockMs: number;
    /** When {@link clockMs} was received, agent's clock ms. */
    clockReadAt: number;
    failures: number;
    /** Whether a poll that does not wait for an end must follow immediately. */
    isUrgent: boolean;
    /** Whether the pending poll waits for an end. */
    isWaiting: boolean;
    /** When a waiting poll was last abandoned for an urgent one. */
    lastAbandonedAt: number;
    /** Number of the latest poll sent, and of the latest one that returned complete lists. */
    lastSent: number;
    lastCompleted: number;
    /** Running and ended runs in the latest lists, as `TASK#RUN`. */
    listedRuns: ReadonlySet<string>;
  };
  readonly commands: Table<CommandRow>;
}

const NEVER = Number.NEGATIVE_INFINITY;
/** Longest lease of a worker unless the owner tells it; the platform's bounds are 6 and 10 s. */
const DEFAULT_LONGEST_LEASE_MS = 15_000;

/** Whether the present worker is certainly the one beside this agent. */
export function isWorkerConfirmed({ worker, confirmedWorker }: RunnerAgentState): boolean {
  return (
    worker !== undefined &&
    confirmedWorker?.id === worker.id &&
    confirmedWorker.bornMs === worker.bornMs
  );
}

export function createRunnerAgentState(id: string, zone: string): RunnerAgentState {
  return {
    inbox: Mailbox.create<RunnerAgentArrival>(),
    outbox: Mailbox.create<RunnerAgentEffect>(),
    counters: Counters.create(),
    self: {
      id,
      zone,
      address: '',
      isRegistered: false,
      recordVersion: 0,
      storedGoneWorker: undefined,
      registerCallId: '',
      registerAt: NEVER,
      stopAt: Number.POSITIVE_INFINITY,
    },
    nextCall: 1,
    worker: undefined,
    confirmedWorker: undefined,
    incarnationSince: Number.POSITIVE_INFINITY,
    workerSequence: 0,
    workerExit: 'none',
    owner: {
      epoch: 0,
      linkId: '',
      reportAt: NEVER,
      longestLeaseMs: DEFAULT_LONGEST_LEASE_MS,
      lastMessageAt: NEVER,
    },
    lease: { workerStartedMs: 0, untilMs: 0, acknowledgedEnd: 0, endsAt: undefined },
    poll: {
      callId: '',
      epoch: 0,
      answeredWorkerStartedMs: 0,
      nextAt: NEVER,
      lastListedEnd: 0,
      clockMs: 0,
      clockReadAt: NEVER,
      failures: 0,
      isUrgent: false,
      isWaiting: false,
      lastAbandonedAt: NEVER,
      lastSent: 0,
      lastCompleted: 0,
      listedRuns: new Set(),
    },
    commands: Table.create<CommandRow>('orders'),
  };
}
