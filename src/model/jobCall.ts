import * as z from 'zod/mini';

/** A job call that an entry forwards to the owner of the shard, which validates the submission. */
export const jobCallSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('submit'), submission: z.unknown() }),
  z.object({ kind: z.literal('status'), jobId: z.string() }),
  z.object({ kind: z.literal('cancel'), jobId: z.string() }),
]);
