import * as z from 'zod/mini';
import { failureSchema } from '../base/common/errors.ts';
import { endpointReportSchema } from './endpoint.ts';
import { workerCommandSchema, workerReportSchema } from './worker.ts';

/** An entry as other processes know it. */
export const entryInfoSchema = z.object({
  id: z.string(),
  region: z.string(),
  zone: z.string(),
  /** Address of its gRPC server, `ip:port`. */
  address: z.string(),
});
export type EntryInfo = z.infer<typeof entryInfoSchema>;

/** Agent to an entry, about once a second on each link; the entry may hold the answer for up to `waitMs`. */
export const exchangeRequestSchema = z.object({
  agentId: z.string(),
  agentBootId: z.string(),
  agentAddress: z.string(),
  region: z.string(),
  zone: z.string(),
  /** Grows with each exchange of one boot; an older one changes nothing. */
  seq: z.int(),
  waitMs: z.number(),
  /** Revision that the agent has in force. */
  configRevision: z.int(),
  /** Hash of the entry list that the agent knows. */
  entriesDigest: z.int(),
  /** Highest epoch of the shard's owner that the agent has adopted. */
  epoch: z.int(),
  /** Present on the link to the home entry. */
  endpoints: z.optional(z.array(endpointReportSchema)),
  /** Worker beside the agent, once it is known; the reply names the owner of its shard. */
  workerId: z.optional(z.string()),
  /** Present on the link to the owner of the worker's shard. */
  worker: z.optional(workerReportSchema),
});
export type ExchangeRequest = z.infer<typeof exchangeRequestSchema>;

/** The part of the configuration that an agent needs. */
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
  /** Owner of the worker's shard, as far as the answering entry knows. */
  ownerAddress: z.optional(z.string()),
  /** Present in answers of the owner. */
  owner: z.optional(
    z.object({
      epoch: z.int(),
      /** Lease for every run that is listed, counted from the worker clock sample of the request. */
      leaseMs: z.number(),
      renewed: z.array(z.object({ taskId: z.string(), incarnation: z.int() })),
      commands: z.array(workerCommandSchema),
    }),
  ),
});
export type ExchangeReply = z.infer<typeof exchangeReplySchema>;
