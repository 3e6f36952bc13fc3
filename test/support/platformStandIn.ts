import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { NodeClock } from '../../src/base/node/nodeClock.ts';
import { getHttpPort, openHttpServer } from '../../src/base/node/httpListening.ts';
import type { RunBehaviour } from '../../src/standins/memoryRunner.ts';
import { MemoryRunner } from '../../src/standins/memoryRunner.ts';
import { decodeRunnerCall, readBody, sendJson, sendRunnerReply } from './wireServer.ts';

const POLL_INTERVAL_MS = 10;
const LEASE_TTL_MS = 1_000;

interface Item {
  key: string;
  value: string;
  rev: number;
  lease: number;
}

interface TxnBody {
  expected: { key: string; rev: number }[];
  puts: { key: string; value: string; lease: number }[];
  deletes: string[];
}

/** A stand-in of the platform's store over HTTP, after its published protocol. */
export class PlatformStoreStandIn {
  readonly items = new Map<string, Item>();
  /** Status that answers every call while it is set. */
  refusalStatus: number | undefined;
  /** First revision in the history; watches from an earlier one get status 410. */
  oldestWatchRevision = 0;
  private readonly events: { key: string; value?: string; rev: number; deleted?: boolean }[] = [];
  private rev = 10;
  private lastLease = 0;

  private constructor(private readonly server: Server) {}

  static async create(): Promise<PlatformStoreStandIn> {
    const server = createServer();
    const store = new PlatformStoreStandIn(server);
    server.on('request', (request, response) => {
      void readBody(request).then((body) => {
        store.serve(request, response, body);
      });
    });
    await openHttpServer(server, '127.0.0.1', 0);
    return store;
  }

  get address(): string {
    return `127.0.0.1:${getHttpPort(this.server)}`;
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a JSON value as the operator does. */
  write(key: string, value: unknown): void {
    this.rev += 1;
    this.put(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
  }

  /** Writes text that need not be JSON. */
  writeBytes(key: string, text: string): void {
    this.rev += 1;
    this.put(key, Buffer.from(text).toString('base64'), 0);
  }

  expireLease(lease: number): void {
    this.rev += 1;
    for (const item of [...this.items.values()]) if (item.lease === lease) this.remove(item.key);
  }

  private put(key: string, value: string, lease: number): void {
    this.items.set(key, { key, value, rev: this.rev, lease });
    this.events.push({ key, value, rev: this.rev });
  }

  private remove(key: string): void {
    if (!this.items.delete(key)) return;
    this.events.push({ key, rev: this.rev, deleted: true });
  }

  private serve(request: IncomingMessage, response: ServerResponse, body: unknown): void {
    if (this.refusalStatus !== undefined) {
      sendJson(response, this.refusalStatus, {});
      return;
    }
    const url = new URL(request.url ?? '/', 'http://store');
    const path = url.pathname.replace('/bramleyladder/', '');
    if (path === 'kv-key') {
      const item = this.items.get(url.searchParams.get('key') ?? '');
      sendJson(response, item === undefined ? 404 : 200, item ?? {});
    } else if (path === 'kv-range') {
      this.serveRange(url, response);
    } else if (path === 'kv-watch') {
      this.serveWatch(url, response, Date.now());
    } else if (path === 'kv-txn') {
      this.serveTxn(body as TxnBody, response);
    } else if (path === 'kv-lease') {
      this.lastLease += 1;
      sendJson(response, 200, { lease: this.lastLease, ttl_ms: LEASE_TTL_MS });
    } else if (path.startsWith('kv-keep/')) {
      const lease = Number(path.slice('kv-keep/'.length));
      sendJson(response, lease > 0 && lease <= this.lastLease ? 200 : 404, {});
    } else {
      sendJson(response, 200, {});
    }
  }

  private serveRange(url: URL, response: ServerResponse): void {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    const items = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    sendJson(response, 200, { items, has_more: false, current_rev: this.rev });
  }

  private serveWatch(url: URL, response: ServerResponse, since: number): void {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    if (after < this.oldestWatchRevision) {
      sendJson(response, 410, {});
      return;
    }
    const events = this.events.filter(({ key, rev }) => rev > after && key.startsWith(prefix));
    const isOver = Date.now() - since >= Number(url.searchParams.get('wait_ms'));
    if (events.length > 0 || isOver) sendJson(response, 200, { events, current_rev: this.rev });
    else
      setTimeout(() => {
        this.serveWatch(url, response, since);
      }, POLL_INTERVAL_MS);
  }

  private serveTxn({ expected, puts, deletes }: TxnBody, response: ServerResponse): void {
    if (expected.length + puts.length + deletes.length > 32) {
      sendJson(response, 400, {});
    } else if (puts.some(({ lease }) => lease > this.lastLease)) {
      sendJson(response, 404, {});
    } else if (expected.some(({ key, rev }) => (this.items.get(key)?.rev ?? 0) !== rev)) {
      const items = expected.flatMap(({ key }) => this.items.get(key) ?? []);
      sendJson(response, 412, { items });
    } else {
      // All entries of a transaction share one revision.
      if (puts.length + deletes.length > 0) this.rev += 1;
      for (const { key, value, lease } of puts) this.put(key, value, lease);
      for (const key of deletes) this.remove(key);
      sendJson(response, 200, { rev: this.rev });
    }
  }
}

/** A stand-in of the platform's runner over HTTP, which wraps {@link MemoryRunner}. */
export class PlatformRunnerStandIn {
  readonly runner: MemoryRunner;
  /** Replaces the next answer. */
  nextAnswer: { readonly status: number; readonly text: string } | undefined;
  readonly requests: { readonly path: string; readonly body: Record<string, unknown> }[] = [];

  private constructor(
    private readonly server: Server,
    behave: (task: string, run: number) => RunBehaviour,
  ) {
    this.runner = MemoryRunner.create(NodeClock.create(), 77, behave);
  }

  static async create(
    behave: (task: string, run: number) => RunBehaviour,
  ): Promise<PlatformRunnerStandIn> {
    const server = createServer();
    const standIn = new PlatformRunnerStandIn(server, behave);
    server.on('request', (request, response) => {
      void readBody(request).then((body) => {
        standIn.serve(request.url ?? '', body as Record<string, unknown>, response, Date.now());
      });
    });
    await openHttpServer(server, '127.0.0.1', 0);
    return standIn;
  }

  get address(): string {
    return `127.0.0.1:${getHttpPort(this.server)}`;
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private serve(
    path: string,
    body: Record<string, unknown>,
    response: ServerResponse,
    since: number,
  ): void {
    this.requests.push({ path, body });
    if (this.nextAnswer !== undefined) {
      response.writeHead(this.nextAnswer.status).end(this.nextAnswer.text);
      this.nextAnswer = undefined;
      return;
    }
    const reply = this.runner.handle(decodeRunnerCall(path, body));
    const isWaiting =
      reply.kind === 'lists' &&
      reply.ended.length === 0 &&
      Date.now() - since < Number(body.wait_ms);
    if (isWaiting)
      setTimeout(() => {
        this.serve(path, body, response, since);
      }, POLL_INTERVAL_MS);
    else sendRunnerReply(response, reply);
  }
}
