import * as z from 'zod/mini';
import { resourcesSchema } from './resources.ts';
import { runReportSchema, usageSampleSchema } from './worker.ts';

/**
 * Calls of the platform's worker. All lease ends are absolute times on the worker's monotonic
 * clock, so a delayed call cannot extend a lease.
 */
export const workerCallSchema = z.discriminatedUnion('op', [
  z.object({ op: z.literal('status') }),
  z.object({
    op: z.literal('start'),
    taskId: z.string(),
    incarnation: z.int(),
    taskKind: z.string(),
    demand: resourcesSchema,
    command: z.array(z.string()),
    checkpoint: z.optional(z.string()),
    /** The worker refuses the start after this time. */
    startBefore: z.number(),
    leaseUntil: z.number(),
  }),
  z.object({
    op: z.literal('renew'),
    leaseUntil: z.number(),
    runs: z.array(z.object({ taskId: z.string(), incarnation: z.int() })),
  }),
  z.object({ op: z.literal('checkpoint'), taskId: z.string(), incarnation: z.int() }),
  z.object({
    op: z.literal('throttle'),
    taskId: z.string(),
    incarnation: z.int(),
    share: z.number(),
  }),
  z.object({
    op: z.literal('stop'),
    taskId: z.string(),
    incarnation: z.int(),
    withCheckpoint: z.boolean(),
  }),
  z.object({ op: z.literal('forget'), taskId: z.string(), incarnation: z.int() }),
]);
export type WorkerCall = z.infer<typeof workerCallSchema>;

export const workerStatusSchema = z.object({
  workerId: z.string(),
  bootId: z.string(),
  rack: z.string(),
  capacity: resourcesSchema,
  /** Reading of the worker's monotonic clock when it created this status. */
  clockMs: z.number(),
  runs: z.array(runReportSchema),
  samples: z.array(usageSampleSchema),
});
export type WorkerStatus = z.infer<typeof workerStatusSchema>;

export const workerReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('status'), status: workerStatusSchema }),
  z.object({ kind: z.literal('done') }),
  /** The worker rejected the call. */
  z.object({ kind: z.literal('refused'), reason: z.string() }),
]);
export type WorkerReply = z.infer<typeof workerReplySchema>;
