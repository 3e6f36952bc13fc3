import * as z from 'zod/mini';

/** A job call as one entry forwards it to another. The submission is validated by the owner. */
export const jobCallSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('submit'), submission: z.unknown() }),
  z.object({ kind: z.literal('status'), jobId: z.string() }),
  z.object({ kind: z.literal('cancel'), jobId: z.string() }),
]);
