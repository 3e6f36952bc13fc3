import * as z from 'zod/mini';
import { failureSchema } from '../base/common/errors.ts';
import { nameSchema, prioritySchema } from './configuration.ts';
import { resourcesSchema } from './resources.ts';

export const workClassSchema = z.enum(['latency-critical', 'urgent', 'ordinary']);
export type WorkClass = z.infer<typeof workClassSchema>;

/** What a caller submits. */
export const jobSubmissionSchema = z.strictObject({
  team: nameSchema,
  /** Makes a repeated submission harmless: same team and key, same job. */
  idempotencyKey: z.string().check(z.minLength(1), z.maxLength(200)),
  pool: nameSchema,
  taskKind: nameSchema,
  demand: resourcesSchema,
  priority: z._default(prioritySchema, 'ordinary'),
  /** Declared run time in seconds; may be far off. */
  expectedSeconds: z._default(z.number().check(z.positive()), 60),
  /** Time after submission at which the result loses its value, in seconds. */
  deadlineSeconds: z.optional(z.number().check(z.positive())),
  /** Worth of finishing in time relative to other jobs. */
  value: z._default(z.number().check(z.positive()), 1),
  command: z._default(z.array(z.string()), []),
});
export type JobSubmission = z.infer<typeof jobSubmissionSchema>;

/**
 * Life of a task in the ledger. `assigned` covers everything between the write that names a worker
 * and the proof that the incarnation has stopped.
 */
export const taskPhaseSchema = z.enum(['queued', 'assigned', 'finished', 'failed', 'cancelled']);
export type TaskPhase = z.infer<typeof taskPhaseSchema>;

/** Why an assigned incarnation has to stop. */
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
 * A task as the ledger keeps it. A job is one batch task; a replica of a service is a task as well.
 * All times are counters of the owner's decisions, never clock readings.
 */
export const taskSchema = z.object({
  id: z.string(),
  pool: nameSchema,
  /** Set for replicas of a service. */
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
  /** Number of the current or last run; 0 before the first assignment. */
  incarnation: z.int(),
  /** Worker of the current incarnation while the phase is `assigned`. */
  workerId: z.optional(z.string()),
  /** Zone of that worker, known also when the worker has not reported to this owner. */
  zone: z.optional(z.string()),
  /** Last checkpoint that a worker reported; the next incarnation resumes from it. */
  checkpoint: z.optional(z.string()),
  /** Set when the owner wants the current incarnation stopped. */
  stopReason: z.optional(stopReasonSchema),
  /** Worker of each failed start; repeated only in a pool without an untried worker. */
  failedWorkers: z.array(z.string()),
  /** Set in the phase `failed`. */
  failure: z.optional(failureSchema),
  /** Order of submission within the shard. */
  sequence: z.int(),
});
export type TaskRow = z.infer<typeof taskSchema>;

/** A copy of the row without some optional fields; rows in the store never hold undefined values. */
export function removeTaskFields(
  task: TaskRow,
  fields: readonly ('workerId' | 'zone' | 'stopReason')[],
): TaskRow {
  const kept = Object.entries(task).filter(([name]) => !fields.some((field) => field === name));
  return Object.fromEntries(kept) as TaskRow;
}

export function isTaskOpen(task: TaskRow): boolean {
  return task.phase === 'queued' || task.phase === 'assigned';
}
