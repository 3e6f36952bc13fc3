import * as z from 'zod/mini';

/** Reasons for which a request, a job or a call is refused or fails. */
export const errorKindSchema = z.enum([
  'bad_request',
  'no_route',
  'body_too_large',
  'queue_full',
  'deadline_exceeded_before_run',
  'deadline_exceeded_running',
  'no_endpoint',
  'endpoint_busy',
  'endpoint_draining',
  'endpoint_failed',
  'zone_out',
  'shutting_down',
  'request_in_progress',
  'key_reused',
  'outcome_unknown',
  'answer_too_large',
  'store_unavailable',
  'no_owner',
  'not_owner',
  'config_invalid',
  'config_conflict',
  'job_unknown',
  'job_never_runs',
  'job_cancelled',
  'quota_exceeded',
  'stale_proof',
  'stale_epoch',
  'agent_restarted',
  'internal',
]);
export type ErrorKind = z.infer<typeof errorKindSchema>;

/** Whether the work of a failed call was executed. */
export type RanState = 'no' | 'yes' | 'unknown';

/** How an error kind is reported to a caller. */
export interface ErrorAnswer {
  readonly status: number;
  /** Whether a later retry of the same call may succeed. */
  readonly retryable: boolean;
  readonly ran: RanState;
}

/** Answers by error kind. The compiler checks that every kind has one. */
export const ERROR_ANSWERS: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  bad_request: { status: 400, retryable: false, ran: 'no' },
  no_route: { status: 404, retryable: false, ran: 'no' },
  body_too_large: { status: 413, retryable: false, ran: 'no' },
  queue_full: { status: 429, retryable: true, ran: 'no' },
  deadline_exceeded_before_run: { status: 504, retryable: true, ran: 'no' },
  deadline_exceeded_running: { status: 504, retryable: false, ran: 'unknown' },
  no_endpoint: { status: 503, retryable: true, ran: 'no' },
  endpoint_busy: { status: 503, retryable: true, ran: 'no' },
  endpoint_draining: { status: 503, retryable: true, ran: 'no' },
  endpoint_failed: { status: 502, retryable: false, ran: 'unknown' },
  zone_out: { status: 503, retryable: true, ran: 'no' },
  shutting_down: { status: 503, retryable: true, ran: 'no' },
  request_in_progress: { status: 409, retryable: true, ran: 'unknown' },
  key_reused: { status: 422, retryable: false, ran: 'no' },
  outcome_unknown: { status: 502, retryable: false, ran: 'unknown' },
  answer_too_large: { status: 502, retryable: false, ran: 'yes' },
  store_unavailable: { status: 503, retryable: true, ran: 'no' },
  no_owner: { status: 503, retryable: true, ran: 'no' },
  not_owner: { status: 503, retryable: true, ran: 'no' },
  config_invalid: { status: 422, retryable: false, ran: 'no' },
  config_conflict: { status: 409, retryable: false, ran: 'no' },
  job_unknown: { status: 404, retryable: false, ran: 'no' },
  job_never_runs: { status: 422, retryable: false, ran: 'no' },
  job_cancelled: { status: 503, retryable: true, ran: 'no' },
  quota_exceeded: { status: 429, retryable: true, ran: 'no' },
  stale_proof: { status: 503, retryable: true, ran: 'no' },
  stale_epoch: { status: 409, retryable: false, ran: 'no' },
  agent_restarted: { status: 503, retryable: true, ran: 'unknown' },
  internal: { status: 500, retryable: false, ran: 'unknown' },
};

export const failureSchema = z.object({
  kind: errorKindSchema,
  message: z.string(),
});
/** An error in messages and table rows. */
export type Failure = z.infer<typeof failureSchema>;

export function createFailure(kind: ErrorKind, message: string): Failure {
  return { kind, message };
}
