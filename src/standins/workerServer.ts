import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Disposable } from '../base/common/disposable.ts';
import type { Timer } from '../base/common/loop.ts';
import { formatFaults, parseValue } from '../base/common/parse.ts';
import { workerCallSchema } from '../model/workerCall.ts';
import type { MemoryWorker } from './memoryWorker.ts';
import { getHttpPort, openHttpServer } from '../base/node/httpListening.ts';

export interface WorkerServerOptions {
  readonly host: string;
  readonly port: number;
  readonly worker: MemoryWorker;
  readonly timer: Timer;
}

/** HTTP stand-in of the platform's worker. Accepts JSON calls posted to `/v1/call`. */
export class WorkerServer implements Disposable {
  /** Delay of every answer. */
  delayMs = 0;

  private readonly server: Server;

  private constructor(private readonly options: WorkerServerOptions) {
    this.server = createServer((request, response) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        this.receive(request, Buffer.concat(chunks), response);
      });
    });
  }

  static async create(options: WorkerServerOptions): Promise<WorkerServer> {
    const server = new WorkerServer(options);
    await openHttpServer(server.server, options.host, options.port);
    return server;
  }

  get origin(): string {
    return `http://${this.options.host}:${getHttpPort(this.server)}`;
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private receive(request: IncomingMessage, bytes: Buffer, response: ServerResponse): void {
    if (request.method !== 'POST' || request.url !== '/v1/call') {
      response.writeHead(404).end();
      return;
    }
    let value: unknown;
    try {
      value = JSON.parse(bytes.toString('utf8'));
    } catch {
      response.writeHead(400).end('the body is not valid JSON');
      return;
    }
    parseValue(workerCallSchema, value).caseOf({
      Left: (faults) => {
        response.writeHead(400).end(formatFaults(faults));
      },
      Right: (call) => {
        const reply = this.options.worker.handle(call);
        if (reply === undefined) return;
        this.options.timer.schedule(this.delayMs, () => {
          response
            .writeHead(200, { 'content-type': 'application/json' })
            .end(JSON.stringify(reply));
        });
      },
    });
  }
}
