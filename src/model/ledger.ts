import * as z from 'zod/mini';
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
  readonly segment: number | undefined;
}

/** The duty of a shard as this entry sees it. */
export interface DutyRow {
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
