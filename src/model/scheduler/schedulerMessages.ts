import type { DurationEffect, LogEffect } from '../effects.ts';
import type { StoreCall, StoreReply } from '../store.ts';
import type { InstanceCall, InstanceReply } from './instanceCall.ts';
import type { AgentMessage, EntryMessage, OwnerMessage, OwnerCommand } from './linkMessages.ts';
import type { AdviceRequest, AdviceReply } from './placementAdvice.ts';
import type { QueueAnswer, QueueCall } from './queueCall.ts';

/** Events that an entry of the scheduler receives. */
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
  | { readonly kind: 'ownerMessage'; readonly message: OwnerMessage }
  | { readonly kind: 'peerLink'; readonly peerId: string; readonly isOpen: boolean }
  | { readonly kind: 'peerHint'; readonly peerId: string; readonly message: EntryMessage }
  | {
      readonly kind: 'adviceReply';
      readonly callId: string;
      readonly reply: AdviceReply;
      readonly sentAt: number;
    }
  | {
      readonly kind: 'instanceReply';
      readonly callId: string;
      readonly reply: InstanceReply;
    }
  | { readonly kind: 'stopRequested' };

/** Effects that the systems of an entry of the scheduler request. */
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
  | { readonly kind: 'orderAgent'; readonly agentId: string; readonly command: OwnerCommand }
  | { readonly kind: 'openOwner'; readonly address: string }
  | { readonly kind: 'closeOwner' }
  | { readonly kind: 'hintOwner'; readonly message: EntryMessage }
  | { readonly kind: 'sendPeer'; readonly peerId: string; readonly message: OwnerMessage }
  | { readonly kind: 'closePeer'; readonly peerId: string }
  | {
      readonly kind: 'requestAdvice';
      readonly callId: string;
      readonly request: AdviceRequest;
      readonly timeoutMs: number;
    }
  | {
      readonly kind: 'callInstances';
      readonly callId: string;
      readonly call: InstanceCall;
      readonly timeoutMs: number;
    }
  | LogEffect
  | DurationEffect
  | { readonly kind: 'exit' };
