import * as z from 'zod/mini';
import { failureSchema } from '../base/common/errors.ts';
import { configurationSchema } from './configuration.ts';
import { endpointReportSchema } from './endpoint.ts';
import { keyRecordSchema } from './key.ts';
import { responseSchema } from './request.ts';

/** Calls between entries. */
export const peerCallSchema = z.discriminatedUnion('kind', [
  /** Endpoint changes of the sender's own agents; the whole list when `full`. */
  z.object({
    kind: z.literal('sync'),
    entryId: z.string(),
    entryBootId: z.string(),
    /** Grows with each sync of one boot. */
    seq: z.int(),
    full: z.boolean(),
    /** Endpoints whose agents exchange with the sender. `ageMs` is the time since the agent's last word. */
    endpoints: z.array(z.object({ report: endpointReportSchema, ageMs: z.number() })),
    removed: z.array(z.string()),
    /** Revision of the sender's confirmed configuration. */
    configRevision: z.int(),
  }),
  /** Asks for the peer's confirmed configuration, when the store cannot be reached. */
  z.object({ kind: z.literal('getConfig') }),
  /** Claims an idempotency key for a request; `copy` marks the primary's copy to the secondary. */
  z.object({
    kind: z.literal('claimKey'),
    key: z.string(),
    /** Hash of route, method, path and body: a key may not be used for another request. */
    fingerprint: z.int(),
    requestId: z.string(),
    isRepeat: z.boolean(),
    copy: z.boolean(),
    /** Entry that works on the request; the caller of the message when absent. */
    claimant: z.optional(z.string()),
  }),
  z.object({
    kind: z.literal('settleKey'),
    key: z.string(),
    requestId: z.string(),
    /** Lets a replica that has no record of the claim store the outcome. */
    fingerprint: z.optional(z.int()),
    /** `notRun` releases the key; a kept response answers later requests with the same key. */
    outcome: z.enum(['notRun', 'answered', 'unknown']),
    response: z.optional(responseSchema),
    copy: z.boolean(),
  }),
  /** Key records for an entry that has become a replica of them. */
  z.object({
    kind: z.literal('handKeys'),
    records: z.array(keyRecordSchema),
    /** Present on the last message of a stopping replica: how far back its records reach, in milliseconds. */
    coveredMs: z.optional(z.number()),
  }),
  /** A caller's or operator's call for the owner of a shard. The payload is validated by the owner. */
  z.object({ kind: z.literal('job'), shard: z.string(), call: z.unknown() }),
  z.object({ kind: z.literal('explain'), shard: z.string(), subject: z.string() }),
]);
export type PeerCall = z.infer<typeof peerCallSchema>;

export const peerReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('done') }),
  /** `seq` acknowledges a sync. */
  z.object({ kind: z.literal('synced'), seq: z.int(), configRevision: z.int() }),
  z.object({ kind: z.literal('config'), configuration: z.optional(configurationSchema) }),
  z.object({
    kind: z.literal('keyClaim'),
    state: z.enum(['granted', 'inProgress', 'answered', 'unknown', 'reused']),
    /** Whether the replica has the full history of the key in the deduplication window. */
    isCovered: z.optional(z.boolean()),
    response: z.optional(responseSchema),
  }),
  z.object({ kind: z.literal('json'), value: z.unknown() }),
  z.object({
    kind: z.literal('failure'),
    failure: failureSchema,
    details: z.optional(z.unknown()),
  }),
]);
export type PeerReply = z.infer<typeof peerReplySchema>;
