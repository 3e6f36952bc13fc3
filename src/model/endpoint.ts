import * as z from 'zod/mini';
import { nameSchema } from './configuration.ts';

/** What an endpoint announces to the agent beside it. */
export const endpointAnnouncementSchema = z.strictObject({
  name: nameSchema,
  service: nameSchema,
  /** Origin on the same instance, for example `http://127.0.0.1:9000`. */
  origin: z.string().check(z.regex(/^http:\/\//, 'must be an http origin')),
  /** Requests that the endpoint runs at the same time. */
  slots: z.int().check(z.minimum(1), z.maximum(10_000)),
  connections: z.int().check(z.minimum(1), z.maximum(100_000)),
});
export type EndpointAnnouncement = z.infer<typeof endpointAnnouncementSchema>;

/** Load of an endpoint as its agent sees it, carried on answers and reports. */
export const loadSignalSchema = z.object({
  /** Attempts running at the endpoint, from all entries. */
  running: z.int(),
  /** Attempts waiting at the agent. */
  waiting: z.int(),
  /** Smoothed time that the endpoint takes, in milliseconds. */
  latencyMs: z.number(),
});
export type LoadSignal = z.infer<typeof loadSignalSchema>;

/** An endpoint as an agent reports it and as entries pass it on. */
export const endpointReportSchema = z.object({
  /** Agent id and endpoint name. */
  id: z.string(),
  service: z.string(),
  region: z.string(),
  zone: z.string(),
  agentId: z.string(),
  agentBootId: z.string(),
  agentAddress: z.string(),
  slots: z.int(),
  connections: z.int(),
  draining: z.boolean(),
  /** Grows with each change that the agent makes within one boot. */
  version: z.int(),
  load: loadSignalSchema,
});
export type EndpointReport = z.infer<typeof endpointReportSchema>;

/** An endpoint as an entry sees it. */
export const endpointRowSchema = z.extend(endpointReportSchema, {
  /** Entry's time at which the endpoint was last confirmed by its agent or a peer. */
  confirmedMs: z.number(),
  /** Attempts of this entry that are in progress there. */
  inFlight: z.int(),
  /** Smoothed time of this entry's attempts, link included, in milliseconds. */
  roundTripMs: z.number(),
  /** Failed attempts in a row. */
  failuresInRow: z.int(),
  /** Entry's time until which the endpoint is ejected; 0 when it is in use. */
  ejectedUntilMs: z.number(),
});
export type EndpointRow = z.infer<typeof endpointRowSchema>;

/** What the routing of an entry has learnt about an endpoint; kept apart from what agents report. */
export const endpointHealthRowSchema = z.object({
  id: z.string(),
  /** Attempts of other entries there, as of the last answer. */
  othersLoad: z.number(),
  /** Entry's time of the last answer that carried a load signal or a rejection. */
  loadMs: z.number(),
  /** Entry's time since which attempts are in progress without any answer; 0 when none are. */
  silentSinceMs: z.number(),
  /** Answers since the endpoint was last admitted. */
  samples: z.int(),
  /** Ejections without a stable period in between. */
  ejections: z.int(),
});
export type EndpointHealthRow = z.infer<typeof endpointHealthRowSchema>;
