import * as z from 'zod/mini';
import type { PeerCall } from './peer.ts';
import { responseSchema } from './request.ts';

/** What a holder knows about an idempotency key. */
export const keyRecordSchema = z.object({
  /** Service and the caller's key. */
  id: z.string(),
  fingerprint: z.int(),
  requestId: z.string(),
  /** Entry that works on the request. */
  claimant: z.string(),
  state: z.enum(['claimed', 'answered', 'unknown']),
  response: z.optional(responseSchema),
  /** Set on the claim of a declared repeat while its holder's memory does not cover the window. */
  isUncovered: z.optional(z.boolean()),
  /** Time since the last change, in milliseconds. */
  ageMs: z.number(),
});
export type KeyRecord = z.infer<typeof keyRecordSchema>;

/** A key record in the memory of a holder. */
export interface KeyRow extends Omit<KeyRecord, 'ageMs'> {
  /** Time of the last change on this holder's clock. */
  readonly changedMs: number;
}

/** A claim or settlement that waits for the secondary's answer before the primary answers. */
export interface KeyReplicaWriteRow {
  readonly id: string;
  /** Call that the primary answers. */
  readonly callId: string;
  readonly key: string;
  readonly requestId: string;
  /** Whether the claim declared itself a repeat and the primary's memory does not cover the window. */
  readonly needsSecondaryHistory: boolean;
}

/** The outcome of a keyed request on its way to the primary holder. */
export interface KeyOutcomeRow {
  /** Request id. */
  readonly id: string;
  readonly call: Extract<PeerCall, { kind: 'settleKey' }>;
  readonly nextSendMs: number;
  /** Time of the first send; undefined before it. */
  readonly firstSentMs: number | undefined;
}

/** Key records on their way to a new holder. */
export interface KeyHandoffRow {
  readonly id: string;
  readonly entryId: string;
  readonly call: Extract<PeerCall, { kind: 'handKeys' }>;
  readonly createdMs: number;
  readonly nextSendMs: number;
}

/** The entries as this entry saw them from `sinceMs` on. */
export interface MembershipView {
  readonly sinceMs: number;
  readonly members: readonly KeyMember[];
}

export interface KeyMember {
  readonly id: string;
  readonly zone: string;
}

/** Period of which a former holder has handed over its records. */
export interface KeyHistoryRow {
  /** Entry id of the former holder. */
  readonly id: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Bookkeeping of a holder beside its records. */
export interface KeyReplicaState {
  /** Bytes of kept answers. */
  responseBytes: number;
  /** Recent entry lists, oldest first. */
  membershipViews: readonly MembershipView[];
  /** Whether this entry has handed its records over and takes no claims any more. */
  isHandedOff: boolean;
}
