import * as z from 'zod/mini';

/**
 * A transfer as the owner stores it: from before its command may be sent until the instance is back
 * in its spare pool.
 */
export const transferRecordSchema = z.object({
  home: z.string(),
  pool: z.string(),
  heading: z.enum(['out', 'home']),
  isSettled: z.boolean(),
});
export type TransferRecord = z.infer<typeof transferRecordSchema>;
