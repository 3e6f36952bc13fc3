import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Failure } from '../../base/common/errors.ts';
import { createFailure, ERROR_ANSWERS } from '../../base/common/errors.ts';
import type { SeededRandom } from '../../base/common/seededRandom.ts';
import { httpMethodSchema } from '../../model/configuration.ts';
import type { CallerRequest, Headers, Response } from '../../model/request.ts';
import { formatFailureBody, formatRetryAfter } from '../common/failureBody.ts';
import { mergeChunks } from '../common/mergeChunks.ts';
import { getHttpPort, openHttpServer } from '../../base/node/httpListening.ts';
import { readTimeoutMs } from './timeoutHeader.ts';

/** Largest request body that is read; a route can set a lower limit. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;
const EMPTY_BODY = Buffer.alloc(0);

/** Headers that apply to a single connection and are not forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'expect',
]);

export interface HttpFrontOptions {
  readonly host: string;
  readonly port: number;
  readonly random: SeededRandom;
  readonly onRequest: (request: CallerRequest) => void;
  readonly onDisconnect: (requestId: string) => void;
  /** Handles a request outside the services; returns false to treat it as a service request. */
  readonly handleOtherRequest?: (
    request: IncomingMessage,
    body: Uint8Array,
    response: ServerResponse,
  ) => boolean;
}

/** The HTTP server for callers. It buffers complete requests and writes complete responses. */
export class HttpFront {
  private readonly openResponses = new Map<string, ServerResponse>();
  private readonly server: Server;
  private isClosing = false;

  private constructor(private readonly options: HttpFrontOptions) {
    this.server = createServer((request, response) => {
      this.receive(request, response);
    });
  }

  static async create(options: HttpFrontOptions): Promise<HttpFront> {
    const front = new HttpFront(options);
    await openHttpServer(front.server, options.host, options.port);
    return front;
  }

  get port(): number {
    return getHttpPort(this.server);
  }

  answer(requestId: string, answer: Response): void {
    const response = this.removeOpenResponse(requestId);
    if (response === undefined) return;
    const headers: string[] = [];
    for (const [name, value] of answer.headers)
      if (!HOP_BY_HOP_HEADERS.has(name.toLowerCase())) headers.push(name, value);
    headers.push('content-length', `${answer.body.byteLength}`);
    if (this.isClosing) headers.push('connection', 'close');
    response.writeHead(answer.status, headers).end(answer.body);
  }

  refuse(requestId: string, failure: Failure, retryAfterMs?: number): void {
    const response = this.removeOpenResponse(requestId);
    if (response === undefined) return;
    if (this.isClosing) response.setHeader('connection', 'close');
    sendFailure(response, failure, requestId, retryAfterMs);
  }

  /** Stops accepting connections; open requests are answered and then their connections closed. */
  close(): void {
    this.isClosing = true;
    this.server.close();
    this.server.closeIdleConnections();
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private removeOpenResponse(requestId: string): ServerResponse | undefined {
    const response = this.openResponses.get(requestId);
    this.openResponses.delete(requestId);
    return response;
  }

  private receive(request: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    let size = 0;
    request.on('data', (chunk: Buffer) => {
      size += chunk.byteLength;
      if (size <= MAX_BODY_BYTES) chunks.push(chunk);
    });
    request.on('error', () => {
      response.destroy();
    });
    request.on('end', () => {
      const requestId = this.options.random.takeId();
      if (size > MAX_BODY_BYTES) {
        sendFailure(
          response,
          createFailure('body_too_large', `the body exceeds the limit of ${MAX_BODY_BYTES} bytes`),
          requestId,
        );
        return;
      }
      const body = chunks.length === 0 ? EMPTY_BODY : mergeChunks(chunks);
      if (this.options.handleOtherRequest?.(request, body, response) === true) return;
      this.accept(request, response, requestId, body);
    });
  }

  private accept(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
    body: Buffer,
  ): void {
    const method = httpMethodSchema.safeParse(request.method);
    if (!method.success) {
      sendFailure(response, createFailure('bad_request', 'the method is not supported'), requestId);
      return;
    }
    this.openResponses.set(requestId, response);
    response.on('close', () => {
      if (this.openResponses.delete(requestId)) this.options.onDisconnect(requestId);
    });
    const idempotencyKey = readHeader(request, 'idempotency-key');
    const timeoutMs = readTimeoutMs(request.headers);
    this.options.onRequest({
      requestId,
      method: method.data,
      host: request.headers.host ?? '',
      path: request.url ?? '/',
      headers: listHeaders(request),
      body,
      ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
      isRepeat: readHeader(request, 'bramleyladder-repeat') === 'true',
      ...(timeoutMs === undefined ? {} : { timeoutMs }),
    });
  }
}

function readHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function listHeaders(request: IncomingMessage): Headers {
  const headers: Headers = [];
  for (let index = 0; index + 1 < request.rawHeaders.length; index += 2) {
    const name = request.rawHeaders[index] ?? '';
    if (!HOP_BY_HOP_HEADERS.has(name.toLowerCase()))
      headers.push([name, request.rawHeaders[index + 1] ?? '']);
  }
  return headers;
}

/** Writes an error response with the status that {@link ERROR_ANSWERS} has for the failure. */
export function sendFailure(
  response: ServerResponse,
  failure: Failure,
  requestId: string,
  retryAfterMs?: number,
): void {
  const answer = ERROR_ANSWERS[failure.kind];
  if (retryAfterMs !== undefined) response.setHeader('retry-after', formatRetryAfter(retryAfterMs));
  response.setHeader('content-type', 'application/json');
  response.setHeader('bramleyladder-ran', answer.ran);
  response.writeHead(answer.status).end(JSON.stringify(formatFailureBody(failure, requestId)));
}
