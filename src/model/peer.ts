import * as z from 'zod/mini';
import { failureSchema } from '../base/common/errors.ts';
import { configurationSchema } from './configuration.ts';
import { endpointReportSchema } from './endpoint.ts';
import { keyRecordSchema } from './key.ts';
import { responseSchema } from './request.ts';

/** Calls between entries. */
export const peerCallSchema = z.discriminatedUnion('kind', [
  /** Endpoint changes of the agents whose home entry is the sender; all endpoints when `full`. */
  z.object({
    kind: z.literal('sync'),
    entryId: z.string(),
    entryBootId: z.string(),
    /** Increases with each sync of a boot. */
    seq: z.int(),
    full: z.boolean(),
    /** `ageMs` is the time since the agent's last exchange. */
    endpoints: z.array(z.object({ report: endpointReportSchema, ageMs: z.number() })),
    removed: z.array(z.string()),
    /** Revision of the configuration in force at the sender. */
    configRevision: z.int(),
  }),
  /** Requests the peer's configuration when the store is unavailable or the peer's is newer. */
  z.object({ kind: z.literal('getConfig') }),
  /** Claims an idempotency key for a request; `copy` marks the primary's copy to the secondary. */
  z.object({
    kind: z.literal('claimKey'),
    key: z.string(),
    /**
     * Hash of route, method, path and body, because a key must not be reused for another request.
     */
    fingerprint: z.int(),
    requestId: z.string(),
    isRepeat: z.boolean(),
    copy: z.boolean(),
    /** Entry that serves the request; the sender when absent. */
    claimant: z.optional(z.string()),
  }),
  z.object({
    kind: z.literal('settleKey'),
    key: z.string(),
    requestId: z.string(),
    /** Required by a replica without a record of the claim to store the outcome. */
    fingerprint: z.optional(z.int()),
    /** `notRun` releases the key; a stored response answers later requests with the same key. */
    outcome: z.enum(['notRun', 'answered', 'unknown']),
    response: z.optional(responseSchema),
    copy: z.boolean(),
  }),
  /** Hands off key records to an entry that has become a replica of the keys. */
  z.object({
    kind: z.literal('handKeys'),
    records: z.array(keyRecordSchema),
    /** How far back the records reach, in ms; present in the last message of a stopping replica. */
    coveredMs: z.optional(z.number()),
  }),
  /** A job call for the owner of a shard, which validates the payload. */
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
    /** Whether the replica has the key's full history within the deduplication window. */
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
