import * as z from 'zod/mini';
import type { JobCall } from './effects.ts';
import { taskSchema } from './task.ts';

/** One change of the ledger: the new row of a task, or its removal. */
export const ledgerChangeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('put'), task: taskSchema }),
  z.object({ kind: z.literal('remove'), taskId: z.string() }),
]);
export type LedgerChange = z.infer<typeof ledgerChangeSchema>;

/** A change that is not known to be in the store yet. The id is the task id: one change a task at a time. */
export interface PendingChangeRow {
  readonly id: string;
  readonly shard: string;
  readonly change: LedgerChange;
  /** Goes out with the next append without waiting for the batch period. */
  readonly isUrgent: boolean;
  readonly queuedMs: number;
  /** Segment that carries the change; undefined while it waits. */
  readonly segmentSeq: number | undefined;
}

/** The duty of a shard as this entry sees it. */
export interface ShardOwnershipRow {
  /** Shard name. */
  readonly id: string;
  readonly phase: 'watching' | 'acquiring' | 'recovering' | 'holding' | 'releasing';
  readonly epoch: number;
  /** Holder as far as known, and the address of its links. */
  readonly ownerId: string | undefined;
  readonly ownerAddress: string | undefined;
  /** Time of sending of the last call to the store that confirmed the duty. */
  readonly confirmedMs: number;
  /** Time at which this entry took the duty. */
  readonly takenMs: number;
  /** Time until which runs of the previous owner may go on at workers that have not reported. */
  readonly inheritedUntilMs: number;
}

/** Value of `duties/<shard>`: who owns the shard and how long it may renew leases without the store. */
export const ownershipRecordSchema = z.object({
  ownerId: z.string(),
  ownerAddress: z.string(),
  epoch: z.int().check(z.nonnegative()),
  /** Grace period G of this owner, in milliseconds. */
  graceMs: z.number().check(z.nonnegative()),
  /** The owner has stopped renewing leases before it wrote this. */
  released: z.boolean(),
  /** Identifies the takeover, so that its author recognises it after a lost answer. */
  token: z.string(),
});
export type OwnershipRecord = z.infer<typeof ownershipRecordSchema>;

/** Value of `duties-held/<shard>`, which lives as long as the holder's store lease. */
export const ownershipLockSchema = z.object({ ownerId: z.string(), token: z.string() });

/** One segment of the ring: all changes of one batch. */
export const segmentSchema = z.object({
  seq: z.int().check(z.positive()),
  epoch: z.int(),
  token: z.string(),
  changes: z.array(ledgerChangeSchema),
});
export type Segment = z.infer<typeof segmentSchema>;

/** One part of the snapshot: the rows whose hash falls into the part, as of segment `uptoSeq`. */
export const snapshotPartSchema = z.object({
  uptoSeq: z.int().check(z.nonnegative()),
  epoch: z.int(),
  token: z.string(),
  tasks: z.array(taskSchema),
});
export type SnapshotPart = z.infer<typeof snapshotPartSchema>;

/** Number of snapshot parts in force. */
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

/** Steps by which an entry takes, keeps and gives up a duty. */
export type OwnershipClaimStep =
  'idle' | 'granting' | 'holding-key' | 'writing-record' | 'held' | 'releasing-record' | 'deleting';

/** What this entry knows and does about the store keys of one duty. */
export interface OwnershipClaimRow {
  /** Shard name. */
  readonly id: string;
  readonly step: OwnershipClaimStep;
  /** Token of this entry's present or last attempt to hold the duty. */
  readonly token: string;
  /** Grace period that this entry writes into the duty record. */
  readonly graceMs: number;
  readonly leaseId: string | undefined;
  readonly record: OwnershipRecord | undefined;
  readonly recordVersion: number;
  /** Time since which the held key is missing; undefined while somebody holds it. */
  readonly unlockedSinceMs: number | undefined;
  /** Call of the present step, and whether it reads back a write whose answer was lost. */
  readonly callId: string | undefined;
  readonly isReadBack: boolean;
  readonly sentMs: number;
  readonly retryAtMs: number;
  readonly renewCallId: string | undefined;
  readonly renewSentMs: number;
  /** Whether the store has said that the lease is gone; a new one is needed. */
  readonly isLeaseLost: boolean;
}

/** A write of the ledger that has not been confirmed. The same content is sent until it is settled. */
export interface LedgerWrite {
  readonly kind: 'append' | 'part' | 'layout';
  readonly key: string;
  readonly value: Segment | SnapshotPart | LedgerLayout;
  readonly expectedVersion: number;
  readonly callId: string;
  readonly isReadBack: boolean;
  readonly sentMs: number;
  /** Time of the next try; undefined while a call is in progress. */
  readonly retryAtMs: number | undefined;
  /** Part of a `part` write and the number of parts that it belongs to. */
  readonly part: number;
  readonly partCount: number;
}

export interface SnapshotPartState {
  readonly uptoSeq: number;
  readonly version: number;
}

/** The ledger of a shard that this entry owns. */
export interface LedgerRow {
  /** Shard name. */
  readonly id: string;
  readonly epoch: number;
  readonly phase: 'reading-layout' | 'reading-segments' | 'reading-parts' | 'fencing' | 'ready';
  readonly readCallId: string | undefined;
  readonly readSentMs: number;
  readonly retryAtMs: number;
  /** Recoveries that were started again because the ring moved while it was read. */
  readonly recoveryRestarts: number;
  /** Segments that a recovery has read and not yet applied. */
  readonly unappliedSegments: readonly Segment[];
  readonly nextSegmentSeq: number;
  /** Store version of each of the 64 ring keys. */
  readonly ringVersions: readonly number[];
  readonly append: LedgerWrite | undefined;
  readonly appendStartedMs: number;
  /** Owner's time of the last confirmed append. */
  readonly appendConfirmedMs: number;
  readonly snapshot: LedgerWrite | undefined;
  /** Segments confirmed since the last snapshot write was due; the rest of a period is carried over. */
  readonly segmentsSinceSnapshot: number;
  readonly layoutVersion: number;
  readonly parts: readonly SnapshotPartState[];
  /** Parts of the next layout that are written already; undefined when the layout is not changing. */
  readonly nextParts: readonly SnapshotPartState[] | undefined;
  /** Estimated bytes of the rows in each of the 128 hash buckets. */
  readonly bucketBytes: number[];
  readonly nextTaskSequence: number;
}

/** Where a row of `tasks` belongs. Kept beside the table because a pool may leave the configuration. */
export interface LedgerTaskRow {
  /** Task id. */
  readonly id: string;
  readonly shard: string;
  readonly bucket: number;
  readonly bytes: number;
  /** Owner's time at which the row was first seen closed. */
  readonly closedMs: number | undefined;
}

/** A caller's or peer's job call that waits for the ledger or for the owner. */
export interface JobCallRow {
  /** Call id of the loop's input. */
  readonly id: string;
  readonly origin: 'caller' | 'peer';
  readonly shard: string;
  readonly jobId: string;
  readonly call: JobCall;
  readonly receivedMs: number;
  readonly phase: 'new' | 'forwarded' | 'backing-off' | 'pending';
  readonly peerCallId: string | undefined;
  readonly notBeforeMs: number;
  /** Whether some forwarded copy got no answer and may have taken effect. */
  readonly isInDoubt: boolean;
}
