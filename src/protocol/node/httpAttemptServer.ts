import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type * as z from 'zod/mini';
import { abandonMessageSchema, attemptMessageSchema } from '../../model/request.ts';
import { decodeMessage, encodeMessage } from '../common/codec.ts';
import { MAX_MESSAGE_BYTES } from '../common/messageBounds.ts';
import { mergeChunks } from '../common/mergeChunks.ts';
import type { AttemptHandlers, AttemptServer } from './attemptTransport.ts';
import { openHttpServer } from '../../base/node/httpListening.ts';

export const ATTEMPT_PATH = '/v1/attempts';
export const ABANDON_PATH = '/v1/abandons';
/** Exceeds the keep-alive time of entries, so that the agent rarely closes a connection in use. */
const KEEP_ALIVE_MS = 60_000;

/** Receives attempts over HTTP/1.1; each request and response body is one MessagePack value. */
export class HttpAttemptServer implements AttemptServer {
  /** Bound port; stored because a closed server has no address. */
  port = 0;
  private readonly server: Server;

  private constructor(private readonly handlers: AttemptHandlers) {
    this.server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (request, response) => {
      this.receive(request, response);
    });
  }

  static async create(
    host: string,
    port: number,
    handlers: AttemptHandlers,
  ): Promise<HttpAttemptServer> {
    const created = new HttpAttemptServer(handlers);
    await openHttpServer(created.server, host, port);
    created.port = (created.server.address() as AddressInfo).port;
    return created;
  }

  /** Closes the listener and every connection; entries observe a link failure. */
  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('error', () => {
      response.destroy();
    });
    request.on('data', (chunk: Buffer) => {
      size += chunk.byteLength;
      if (size <= MAX_MESSAGE_BYTES) chunks.push(chunk);
      else chunks.length = 0;
    });
    request.on('end', () => {
      if (size > MAX_MESSAGE_BYTES)
        refuseMessage(response, 413, `the message exceeds the limit of ${MAX_MESSAGE_BYTES} bytes`);
      else this.handle(request.url, mergeChunks(chunks), response);
    });
  }

  private handle(path: string | undefined, bytes: Buffer, response: ServerResponse): void {
    if (path === ATTEMPT_PATH)
      handleMessage(attemptMessageSchema, bytes, response, (message) => {
        this.handlers.onAttempt(message, (reply) => {
          const body = encodeMessage(reply);
          response.writeHead(200, ['content-length', String(body.byteLength)]).end(body);
        });
      });
    else if (path === ABANDON_PATH)
      handleMessage(abandonMessageSchema, bytes, response, ({ attemptId }) => {
        this.handlers.onAbandon(attemptId);
        response.writeHead(204).end();
      });
    else refuseMessage(response, 404, 'no handler for this path');
  }
}

function handleMessage<Schema extends z.ZodMiniType>(
  schema: Schema,
  bytes: Buffer,
  response: ServerResponse,
  handle: (message: z.output<Schema>) => void,
): void {
  decodeMessage(schema, bytes).caseOf({
    Left: (fault) => {
      refuseMessage(response, 400, fault);
    },
    Right: handle,
  });
}

function refuseMessage(response: ServerResponse, status: number, text: string): void {
  response.writeHead(status, { 'content-type': 'text/plain' }).end(text);
}
