import * as z from 'zod/mini';
import { failureSchema } from '../base/common/errors.ts';
import { addressSchema } from './address.ts';
import { endpointReportSchema } from './endpoint.ts';
import { workerCommandSchema, workerReportSchema } from './worker.ts';

/** Identity and address of an entry. */
export const entryInfoSchema = z.object({
  id: z.string(),
  region: z.string(),
  zone: z.string(),
  /** Address of its gRPC server. */
  address: addressSchema,
});
export type EntryInfo = z.infer<typeof entryInfoSchema>;

/**
 * Request of an agent to an entry, a long poll: the entry can delay the reply by up to `waitMs`.
 * Sent about once a second on each link.
 */
export const exchangeRequestSchema = z.object({
  agentId: z.string(),
  agentBootId: z.string(),
  agentAddress: addressSchema,
  region: z.string(),
  zone: z.string(),
  /** Increases with each exchange of a boot; an older exchange is not applied. */
  seq: z.int(),
  waitMs: z.number(),
  /** Revision of the configuration in force at the agent. */
  configRevision: z.int(),
  /** Hash of the agent's entry list. */
  entriesDigest: z.int(),
  /** Highest epoch of the shard's owner that the agent has adopted. */
  epoch: z.int(),
  /** Present on the link to the home entry. */
  endpoints: z.optional(z.array(endpointReportSchema)),
  /** Worker on the agent's instance, once it is known; the reply contains its shard's owner. */
  workerId: z.optional(z.string()),
  /** Present on the link to the owner of the worker's shard. */
  worker: z.optional(workerReportSchema),
});
export type ExchangeRequest = z.infer<typeof exchangeRequestSchema>;

/** Part of the configuration that an agent uses. */
export const agentConfigSchema = z.object({
  revision: z.int(),
  zonesOut: z.array(z.string()),
});
export type AgentConfig = z.infer<typeof agentConfigSchema>;

export const exchangeReplySchema = z.object({
  seq: z.int(),
  failure: z.optional(failureSchema),
  /** Present when newer than the agent's. */
  config: z.optional(agentConfigSchema),
  /** Present when the agent's digest differs. */
  entries: z.optional(z.array(entryInfoSchema)),
  /** Address of the owner of the worker's shard; absent when the entry does not know it. */
  ownerAddress: z.optional(addressSchema),
  /** Present in replies of the owner of the worker's shard. */
  owner: z.optional(
    z.object({
      epoch: z.int(),
      /** Lease of every renewed run, counted from the worker clock sample of the request. */
      leaseMs: z.number(),
      renewed: z.array(z.object({ taskId: z.string(), incarnation: z.int() })),
      commands: z.array(workerCommandSchema),
    }),
  ),
});
export type ExchangeReply = z.infer<typeof exchangeReplySchema>;
