import type { IncomingHttpHeaders, IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { createFailure, ERROR_ANSWERS } from '../../base/common/errors.ts';
import type { JsonAnswer } from '../../model/effects.ts';
import { formatFailureBody, formatRetryAfter } from '../common/failureBody.ts';
import { getHttpPort, openHttpServer } from '../../base/node/httpListening.ts';
import { readRequestTarget } from './requestPath.ts';

const DEFAULT_MAX_BODY_BYTES = 1024 * 1024;

/** A request to a {@link JsonServer} with its parsed body. */
export interface JsonRequest {
  readonly method: string;
  /** Path without the query. */
  readonly path: string;
  readonly query: URLSearchParams;
  readonly headers: IncomingHttpHeaders;
  /** Undefined when the body is empty. */
  readonly body: unknown;
}

/** Answers one request, synchronously or later. Returns false when the path has no handler. */
export type JsonHandler = (
  request: JsonRequest,
  answer: (answer: JsonAnswer) => void,
  response: ServerResponse,
) => boolean;

/** Writes a JSON response; a failure gets the HTTP status of its error kind. */
export function sendJsonAnswer(response: ServerResponse, answer: JsonAnswer, requestId = ''): void {
  response.setHeader('content-type', 'application/json');
  if (answer.kind === 'value') {
    response.writeHead(200).end(JSON.stringify(answer.value));
    return;
  }
  const body = {
    ...formatFailureBody(answer.failure, requestId),
    ...(answer.details === undefined ? {} : { details: answer.details }),
  };
  if (answer.retryAfterMs !== undefined)
    response.setHeader('retry-after', formatRetryAfter(answer.retryAfterMs));
  response.writeHead(ERROR_ANSWERS[answer.failure.kind].status).end(JSON.stringify(body));
}

/** Parses a request; returns undefined when the body is not valid JSON. */
export function parseJsonRequest(
  request: IncomingMessage,
  bytes: Uint8Array,
): JsonRequest | undefined {
  const { path, query } = readRequestTarget(request.url);
  let body: unknown;
  if (bytes.byteLength > 0) {
    try {
      body = JSON.parse(Buffer.from(bytes).toString('utf8'));
    } catch {
      return undefined;
    }
  }
  const { method = 'GET', headers } = request;
  return { method, path, query: new URLSearchParams(query), headers, body };
}

/** An HTTP server with JSON bodies for operators, endpoint announcements and queues. */
export class JsonServer {
  private readonly server: Server;

  private constructor(
    private readonly handler: JsonHandler,
    private readonly getMaxBodyBytes: () => number,
  ) {
    this.server = createServer((request, response) => {
      this.receive(request, response);
    });
  }

  static async create(
    host: string,
    port: number,
    handler: JsonHandler,
    getMaxBodyBytes = (): number => DEFAULT_MAX_BODY_BYTES,
  ): Promise<JsonServer> {
    const server = new JsonServer(handler, getMaxBodyBytes);
    await openHttpServer(server.server, host, port);
    return server;
  }

  get port(): number {
    return getHttpPort(this.server);
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    const maxBytes = this.getMaxBodyBytes();
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.byteLength;
      if (size <= maxBytes) chunks.push(chunk);
    });
    request.on('end', () => {
      const answer = (value: JsonAnswer): void => {
        sendJsonAnswer(response, value);
      };
      if (size > maxBytes) {
        answer({
          kind: 'failure',
          failure: createFailure(
            'body_too_large',
            `the body exceeds the limit of ${maxBytes} bytes`,
          ),
        });
        return;
      }
      const parsed = parseJsonRequest(request, Buffer.concat(chunks));
      if (parsed === undefined) {
        answer({
          kind: 'failure',
          failure: createFailure('bad_request', 'the body is not valid JSON'),
        });
      } else if (!this.handler(parsed, answer, response)) {
        answer({
          kind: 'failure',
          failure: createFailure('no_route', `no handler for ${parsed.method} ${parsed.path}`),
        });
      }
    });
  }
}
