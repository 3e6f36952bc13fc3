import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Disposable } from '../base/common/disposable.ts';
import { ERROR_ANSWERS } from '../base/common/errors.ts';
import { getHttpPort, openHttpServer } from '../base/node/httpListening.ts';
import type { SchedulerDaemon } from '../daemons/schedulerDaemon.ts';
import { parseAddress } from '../model/address.ts';
import type { QueueAnswer, QueueCall } from '../model/scheduler/queueCall.ts';
import { formatRetryAfter } from '../protocol/common/failureBody.ts';
import { readRequestTarget } from '../protocol/node/requestPath.ts';
import { readJsonBody } from './wireBody.ts';
import { decodeJob } from './wireJobs.ts';

/** Deadline of a request without a `deadline-ms` header. */
const DEFAULT_DEADLINE_MS = 3_000;
const MAX_DEADLINE_MS = 10 * 60 * 1_000;
/** Exceeds the platform's idle timeout, so that the balancer closes idle connections first. */
const KEEP_ALIVE_TIMEOUT_MS = 20_000;

/** HTTP front end for the platform's callers. It only translates; the daemon decides. */
export class WireFront implements Disposable {
  private readonly server: Server;

  private constructor(private readonly daemon: SchedulerDaemon) {
    this.server = createServer({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS }, (request, response) => {
      this.receive(request, response).catch((error: unknown) => {
        daemon.failures.record('callback', 'front', error);
        this.send(response, 500, { error: 'internal error' });
      });
    });
  }

  static async create(address: string, daemon: SchedulerDaemon): Promise<WireFront> {
    const front = new WireFront(daemon);
    const { host, port } = parseAddress(address);
    await openHttpServer(front.server, host, port);
    return front;
  }

  get port(): number {
    return getHttpPort(this.server);
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async receive(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readJsonBody(request, this.getMaxBodyBytes());
    if (body.kind === 'cut') return;
    const call = decodeCall(request.method ?? '', body.kind === 'value' ? body.value : undefined);
    if (body.kind === 'tooLarge' || typeof call === 'string') {
      const message = typeof call === 'string' ? call : 'the body is too large';
      this.send(response, body.kind === 'tooLarge' ? 413 : 400, { error: message });
      return;
    }
    const { path } = readRequestTarget(request.url);
    const handleDisconnect = this.daemon.call(
      {
        host: (request.headers.host ?? '').toLowerCase(),
        path,
        call,
        deadlineMs: parseDeadline(request.headers['deadline-ms']),
      },
      (answer) => {
        this.sendAnswer(response, answer);
      },
    );
    response.on('close', handleDisconnect);
  }

  private getMaxBodyBytes(): number {
    return this.daemon.state.operator.configuration?.maxBodyBytes ?? 262_144;
  }

  private sendAnswer(response: ServerResponse, answer: QueueAnswer): void {
    switch (answer.kind) {
      case 'accepted':
      case 'cancelled':
        this.send(response, 200, {});
        return;
      case 'phase':
        this.send(response, 200, { state: answer.phase });
        return;
      case 'count':
        this.send(response, 200, { waiting: answer.waiting });
        return;
      case 'gone':
        this.send(response, 410, { error: 'no such job' });
        return;
      case 'refused': {
        if (answer.retryAfterMs !== undefined)
          response.setHeader('retry-after', formatRetryAfter(answer.retryAfterMs));
        this.send(response, ERROR_ANSWERS[answer.error].status, { error: answer.message });
        return;
      }
    }
  }

  private send(response: ServerResponse, status: number, body: object): void {
    if (response.destroyed) return;
    // Moves callers with open connections to another entry while this one stops.
    if (this.daemon.isStopping) response.setHeader('connection', 'close');
    const text = JSON.stringify(body);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  }
}

/** Any text may arrive; a call without a deadline would be kept for ever. */
function parseDeadline(header: string | string[] | undefined): number {
  const deadlineMs = Number(header ?? DEFAULT_DEADLINE_MS);
  return deadlineMs >= 0 ? Math.min(deadlineMs, MAX_DEADLINE_MS) : DEFAULT_DEADLINE_MS;
}

function decodeCall(method: string, body: unknown): QueueCall | string {
  if (method === 'GET') return { kind: 'read' };
  if (method === 'DELETE') return { kind: 'cancel' };
  if (method !== 'POST') return `method ${method} is not supported`;
  const spec = decodeJob(body);
  return typeof spec === 'string' ? spec : { kind: 'submit', spec };
}
