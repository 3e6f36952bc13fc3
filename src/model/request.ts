import * as z from 'zod/mini';
import { failureSchema } from '../base/common/errors.ts';
import { httpMethodSchema, prioritySchema } from './configuration.ts';
import { loadSignalSchema } from './endpoint.ts';

export const bytesSchema = z.custom<Uint8Array>(
  (value) => value instanceof Uint8Array,
  'must be bytes',
);
export const headersSchema = z.array(z.tuple([z.string(), z.string()]));
export type Headers = z.infer<typeof headersSchema>;

/** A whole HTTP response. */
export const responseSchema = z.object({
  status: z.int(),
  headers: headersSchema,
  body: bytesSchema,
});
export type Response = z.infer<typeof responseSchema>;

/** A whole request as the HTTP front hands it over. */
export const callerRequestSchema = z.object({
  requestId: z.string(),
  method: httpMethodSchema,
  host: z.string(),
  /** Path with query. */
  path: z.string(),
  headers: headersSchema,
  body: bytesSchema,
  idempotencyKey: z.optional(z.string()),
  /** The caller says that it may have sent this request before. */
  isRepeat: z.boolean(),
  /** Deadline that the caller asks for, in milliseconds; the route's own deadline caps it. */
  timeoutMs: z.optional(z.number()),
});
export type CallerRequest = z.infer<typeof callerRequestSchema>;

export const requestPhaseSchema = z.enum([
  'claiming',
  'queued',
  'backing-off',
  'dispatched',
  'answered',
]);
export type RequestPhase = z.infer<typeof requestPhaseSchema>;

/** A caller's request while the entry works on it. */
export const requestRowSchema = z.object({
  id: z.string(),
  phase: requestPhaseSchema,
  route: z.string(),
  service: z.string(),
  idempotent: z.boolean(),
  priority: prioritySchema,
  request: callerRequestSchema,
  receivedMs: z.number(),
  deadlineMs: z.number(),
  /** Time at which the admission queue accepted the request; absent before the decision. */
  admittedMs: z.optional(z.number()),
  /** Earliest time of the next attempt while `backing-off`. */
  notBeforeMs: z.number(),
  attempts: z.int(),
  /** Endpoints that have rejected or failed this request. */
  triedEndpoints: z.array(z.string()),
  /** Whether some attempt may have run. */
  mayHaveRun: z.boolean(),
  /** Whether an attempt that is closed may have run; `mayHaveRun` also counts the open attempt. */
  hasRunBefore: z.optional(z.boolean()),
  /** Whether replicas of the idempotency key may have a claim of this request. */
  hasClaim: z.optional(z.boolean()),
  /** The most telling failure so far; the answer when nothing else can be tried. */
  lastFailure: z.optional(failureSchema),
});
export type RequestRow = z.infer<typeof requestRowSchema>;

export const attemptPhaseSchema = z.enum(['sent', 'resending', 'done', 'abandoned']);

/** One try of a request at one endpoint. */
export const attemptRowSchema = z.object({
  id: z.string(),
  requestId: z.string(),
  endpointId: z.string(),
  agentBootId: z.string(),
  phase: attemptPhaseSchema,
  sentMs: z.number(),
  /** Times that the message was sent to the same agent because no answer came. */
  sends: z.int(),
  /** Address of the agent; set when a resend is due, because the endpoint's row may go away. */
  agentAddress: z.optional(z.string()),
  /** Time of the next send while `resending`. */
  resendAtMs: z.optional(z.number()),
});
export type AttemptRow = z.infer<typeof attemptRowSchema>;

/** Entry to agent: run this attempt at most once. A copy with the same id joins the first. */
export const attemptMessageSchema = z.object({
  attemptId: z.string(),
  requestId: z.string(),
  endpointId: z.string(),
  agentBootId: z.string(),
  /** Time left for the attempt at sending, in milliseconds. */
  remainingMs: z.number(),
  method: httpMethodSchema,
  path: z.string(),
  headers: headersSchema,
  body: bytesSchema,
  maxResponseBytes: z.int(),
  /** Whether the agent may cancel the attempt while it runs, once it is abandoned. */
  idempotent: z.optional(z.boolean()),
});
export type AttemptMessage = z.infer<typeof attemptMessageSchema>;

/** Agent to entry: the outcome of an attempt. */
export const attemptReplySchema = z.object({
  attemptId: z.string(),
  load: z.optional(loadSignalSchema),
  outcome: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('response'), response: responseSchema }),
    /** Proven not to have run. */
    z.object({ kind: z.literal('rejected'), failure: failureSchema }),
    /** May have run. */
    z.object({ kind: z.literal('failed'), failure: failureSchema }),
  ]),
});
export type AttemptReply = z.infer<typeof attemptReplySchema>;

/** Entry to agent: the answer of this attempt is no longer wanted. */
export const abandonMessageSchema = z.object({ attemptId: z.string() });
