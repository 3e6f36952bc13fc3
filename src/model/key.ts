import * as z from 'zod/mini';
import type { PeerCall } from './peer.ts';
import { responseSchema } from './request.ts';

/** Record of an idempotency key at one of its replicas. */
export const keyRecordSchema = z.object({
  /** Service name and the caller's idempotency key. */
  id: z.string(),
  fingerprint: z.int(),
  requestId: z.string(),
  /** Entry that handles the request. */
  claimant: z.string(),
  state: z.enum(['claimed', 'answered', 'unknown']),
  response: z.optional(responseSchema),
  /** Set on the claim of a declared repeat when the replica lacks the full history of the window. */
  isUncovered: z.optional(z.boolean()),
  /** Time since the last change, in milliseconds. */
  ageMs: z.number(),
});
export type KeyRecord = z.infer<typeof keyRecordSchema>;

/** A key record in the memory of a replica. */
export interface KeyRow extends Omit<KeyRecord, 'ageMs'> {
  /** Time of the last change on this replica's clock. */
  readonly changedMs: number;
}

/** A claim or outcome sent to the secondary replica. The primary replies once the secondary has replied. */
export interface KeyReplicaWriteRow {
  readonly id: string;
  /** Call that the primary has to answer. */
  readonly callId: string;
  readonly key: string;
  readonly requestId: string;
  /**
   * Whether the claim is granted only if the secondary has the full history of the deduplication window:
   * the request is a declared repeat and the primary lacks that history.
   */
  readonly needsSecondaryHistory: boolean;
}

/** Outcome of a request with an idempotency key, resent until the primary replica confirms it. */
export interface KeyOutcomeRow {
  /** Request id. */
  readonly id: string;
  readonly call: Extract<PeerCall, { kind: 'settleKey' }>;
  readonly nextSendMs: number;
  /** Time of the first send; undefined before that. */
  readonly firstSentMs: number | undefined;
}

/** Key records that are resent to a new replica until it confirms them. */
export interface KeyHandoffRow {
  readonly id: string;
  readonly entryId: string;
  readonly call: Extract<PeerCall, { kind: 'handKeys' }>;
  readonly createdMs: number;
  readonly nextSendMs: number;
}

/** The entries of the region as this entry saw them from `sinceMs` on. */
export interface MembershipView {
  readonly sinceMs: number;
  readonly members: readonly KeyMember[];
}

/** An entry that can be a replica of idempotency keys. */
export interface KeyMember {
  readonly id: string;
  readonly zone: string;
}

/** Period whose key records a former replica has handed off to this entry. */
export interface KeyHistoryRow {
  /** Entry id of the former replica. */
  readonly id: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** State of a replica besides its key records. */
export interface KeyReplicaState {
  /** Total size of the stored responses. */
  responseBytes: number;
  /** Membership views within the deduplication window, oldest first. */
  membershipViews: readonly MembershipView[];
  /** Whether this entry has handed off its records and refuses further claims. */
  isHandedOff: boolean;
}
