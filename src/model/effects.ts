import type { Failure } from '../base/common/errors.ts';
import type { Configuration, Tables } from './configuration.ts';
import type { EndpointAnnouncement } from './endpoint.ts';
import type { EntryInfo, ExchangeReply, ExchangeRequest } from './exchange.ts';
import type { PeerCall, PeerReply } from './peer.ts';
import type { AttemptMessage, AttemptReply, CallerRequest, Response } from './request.ts';
import type { StoreCall, StoreReply } from './store.ts';
import type { WorkerCall, WorkerReply } from './workerCall.ts';

/** A log line: an event name and its fields. */
export interface LogEffect {
  readonly kind: 'log';
  readonly level: 'info' | 'warn' | 'error';
  readonly event: string;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** A duration to record in the histogram of its name and labels. */
export interface DurationEffect {
  readonly kind: 'duration';
  readonly name: string;
  readonly labels: Readonly<Record<string, string>>;
  readonly durationMs: number;
}

/** Calls of operators to an entry. */
export type OperatorCall =
  | { readonly kind: 'showConfig' }
  /** `baseRevision` is the revision that the tables were edited from. */
  | { readonly kind: 'applyConfig'; readonly baseRevision: number; readonly tables: Tables }
  | { readonly kind: 'setZone'; readonly zone: string; readonly out: boolean }
  | { readonly kind: 'status' }
  | { readonly kind: 'explain'; readonly subject: string };

/** Calls of callers to submit and manage jobs. */
export type JobCall =
  | { readonly kind: 'submit'; readonly submission: unknown }
  | { readonly kind: 'status'; readonly jobId: string }
  | { readonly kind: 'cancel'; readonly jobId: string };

/** An answer to an operator call or a job call: a JSON value or a failure. */
export type JsonAnswer =
  | { readonly kind: 'value'; readonly value: unknown }
  | {
      readonly kind: 'failure';
      readonly failure: Failure;
      readonly details?: unknown;
      readonly retryAfterMs?: number;
    };

/** Inputs of an entry's loop. */
export type EntryArrival =
  | { readonly kind: 'callerRequest'; readonly request: CallerRequest }
  /** The caller closed its connection before it was answered. */
  | { readonly kind: 'callerGone'; readonly requestId: string }
  | { readonly kind: 'jobCall'; readonly callId: string; readonly call: JobCall }
  | { readonly kind: 'operatorCall'; readonly callId: string; readonly call: OperatorCall }
  | { readonly kind: 'attemptReply'; readonly attemptId: string; readonly reply: AttemptReply }
  /** The link failed before the reply; the attempt may or may not have reached the agent. */
  | { readonly kind: 'attemptLinkFailed'; readonly attemptId: string; readonly message: string }
  | { readonly kind: 'exchange'; readonly callId: string; readonly request: ExchangeRequest }
  | {
      readonly kind: 'peerCall';
      readonly callId: string;
      readonly from: string;
      readonly call: PeerCall;
    }
  /** `reply` is undefined when none was received; the call may have taken effect. */
  | { readonly kind: 'peerReply'; readonly callId: string; readonly reply: PeerReply | undefined }
  | { readonly kind: 'storeReply'; readonly callId: string; readonly reply: StoreReply }
  | { readonly kind: 'stopRequested' };

/** Outputs of an entry's loop. */
export type EntryEffect =
  | LogEffect
  | { readonly kind: 'answerCaller'; readonly requestId: string; readonly response: Response }
  | {
      readonly kind: 'refuseCaller';
      readonly requestId: string;
      readonly failure: Failure;
      readonly retryAfterMs?: number;
    }
  | { readonly kind: 'answerJob'; readonly callId: string; readonly answer: JsonAnswer }
  | { readonly kind: 'answerOperator'; readonly callId: string; readonly answer: JsonAnswer }
  | { readonly kind: 'sendAttempt'; readonly address: string; readonly message: AttemptMessage }
  /** The reply is no longer needed; the agent can cancel the attempt while it waits for a slot. */
  | { readonly kind: 'abandonAttempt'; readonly address: string; readonly attemptId: string }
  | { readonly kind: 'answerExchange'; readonly callId: string; readonly reply: ExchangeReply }
  | {
      readonly kind: 'callPeer';
      readonly callId: string;
      readonly address: string;
      readonly call: PeerCall;
      readonly timeoutMs: number;
    }
  | { readonly kind: 'answerPeer'; readonly callId: string; readonly reply: PeerReply }
  | {
      readonly kind: 'callStore';
      readonly callId: string;
      readonly call: StoreCall;
      readonly timeoutMs: number;
    }
  /** Stops accepting connections; requests in progress continue. */
  | { readonly kind: 'closeFront' }
  | { readonly kind: 'exit' };

/** Inputs of an agent's loop. */
export type AgentArrival =
  | { readonly kind: 'attempt'; readonly callId: string; readonly message: AttemptMessage }
  | { readonly kind: 'attemptAbandoned'; readonly attemptId: string }
  | { readonly kind: 'endpointResponse'; readonly attemptId: string; readonly response: Response }
  /** `sent` is whether the endpoint may have received the request. */
  | {
      readonly kind: 'endpointFailed';
      readonly attemptId: string;
      readonly failure: Failure;
      readonly sent: boolean;
    }
  | { readonly kind: 'endpointAnnounced'; readonly announcement: EndpointAnnouncement }
  | { readonly kind: 'endpointLeaving'; readonly name: string }
  | {
      readonly kind: 'exchangeReply';
      readonly callId: string;
      readonly reply: ExchangeReply | undefined;
    }
  | {
      readonly kind: 'workerReply';
      readonly callId: string;
      readonly reply: WorkerReply | undefined;
    }
  | { readonly kind: 'stopRequested' };

/** Outputs of an agent's loop. */
export type AgentEffect =
  | LogEffect
  | { readonly kind: 'answerAttempt'; readonly callId: string; readonly reply: AttemptReply }
  | {
      readonly kind: 'forwardAttempt';
      readonly origin: string;
      readonly connections: number;
      readonly timeoutMs: number;
      readonly message: AttemptMessage;
    }
  | { readonly kind: 'cancelForward'; readonly attemptId: string }
  | {
      readonly kind: 'sendExchange';
      readonly callId: string;
      readonly address: string;
      readonly request: ExchangeRequest;
      readonly timeoutMs: number;
    }
  | {
      readonly kind: 'callWorker';
      readonly callId: string;
      readonly call: WorkerCall;
      readonly timeoutMs: number;
    }
  | { readonly kind: 'exit' };

/** Part of an entry's state that other processes receive through `sync`. */
export interface SyncContents {
  readonly entry: EntryInfo;
  readonly configuration: Configuration | undefined;
}
