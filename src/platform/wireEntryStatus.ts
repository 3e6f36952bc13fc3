import { serveExplanation } from '../protocol/node/explanationFront.ts';
import type { SchedulerDaemon } from '../daemons/schedulerDaemon.ts';
import type { RequestHandler } from '../protocol/node/statusServer.ts';

/** Serves the readiness of an entry for callers and the explanations of jobs. */
export function createEntryStatusHandler(daemon: SchedulerDaemon): RequestHandler {
  return (request, response) => {
    if (request.url === '/bramleyladder/ready') {
      response.writeHead(daemon.isReady ? 200 : 503).end();
      return true;
    }
    return serveExplanation(request, response, daemon);
  };
}
