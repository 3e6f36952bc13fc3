import type { LogEffect } from '../effects.ts';
import type { ErrorKind } from '../../base/common/errors.ts';
import type { StoreCall, StoreReply } from '../store.ts';
import type { JobSpec } from './jobSpec.ts';
import type { AgentMessage, EntryHint, OwnerNews, OwnerOrder } from './links.ts';
import type { JobPhase } from './jobRecord.ts';

/** A caller's call; the path after the queue's prefix names the job, and no job stands for the queue. */
export type QueueCall =
  | { readonly kind: 'submit'; readonly spec: JobSpec }
  | { readonly kind: 'read' }
  | { readonly kind: 'cancel' };

/** The answer to a {@link QueueCall}. */
export type QueueAnswer =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'phase'; readonly phase: JobPhase }
  | { readonly kind: 'count'; readonly waiting: number }
  | { readonly kind: 'gone' }
  | {
      readonly kind: 'refused';
      readonly error: ErrorKind;
      readonly message: string;
      readonly retryAfterMs?: number;
    };

/** Arrivals at an entry of the scheduler. */
export type SchedulerArrival =
  | {
      readonly kind: 'storeReply';
      readonly callId: string;
      readonly reply: StoreReply;
      readonly sentAt: number;
    }
  | {
      readonly kind: 'queueCall';
      readonly callId: string;
      readonly host: string;
      readonly path: string;
      readonly call: QueueCall;
      readonly deadlineMs: number;
    }
  | { readonly kind: 'callerGone'; readonly callId: string }
  | { readonly kind: 'agentLink'; readonly agentId: string; readonly isOpen: boolean }
  | { readonly kind: 'agentMessage'; readonly agentId: string; readonly message: AgentMessage }
  | { readonly kind: 'ownerLink'; readonly isOpen: boolean }
  | { readonly kind: 'ownerNews'; readonly news: OwnerNews }
  | { readonly kind: 'peerLink'; readonly peerId: string; readonly isOpen: boolean }
  | { readonly kind: 'peerHint'; readonly hint: EntryHint }
  | { readonly kind: 'stopRequested' };

/** Effects of an entry of the scheduler. */
export type SchedulerEffect =
  | {
      readonly kind: 'callStore';
      readonly callId: string;
      readonly call: StoreCall;
      readonly timeoutMs: number;
    }
  | { readonly kind: 'answerCall'; readonly callId: string; readonly answer: QueueAnswer }
  | { readonly kind: 'openAgent'; readonly agentId: string; readonly address: string }
  | { readonly kind: 'closeAgent'; readonly agentId: string }
  | { readonly kind: 'orderAgent'; readonly agentId: string; readonly order: OwnerOrder }
  | { readonly kind: 'openOwner'; readonly address: string }
  | { readonly kind: 'closeOwner' }
  | { readonly kind: 'hintOwner'; readonly hint: EntryHint }
  | { readonly kind: 'sendNews'; readonly peerId: string; readonly news: OwnerNews }
  | { readonly kind: 'closePeer'; readonly peerId: string }
  | LogEffect
  | { readonly kind: 'exit' };
