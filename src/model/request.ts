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

/** An HTTP response with its complete body. */
export const responseSchema = z.object({
  status: z.int(),
  headers: headersSchema,
  body: bytesSchema,
});
export type Response = z.infer<typeof responseSchema>;

/** A request with its complete body, as the HTTP front passes it to the entry. */
export const callerRequestSchema = z.object({
  requestId: z.string(),
  method: httpMethodSchema,
  host: z.string(),
  /** Path with query. */
  path: z.string(),
  headers: headersSchema,
  body: bytesSchema,
  idempotencyKey: z.optional(z.string()),
  /** Whether the caller has marked the request as a possible repeat of an earlier one. */
  isRepeat: z.boolean(),
  /**
   * Timeout that the caller requests, in milliseconds; the deadline of the route is the maximum.
   */
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

/** A caller's request that the entry has not answered yet. */
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
  /** Earliest time of the next attempt in the phase `backing-off`. */
  notBeforeMs: z.number(),
  attempts: z.int(),
  /** Endpoints at which an attempt of this request was rejected or failed. */
  triedEndpoints: z.array(z.string()),
  /** Whether any attempt may have run, the open one included. */
  mayHaveRun: z.boolean(),
  /** Whether any completed attempt may have run; `mayHaveRun` also includes the open attempt. */
  hasRunBefore: z.optional(z.boolean()),
  /** Whether replicas of the idempotency key may hold a claim of this request. */
  hasClaim: z.optional(z.boolean()),
  /** Failure of the last attempt that was retried. */
  lastFailure: z.optional(failureSchema),
});
export type RequestRow = z.infer<typeof requestRowSchema>;

export const attemptPhaseSchema = z.enum(['sent', 'resending', 'done', 'abandoned']);

/** One attempt to run a request at one endpoint. */
export const attemptRowSchema = z.object({
  id: z.string(),
  requestId: z.string(),
  endpointId: z.string(),
  agentBootId: z.string(),
  phase: attemptPhaseSchema,
  sentMs: z.number(),
  /** Number of sends to the same agent; the entry resends when no reply arrives. */
  sends: z.int(),
  /**
   * Address of the agent; set when a resend is scheduled, because the endpoint's row may be
   * removed.
   */
  agentAddress: z.optional(z.string()),
  /** Time of the next send in the phase `resending`. */
  resendAtMs: z.optional(z.number()),
});
export type AttemptRow = z.infer<typeof attemptRowSchema>;

/**
 * Entry to agent: runs an attempt at most once. A duplicate with the same id receives the reply of
 * the first message.
 */
export const attemptMessageSchema = z.object({
  attemptId: z.string(),
  requestId: z.string(),
  endpointId: z.string(),
  agentBootId: z.string(),
  /** Time until the deadline when the message is sent, in milliseconds. */
  remainingMs: z.number(),
  method: httpMethodSchema,
  path: z.string(),
  headers: headersSchema,
  body: bytesSchema,
  maxResponseBytes: z.int(),
  /** Whether the agent may cancel the running attempt when the entry abandons it. */
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

/** Entry to agent: abandons an attempt whose response is no longer needed. */
export const abandonMessageSchema = z.object({ attemptId: z.string() });
