import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Clock } from '../base/common/clock.ts';
import type { Disposable } from '../base/common/disposable.ts';
import type { Timer } from '../base/common/loop.ts';
import type { StoreCall, StoreReply } from '../model/store.ts';
import { storeCallSchema } from '../model/store.ts';
import { decodeMessage, encodeMessage } from '../protocol/common/codec.ts';
import { MemoryStore } from './memoryStore.ts';
import { getHttpPort, openHttpServer } from '../base/node/httpListening.ts';

const WATCH_POLL_INTERVAL_MS = 20;

export interface StoreServerOptions {
  readonly host: string;
  readonly port: number;
  readonly clock: Clock;
  readonly timer: Timer;
}

/** HTTP stand-in of the platform's store that can simulate outages and lost answers. */
export class StoreServer implements Disposable {
  /** While set, every call is refused with status 503 and has no effect. */
  isDown = false;
  /** While set, calls take effect but are not answered. */
  losesAnswers = false;
  /** Delay of every answer. */
  delayMs = 0;
  /** Number of received calls, by operation. */
  readonly callCounts = new Map<string, number>();

  private readonly store: MemoryStore;
  private readonly server: Server;

  private constructor(private readonly options: StoreServerOptions) {
    this.store = MemoryStore.create(options.clock);
    this.server = createServer((request, response) => {
      this.receive(request, response);
    });
  }

  static async create(options: StoreServerOptions): Promise<StoreServer> {
    const server = new StoreServer(options);
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

  private receive(request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      if (this.isDown) {
        response.writeHead(503).end();
        return;
      }
      decodeMessage(storeCallSchema, Buffer.concat(chunks)).caseOf({
        Left: (message) => {
          response.writeHead(400).end(message);
        },
        Right: (call) => {
          this.handle(call, response);
        },
      });
    });
  }

  private handle(call: StoreCall, response: ServerResponse): void {
    this.callCounts.set(call.op, (this.callCounts.get(call.op) ?? 0) + 1);
    if (call.op === 'watch') this.watch(call, response, this.options.clock.now + call.waitMs);
    else this.answer(this.store.handle(call), response);
  }

  private watch(call: StoreCall, response: ServerResponse, untilMs: number): void {
    const reply = this.store.handle(call);
    if (reply.kind !== 'unchanged' || this.options.clock.now >= untilMs) {
      this.answer(reply, response);
      return;
    }
    this.options.timer.schedule(WATCH_POLL_INTERVAL_MS, () => {
      if (!response.destroyed) this.watch(call, response, untilMs);
    });
  }

  private answer(reply: StoreReply, response: ServerResponse): void {
    if (this.losesAnswers) {
      response.destroy();
      return;
    }
    this.options.timer.schedule(this.delayMs, () => {
      response.writeHead(200, { 'content-type': 'application/msgpack' }).end(encodeMessage(reply));
    });
  }
}
