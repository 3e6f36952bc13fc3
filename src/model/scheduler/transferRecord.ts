import * as z from 'zod/mini';

/**
 * A transfer as the owner stores it: before its order may be sent, and for as long as the instance is
 * away from its spare pool.
 */
export const transferRecordSchema = z.object({
  home: z.string(),
  pool: z.string(),
  heading: z.enum(['out', 'home']),
  isSettled: z.boolean(),
});
export type TransferRecord = z.infer<typeof transferRecordSchema>;
