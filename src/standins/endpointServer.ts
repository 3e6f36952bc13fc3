import type { Server } from 'node:http';
import { createServer } from 'node:http';
import type { Disposable } from '../base/common/disposable.ts';
import type { Timer } from '../base/common/loop.ts';
import { getHttpPort, openHttpServer } from '../base/node/httpListening.ts';

export interface EndpointServerOptions {
  readonly host: string;
  readonly port: number;
  readonly name: string;
  readonly timer: Timer;
}

/** HTTP stand-in of a service's endpoint. Answers requests with its name and the body's size. */
export class EndpointServer implements Disposable {
  /** Delay from the end of a request to its answer. */
  serviceMs = 0;
  /** HTTP status of each answer. */
  status = 200;
  /** While set, requests are never answered. */
  isSilent = false;
  /** Number of requests by the header `x-request-key`, to detect repeated executions. */
  readonly requestCountsByKey = new Map<string, number>();
  /** Number of requests in progress, and its maximum so far. */
  activeRequests = 0;
  maxActiveRequests = 0;

  private readonly server: Server;

  private constructor(private readonly options: EndpointServerOptions) {
    this.server = createServer((request, response) => {
      const key = request.headers['x-request-key'];
      if (typeof key === 'string')
        this.requestCountsByKey.set(key, (this.requestCountsByKey.get(key) ?? 0) + 1);
      this.activeRequests += 1;
      this.maxActiveRequests = Math.max(this.maxActiveRequests, this.activeRequests);
      response.on('close', () => {
        this.activeRequests -= 1;
      });
      let size = 0;
      request.on('data', (chunk: Buffer) => {
        size += chunk.byteLength;
      });
      request.on('end', () => {
        if (this.isSilent) return;
        options.timer.schedule(this.serviceMs, () => {
          const body = JSON.stringify({
            endpoint: options.name,
            path: request.url,
            bodyBytes: size,
            key,
          });
          response.writeHead(this.status, { 'content-type': 'application/json' }).end(body);
        });
      });
    });
  }

  static async create(options: EndpointServerOptions): Promise<EndpointServer> {
    const endpoint = new EndpointServer(options);
    await openHttpServer(endpoint.server, options.host, options.port);
    return endpoint;
  }

  get origin(): string {
    return `http://${this.options.host}:${getHttpPort(this.server)}`;
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
