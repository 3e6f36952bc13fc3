import type { IncomingMessage, ServerResponse } from 'node:http';
import type { JobExplanation } from '../../model/scheduler/jobExplanation.ts';
import { readRequestTarget } from './requestPath.ts';

/** Path before the id of the job; the command line asks there. */
export const EXPLAIN_PATH = '/v1/explain/job/';

/** Answers a question about a job; false when the path is another. Nothing changes by it. */
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
