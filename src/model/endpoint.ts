import * as z from 'zod/mini';
import { addressSchema } from './address.ts';
import { nameSchema } from './configuration.ts';

/** Announcement of an endpoint to the agent on its instance. */
export const endpointAnnouncementSchema = z.strictObject({
  name: nameSchema,
  service: nameSchema,
  /** Origin on the same instance, for example `http://127.0.0.1:9000`. */
  origin: z.string().check(z.regex(/^http:\/\//, 'must be an http origin')),
  /** Maximum number of requests that the endpoint runs concurrently. */
  slots: z.int().check(z.minimum(1), z.maximum(10_000)),
  connections: z.int().check(z.minimum(1), z.maximum(100_000)),
});
export type EndpointAnnouncement = z.infer<typeof endpointAnnouncementSchema>;

/** Load of an endpoint as measured by its agent; part of attempt replies and endpoint reports. */
export const loadSignalSchema = z.object({
  /** Attempts running at the endpoint, from all entries. */
  running: z.int(),
  /** Attempts waiting at the agent. */
  waiting: z.int(),
  /** Smoothed time in which the endpoint answers, in milliseconds. */
  latencyMs: z.number(),
});
export type LoadSignal = z.infer<typeof loadSignalSchema>;

/** An endpoint as an agent reports it and as entries forward it to each other. */
export const endpointReportSchema = z.object({
  /** Agent id and endpoint name. */
  id: z.string(),
  service: z.string(),
  region: z.string(),
  zone: z.string(),
  agentId: z.string(),
  agentBootId: z.string(),
  agentAddress: addressSchema,
  slots: z.int(),
  connections: z.int(),
  draining: z.boolean(),
  /** Incremented by the agent with each change within one boot. */
  version: z.int(),
  load: loadSignalSchema,
});
export type EndpointReport = z.infer<typeof endpointReportSchema>;

/** An endpoint with the state that an entry has measured for it. */
export const endpointRowSchema = z.extend(endpointReportSchema, {
  /** Time of the last confirmation by the agent or a peer, on the entry's clock. */
  confirmedMs: z.number(),
  /** Attempts of this entry that are in progress at the endpoint. */
  inFlight: z.int(),
  /** Smoothed round-trip time of this entry's attempts, in milliseconds. */
  roundTripMs: z.number(),
  /** Consecutive failed attempts. */
  failuresInRow: z.int(),
  /** End of the ejection on the entry's clock; 0 when the endpoint is not ejected. */
  ejectedUntilMs: z.number(),
});
export type EndpointRow = z.infer<typeof endpointRowSchema>;

/** Health of an endpoint as measured by the routing of an entry; separate from agent reports. */
export const endpointHealthRowSchema = z.object({
  id: z.string(),
  /**
   * Smoothed number of attempts of other entries at the endpoint, updated with each load signal.
   */
  othersLoad: z.number(),
  /** Time of the last load signal or busy rejection, on the entry's clock. */
  loadMs: z.number(),
  /**
   * Time since which attempts are in progress without a reply, on the entry's clock; 0 when none
   * are.
   */
  silentSinceMs: z.number(),
  /** Successful responses since the last ejection of the endpoint. */
  samples: z.int(),
  /** Consecutive ejections without a stable period between them. */
  ejections: z.int(),
});
export type EndpointHealthRow = z.infer<typeof endpointHealthRowSchema>;
