import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Disposable } from '../../base/common/disposable.ts';
import type { Counters } from '../../base/common/counters.ts';
import { getHttpPort, openHttpServer } from '../../base/node/httpListening.ts';
import type { GaugeSample, Metrics } from '../../base/node/metrics.ts';

export interface StatusSource {
  readonly counters: Counters;
  readonly metrics: Metrics;
  readonly listGauges: () => readonly GaugeSample[];
}

/** Serves a request; returns false for paths that it does not handle. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => boolean;

/** HTTP server for the metrics page and the additional paths of a role. */
export class StatusServer implements Disposable {
  private constructor(private readonly server: Server) {}

  static async create(
    { host, port }: { readonly host: string; readonly port: number },
    source: StatusSource,
    handler: RequestHandler,
  ): Promise<StatusServer> {
    const server = createServer((request, response) => {
      if (request.url === '/metrics') {
        void source.metrics.render(source.counters.list(), source.listGauges()).then((page) => {
          response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(page);
        });
      } else if (!handleRequest(handler, request, response)) {
        response.writeHead(404).end();
      }
    });
    await openHttpServer(server, host, port);
    return new StatusServer(server);
  }

  get port(): number {
    return getHttpPort(this.server);
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** Answers a request whose handler throws, and passes the exception on. */
function handleRequest(
  handler: RequestHandler,
  request: IncomingMessage,
  response: ServerResponse,
): boolean {
  try {
    return handler(request, response);
  } catch (error) {
    response.writeHead(500).end();
    throw error;
  }
}
