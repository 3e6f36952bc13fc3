import * as z from 'zod/mini';
import { addressSchema } from './address.ts';
import type { JobCall } from './effects.ts';
import { taskSchema } from './task.ts';

/** A change of the ledger: writes the row of a task or removes it. */
export const ledgerChangeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('put'), task: taskSchema }),
  z.object({ kind: z.literal('remove'), taskId: z.string() }),
]);
export type LedgerChange = z.infer<typeof ledgerChangeSchema>;

/** A change that the store has not confirmed yet. A task has at most one pending change. */
export interface PendingChangeRow {
  /** Task id. */
  readonly id: string;
  readonly shard: string;
  readonly change: LedgerChange;
  /** Whether the change is appended after the shorter period for urgent changes. */
  readonly isUrgent: boolean;
  readonly queuedMs: number;
  /** Number of the segment that carries the change; undefined until it is in a segment. */
  readonly segmentSeq: number | undefined;
}

/** Ownership of a shard as this entry sees it. Operators see the rows with these field names. */
export interface ShardOwnershipRow {
  /** Shard name. */
  readonly id: string;
  readonly phase: 'watching' | 'acquiring' | 'recovering' | 'holding' | 'releasing';
  readonly epoch: number;
  /** Owner and its address; undefined when unknown. */
  readonly ownerId: string | undefined;
  readonly ownerAddress: string | undefined;
  /** Send time of the last store call that confirmed the ownership. */
  readonly confirmedMs: number;
  /** Time at which this entry acquired the ownership. */
  readonly takenMs: number;
  /** End of the leases that the previous owner may have renewed for workers that have not reported since. */
  readonly inheritedUntilMs: number;
}

/** Value of the store key `duties/<shard>`: the owner and how long it may renew leases without the store. */
export const ownershipRecordSchema = z.object({
  ownerId: z.string(),
  ownerAddress: addressSchema,
  epoch: z.int().check(z.nonnegative()),
  /** Grace period G of this owner, in milliseconds. */
  graceMs: z.number().check(z.nonnegative()),
  /** Whether the owner released the shard; it stopped renewing leases before it wrote this. */
  released: z.boolean(),
  /** Identifies the claim, so that an entry recognizes its own write after a lost reply. */
  token: z.string(),
});
export type OwnershipRecord = z.infer<typeof ownershipRecordSchema>;

/** Value of the lock key `duties-held/<shard>`, which exists as long as the owner's store lease. */
export const ownershipLockSchema = z.object({ ownerId: z.string(), token: z.string() });

/** A segment of the ring: the changes of one append. */
export const segmentSchema = z.object({
  seq: z.int().check(z.positive()),
  epoch: z.int(),
  token: z.string(),
  changes: z.array(ledgerChangeSchema),
});
export type Segment = z.infer<typeof segmentSchema>;

/** A part of the snapshot: the tasks whose id hashes to the part, as of segment `uptoSeq`. */
export const snapshotPartSchema = z.object({
  uptoSeq: z.int().check(z.nonnegative()),
  epoch: z.int(),
  token: z.string(),
  tasks: z.array(taskSchema),
});
export type SnapshotPart = z.infer<typeof snapshotPartSchema>;

/** Number of parts of the current snapshot. */
export const ledgerLayoutSchema = z.object({
  partCount: z.union([
    z.literal(4),
    z.literal(8),
    z.literal(16),
    z.literal(32),
    z.literal(64),
    z.literal(128),
  ]),
  epoch: z.int(),
  token: z.string(),
});
export type LedgerLayout = z.infer<typeof ledgerLayoutSchema>;

/** Steps of an entry that acquires, holds and releases the ownership of a shard. */
export type OwnershipClaimStep =
  'idle' | 'granting' | 'holding-key' | 'writing-record' | 'held' | 'releasing-record' | 'deleting';

/** State of this entry's claim to the ownership of a shard, and the store keys as last read. */
export interface OwnershipClaimRow {
  /** Shard name. */
  readonly id: string;
  readonly step: OwnershipClaimStep;
  /** Token of this entry's current or last claim. */
  readonly token: string;
  /** Grace period that this entry writes into the ownership record. */
  readonly graceMs: number;
  readonly leaseId: string | undefined;
  readonly record: OwnershipRecord | undefined;
  readonly recordVersion: number;
  /** Time since which the lock key is missing; undefined while it exists. */
  readonly unlockedSinceMs: number | undefined;
  /** Store call of the current step. */
  readonly callId: string | undefined;
  /** Whether the call reads back a write whose reply was lost. */
  readonly isReadBack: boolean;
  readonly sentMs: number;
  readonly retryAtMs: number;
  readonly renewCallId: string | undefined;
  readonly renewSentMs: number;
  /** Whether the store reported the lease as lost, so that the claim needs a new one. */
  readonly isLeaseLost: boolean;
}

/** A ledger write that the store has not confirmed. The same content is sent until the outcome is known. */
export interface LedgerWrite {
  readonly kind: 'append' | 'part' | 'layout';
  readonly key: string;
  readonly value: Segment | SnapshotPart | LedgerLayout;
  readonly expectedVersion: number;
  readonly callId: string;
  readonly isReadBack: boolean;
  readonly sentMs: number;
  /** Time of the next attempt; undefined while a call is in progress. */
  readonly retryAtMs: number | undefined;
  /** Index of the part that a `part` write replaces. */
  readonly part: number;
  /** Number of parts of the snapshot that the write belongs to. */
  readonly partCount: number;
}

/** State of a snapshot part in the store. */
export interface SnapshotPartState {
  readonly uptoSeq: number;
  readonly version: number;
}

/** Ledger of a shard that this entry owns: a ring of segments and a snapshot in parts. */
export interface LedgerRow {
  /** Shard name. */
  readonly id: string;
  readonly epoch: number;
  readonly phase: 'reading-layout' | 'reading-segments' | 'reading-parts' | 'fencing' | 'ready';
  readonly readCallId: string | undefined;
  readonly readSentMs: number;
  readonly retryAtMs: number;
  /** Number of recoveries restarted because segments were overwritten while they were read. */
  readonly recoveryRestarts: number;
  /** Segments that the recovery has read and not applied yet. */
  readonly unappliedSegments: readonly Segment[];
  readonly nextSegmentSeq: number;
  /** Store version of each of the 64 ring keys. */
  readonly ringVersions: readonly number[];
  readonly append: LedgerWrite | undefined;
  readonly appendStartedMs: number;
  /** Owner's time of the last confirmed append. */
  readonly appendConfirmedMs: number;
  readonly snapshot: LedgerWrite | undefined;
  /** Segments confirmed since the last part write was due; the remainder of a period carries over. */
  readonly segmentsSinceSnapshot: number;
  readonly layoutVersion: number;
  readonly parts: readonly SnapshotPartState[];
  /** Parts already written of the next layout; undefined while the layout does not change. */
  readonly nextParts: readonly SnapshotPartState[] | undefined;
  /** Estimated bytes of the tasks in each of the 128 hash buckets. */
  readonly bucketBytes: number[];
  /** Sequence number of the next submitted task. */
  readonly nextTaskSequence: number;
}

/**
 * Shard, hash bucket and estimated size of a task in the ledger. Stored apart from the task because the
 * shard can no longer be derived from the configuration once the pool of the task is removed.
 */
export interface LedgerTaskRow {
  /** Task id. */
  readonly id: string;
  readonly shard: string;
  readonly bucket: number;
  readonly bytes: number;
  /** Owner's time at which the task was first recorded as closed. */
  readonly closedMs: number | undefined;
}

/** A job call of a caller or peer that waits for the ledger or for the owner. */
export interface JobCallRow {
  /** Call id. */
  readonly id: string;
  readonly origin: 'caller' | 'peer';
  readonly shard: string;
  readonly jobId: string;
  readonly call: JobCall;
  readonly receivedMs: number;
  readonly phase: 'new' | 'forwarded' | 'backing-off' | 'pending';
  readonly peerCallId: string | undefined;
  readonly notBeforeMs: number;
  /** Whether a forwarded copy got no reply and may have taken effect. */
  readonly isInDoubt: boolean;
}
