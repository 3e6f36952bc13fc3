import type { JobCall } from '../../model/effects.ts';
import type { JsonRequest } from './jsonServer.ts';
import { decodePathSegment } from './requestPath.ts';

/** Path of the job interface on the callers' port. Routes cannot use it. */
export const JOB_PATH = '/bramleyladder/v1/jobs';

/**
 * Parses a job call: `POST /jobs` submits, `GET /jobs/<id>` reads the status, `DELETE /jobs/<id>`
 * cancels. Returns undefined for other paths and methods.
 */
export function parseJobCall(request: JsonRequest): JobCall | undefined {
  if (request.path === JOB_PATH && request.method === 'POST')
    return { kind: 'submit', submission: request.body };
  if (!request.path.startsWith(`${JOB_PATH}/`)) return undefined;
  const jobId = decodePathSegment(request.path.slice(JOB_PATH.length + 1));
  if (jobId === undefined) return undefined;
  if (request.method === 'GET') return { kind: 'status', jobId };
  if (request.method === 'DELETE') return { kind: 'cancel', jobId };
  return undefined;
}
