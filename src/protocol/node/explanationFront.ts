import type { IncomingMessage, ServerResponse } from 'node:http';
import type { JobExplanation } from '../../model/scheduler/jobExplanation.ts';
import { readRequestTarget } from './requestPath.ts';

/** Path prefix of job explanations, requested by the command line; the job id follows. */
export const EXPLAIN_PATH = '/v1/explain/job/';

/** Serves the explanation of a job without side effects; returns false for other paths. */
export function serveExplanation(
  request: IncomingMessage,
  response: ServerResponse,
  source: { explain(jobId: string): JobExplanation },
): boolean {
  const { path } = readRequestTarget(request.url);
  if (!path.startsWith(EXPLAIN_PATH)) return false;
  if (request.method !== 'GET') {
    response.writeHead(405, { allow: 'GET' }).end();
    return true;
  }
  const explanation = source.explain(path.slice(EXPLAIN_PATH.length));
  response
    .writeHead(explanation.kind === 'unknown' ? 404 : 200, { 'content-type': 'application/json' })
    .end(JSON.stringify(explanation));
  return true;
}
