import { Counters } from '../../base/common/counters.ts';
import { Mailbox } from '../../base/common/mailbox.ts';
import { Table } from '../../base/common/table.ts';
import type { LogEffect } from '../effects.ts';
import type { StoreCall, StoreReply } from '../store.ts';
import type { AgentMessage, OwnerCommand, WorkerIdentity } from './linkMessages.ts';
import type { RunnerCall, RunnerReply } from './runnerCall.ts';

/** A worker's announcement to its agent. */
export interface WorkerHeartbeat {
  readonly identity: WorkerIdentity;
  /** Grows with each beat of an incarnation. */
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
  /** `isSilent` for a link whose peer may not hear of a close. */
  | { readonly kind: 'closeOwner'; readonly linkId: string; readonly isSilent?: boolean }
  | {
      readonly kind: 'callStore';
      readonly callId: string;
      readonly call: StoreCall;
      readonly timeoutMs: number;
    }
  | LogEffect
  | { readonly kind: 'exit' };

/** An order of the owner that the worker has not settled. */
export interface CommandRow {
  /** `start:TASK#RUN`, `stop:TASK#RUN` or `pace:TASK#RUN`. */
  readonly id: string;
  readonly command: Exclude<OwnerCommand, { kind: 'hello' | 'grant' | 'heartbeat' }>;
  /**
   * `checking`: whether the worker lists a start without an answer. `stopping`: a start that may have
   * been carried out is stopped, so that a late copy cannot run. `listing`: the outcome waits for lists
   * that are read after the worker's answer.
   */
  readonly step: 'sending' | 'checking' | 'stopping' | 'listing';
  readonly attempts: number;
  readonly mayHaveStarted: boolean;
  readonly callId: string;
  readonly retryAt: number;
  /** What the owner is told once the run certainly does not run. */
  readonly outcome: string;
  /** Number of the look at the worker that has to be over before the outcome is told. */
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
    /** Whether the store holds what the agent has to say of itself. */
    isRegistered: boolean;
    /** Latest registration that has been sent; answers to earlier ones count for nothing. */
    registerCallId: string;
    registerAt: number;
    stopAt: number;
  };
  nextCall: number;
  worker: WorkerIdentity | undefined;
  workerSequence: number;
  /** `leaving` once the worker said that it ends, `gone` when it has not answered since. */
  workerExit: 'none' | 'leaving' | 'gone';
  /** Highest epoch seen, and the link of its owner; empty without one. */
  readonly owner: {
    epoch: number;
    linkId: string;
    reportAt: number;
    /** When the link last carried a message of the owner. */
    lastMessageAt: number;
  };
  readonly lease: { workerStartedMs: number; untilMs: number; acknowledgedEnd: number };
  readonly poll: {
    callId: string;
    epoch: number;
    /** Start of the incarnation that has answered a look, and so rejects calls to earlier ones. */
    answeredWorkerStartedMs: number;
    nextAt: number;
    /** Highest end that the worker has listed. */
    lastListedEnd: number;
    clockMs: number;
    failures: number;
    /** Whether a look that does not wait for an end has to follow soon. */
    isUrgent: boolean;
    /** Whether the present look waits for an end. */
    isWaiting: boolean;
    /** When a waiting look was last abandoned for an urgent one. */
    lastAbandonedAt: number;
    /** Looks sent, and the number of the latest that brought the worker's lists. */
    lastSent: number;
    lastCompleted: number;
    /** Runs that the latest lists name, running or ended, by `TASK#RUN`. */
    listedRuns: ReadonlySet<string>;
  };
  readonly commands: Table<CommandRow>;
}

const NEVER = Number.NEGATIVE_INFINITY;

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
      registerCallId: '',
      registerAt: NEVER,
      stopAt: Number.POSITIVE_INFINITY,
    },
    nextCall: 1,
    worker: undefined,
    workerSequence: 0,
    workerExit: 'none',
    owner: { epoch: 0, linkId: '', reportAt: NEVER, lastMessageAt: NEVER },
    lease: { workerStartedMs: 0, untilMs: 0, acknowledgedEnd: 0 },
    poll: {
      callId: '',
      epoch: 0,
      answeredWorkerStartedMs: 0,
      nextAt: NEVER,
      lastListedEnd: 0,
      clockMs: 0,
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
