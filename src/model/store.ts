import * as z from 'zod/mini';

/** A value with the version that compare-and-swap checks. Version 0 stands for a missing key. */
export const storeEntrySchema = z.object({
  key: z.string(),
  version: z.int(),
  value: z.unknown(),
});
export type StoreEntry = z.infer<typeof storeEntrySchema>;

/** Calls that the platform's store offers. Values are structured data; the client encodes them. */
export const storeCallSchema = z.discriminatedUnion('op', [
  /** `newerThan` makes an unchanged value cheap: the reply is `unchanged`. */
  z.object({ op: z.literal('read'), key: z.string(), newerThan: z.optional(z.int()) }),
  z.object({ op: z.literal('list'), prefix: z.string() }),
  /** Writes only if the key still has the expected version. */
  z.object({
    op: z.literal('write'),
    key: z.string(),
    expectedVersion: z.int(),
    value: z.unknown(),
    leaseId: z.optional(z.string()),
  }),
  z.object({ op: z.literal('delete'), key: z.string(), expectedVersion: z.int() }),
  z.object({ op: z.literal('grantLease'), ttlMs: z.int() }),
  z.object({ op: z.literal('renewLease'), leaseId: z.string() }),
  z.object({ op: z.literal('revokeLease'), leaseId: z.string() }),
  /** Returns when the key has a version greater than `newerThan`, or after `waitMs`. */
  z.object({ op: z.literal('watch'), key: z.string(), newerThan: z.int(), waitMs: z.int() }),
]);
export type StoreCall = z.infer<typeof storeCallSchema>;

export const storeReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('entry'), entry: storeEntrySchema }),
  z.object({ kind: z.literal('unchanged'), version: z.int() }),
  z.object({ kind: z.literal('entries'), entries: z.array(storeEntrySchema) }),
  z.object({ kind: z.literal('written'), version: z.int() }),
  /** The expected version did not match; `version` is the present one. */
  z.object({ kind: z.literal('conflict'), version: z.int() }),
  z.object({ kind: z.literal('lease'), leaseId: z.string() }),
  z.object({ kind: z.literal('leaseLost') }),
  z.object({ kind: z.literal('done') }),
  /** No answer, or an error: a write may or may not have taken effect. */
  z.object({ kind: z.literal('unavailable'), message: z.string() }),
]);
export type StoreReply = z.infer<typeof storeReplySchema>;
