import type { Either } from 'purify-ts/Either';
import { Right } from 'purify-ts/Either';
import { createFailure } from '../../base/common/errors.ts';
import { formatFaults } from '../../base/common/parse.ts';
import type { JsonAnswer } from '../../model/effects.ts';
import { parseJobSpec } from '../../model/scheduler/jobSpecInput.ts';
import type { QueueAnswer, QueueCall } from '../../model/scheduler/queueCall.ts';
import type { QueueConfiguration } from '../../model/scheduler/queueConfiguration.ts';
import type { JsonRequest } from './jsonServer.ts';
import { decodePathSegment } from './requestPath.ts';
import { readTimeoutMs } from './timeoutHeader.ts';

/** Path of the queues on the port of the queue front; `/<queue>/jobs/<id>` follows. */
export const QUEUE_PATH = '/v1/queues';
/** Used when a request has no timeout header; equal to the platform's default. */
const DEFAULT_DEADLINE_MS = 3_000;

/** A decoded request in the form that the scheduler accepts. */
export interface QueueRequest {
  readonly host: string;
  readonly path: string;
  readonly call: QueueCall;
  readonly deadlineMs: number;
}

/** The queue and the job that a request and its answer refer to. */
interface QueueSubject {
  readonly queue: string;
  /** Undefined when the request is about the queue itself. */
  readonly jobId: string | undefined;
}

export interface DecodedQueueRequest {
  readonly subject: QueueSubject;
  readonly request: QueueRequest;
}

/**
 * Decodes `PUT`, `GET` and `DELETE /v1/queues/<queue>/jobs/<id>` and `GET /v1/queues/<queue>`.
 * Returns undefined for other paths and methods; the left side is the answer to an invalid body.
 */
export function decodeQueueRequest(
  request: JsonRequest,
  configuration: QueueConfiguration | undefined,
): Either<JsonAnswer, DecodedQueueRequest> | undefined {
  const subject = decodeSubject(request.path);
  if (subject === undefined) return undefined;
  return decodeCall(request, subject)?.map((call) => ({
    subject,
    request: {
      ...resolveAddress(configuration, subject, request.path),
      call,
      deadlineMs: readTimeoutMs(request.headers) ?? DEFAULT_DEADLINE_MS,
    },
  }));
}

function decodeSubject(path: string): QueueSubject | undefined {
  if (!path.startsWith(`${QUEUE_PATH}/`)) return undefined;
  const [encodedQueue = '', collection, id, ...rest] = path.slice(QUEUE_PATH.length + 1).split('/');
  const queue = decodePathSegment(encodedQueue);
  if (queue === undefined || queue === '' || rest.length > 0) return undefined;
  if (collection === undefined) return { queue, jobId: undefined };
  // An id with percent escapes is never valid. It stays encoded so that it cannot resolve to the
  // path of another queue.
  return collection === 'jobs' && id !== undefined ? { queue, jobId: id } : undefined;
}

function decodeCall(
  { method, body }: JsonRequest,
  { jobId }: QueueSubject,
): Either<JsonAnswer, QueueCall> | undefined {
  if (method === 'GET') return Right({ kind: 'read' });
  if (jobId === undefined) return undefined;
  if (method === 'DELETE') return Right({ kind: 'cancel' });
  if (method !== 'PUT') return undefined;
  return parseJobSpec(body).bimap(
    (faults): JsonAnswer => ({
      kind: 'failure',
      failure: createFailure('bad_request', formatFaults(faults)),
      details: faults,
    }),
    (spec): QueueCall => ({ kind: 'submit', spec }),
  );
}

/**
 * Resolves the host and path of a queue. An unknown queue keeps the path of the request, so that
 * the scheduler refuses it.
 */
function resolveAddress(
  configuration: QueueConfiguration | undefined,
  subject: QueueSubject,
  path: string,
): { readonly host: string; readonly path: string } {
  const queue = configuration?.queues.find(({ name }) => name === subject.queue);
  return queue === undefined
    ? { host: '', path }
    : { host: queue.host, path: `${queue.prefix}${subject.jobId ?? ''}` };
}

/** Encodes an answer of the scheduler as the JSON answer to the caller. */
export function encodeQueueAnswer(
  answer: QueueAnswer,
  { queue, jobId }: DecodedQueueRequest['subject'],
): JsonAnswer {
  switch (answer.kind) {
    case 'accepted':
    case 'cancelled':
      return { kind: 'value', value: { jobId, accepted: true } };
    case 'phase':
      return { kind: 'value', value: { jobId, phase: answer.phase } };
    case 'count':
      return { kind: 'value', value: { queue, waiting: answer.waiting } };
    case 'gone':
      return { kind: 'failure', failure: createFailure('job_unknown', 'no job has this id') };
    case 'refused':
      return {
        kind: 'failure',
        failure: createFailure(answer.error, answer.message),
        ...(answer.retryAfterMs === undefined ? {} : { retryAfterMs: answer.retryAfterMs }),
      };
  }
}
