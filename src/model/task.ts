import * as z from 'zod/mini';
import { failureSchema } from '../base/common/errors.ts';
import { nameSchema, prioritySchema } from './configuration.ts';
import { resourcesSchema } from './resources.ts';

export const workClassSchema = z.enum(['latency-critical', 'urgent', 'ordinary']);
export type WorkClass = z.infer<typeof workClassSchema>;

/** Job that a caller submits. */
export const jobSubmissionSchema = z.strictObject({
  team: nameSchema,
  /** Deduplicates submissions: the same team and key identify the same job. */
  idempotencyKey: z.string().check(z.minLength(1), z.maxLength(200)),
  pool: nameSchema,
  taskKind: nameSchema,
  demand: resourcesSchema,
  priority: z._default(prioritySchema, 'ordinary'),
  /** Declared run time in seconds, which may be inaccurate. */
  expectedSeconds: z._default(z.number().check(z.positive()), 60),
  /** Seconds after submission at which the result loses its value. */
  deadlineSeconds: z.optional(z.number().check(z.positive())),
  /** Value of finishing in time, relative to other jobs. */
  value: z._default(z.number().check(z.positive()), 1),
  command: z._default(z.array(z.string()), []),
});
export type JobSubmission = z.infer<typeof jobSubmissionSchema>;

/**
 * Lifecycle of a task in the ledger. `assigned` lasts from the write that names a worker until the
 * proof that the incarnation has stopped.
 */
export const taskPhaseSchema = z.enum(['queued', 'assigned', 'finished', 'failed', 'cancelled']);
export type TaskPhase = z.infer<typeof taskPhaseSchema>;

/** Reason for which the owner stops an assigned incarnation. */
export const stopReasonSchema = z.enum([
  'cancelled',
  'preempted',
  'zone-out',
  'interference',
  'retired',
  'worker-unhealthy',
  'worker-leaving',
]);
export type StopReason = z.infer<typeof stopReasonSchema>;

/**
 * A task in the ledger: either the batch task of a job or one replica of a service.
 * `incarnation` and `sequence` count the owner's decisions; a row never holds a clock reading.
 */
export const taskSchema = z.object({
  id: z.string(),
  pool: nameSchema,
  /** Set for a replica of a service. */
  service: z.optional(nameSchema),
  team: nameSchema,
  taskKind: nameSchema,
  workClass: workClassSchema,
  demand: resourcesSchema,
  command: z.array(z.string()),
  expectedSeconds: z.number(),
  deadlineSeconds: z.optional(z.number()),
  value: z.number(),
  phase: taskPhaseSchema,
  /** Number of the current or latest run; 0 before the first assignment. */
  incarnation: z.int(),
  /** Worker of the current incarnation while the phase is `assigned`. */
  workerId: z.optional(z.string()),
  /** Zone of that worker; stored because the worker may not have reported to this owner yet. */
  zone: z.optional(z.string()),
  /** Last reported checkpoint, from which the next incarnation resumes. */
  checkpoint: z.optional(z.string()),
  /** Set when the owner has decided to stop the current incarnation. */
  stopReason: z.optional(stopReasonSchema),
  /** Worker of each failed start. A worker repeats only when the pool has no untried worker. */
  failedWorkers: z.array(z.string()),
  /** Set in the phase `failed`. */
  failure: z.optional(failureSchema),
  /** Position in the submission order of the shard. */
  sequence: z.int(),
});
export type TaskRow = z.infer<typeof taskSchema>;

/** Returns a copy without the optional fields; rows in the store never hold undefined values. */
export function removeTaskFields(
  task: TaskRow,
  fields: readonly ('workerId' | 'zone' | 'stopReason')[],
): TaskRow {
  const remaining = Object.entries(task).filter(
    ([name]) => !fields.some((field) => field === name),
  );
  return Object.fromEntries(remaining) as TaskRow;
}

export function isTaskOpen(task: TaskRow): boolean {
  return task.phase === 'queued' || task.phase === 'assigned';
}
