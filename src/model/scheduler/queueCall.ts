import * as z from 'zod/mini';
import { errorKindSchema } from '../../base/common/errors.ts';
import { jobPhaseSchema } from './jobRecord.ts';
import { jobSpecSchema } from './jobSpec.ts';

/** A caller's call. The path after the queue's prefix names the job; an empty rest addresses the queue. */
export const queueCallSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('submit'), spec: jobSpecSchema }),
  z.object({ kind: z.literal('read') }),
  z.object({ kind: z.literal('cancel') }),
]);
export type QueueCall = z.infer<typeof queueCallSchema>;

/** The answer to a {@link QueueCall}. */
export const queueAnswerSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('accepted') }),
  z.object({ kind: z.literal('cancelled') }),
  z.object({ kind: z.literal('phase'), phase: jobPhaseSchema }),
  z.object({ kind: z.literal('count'), waiting: z.number() }),
  z.object({ kind: z.literal('gone') }),
  z.object({
    kind: z.literal('refused'),
    error: errorKindSchema,
    message: z.string(),
    retryAfterMs: z.optional(z.number()),
  }),
]);
export type QueueAnswer = z.infer<typeof queueAnswerSchema>;
