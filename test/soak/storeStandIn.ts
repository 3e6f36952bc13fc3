import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import * as z from 'zod/mini';
import { NodeClock } from '../../src/base/node/nodeClock.ts';
import { getHttpPort, openHttpServer } from '../../src/base/node/httpListening.ts';
import type { SeededRandom } from '../../src/base/common/seededRandom.ts';
import type { StoreCall, StoreEntry, StoreReply } from '../../src/model/store.ts';
import { MemoryStore } from '../../src/standins/memoryStore.ts';
import { readBody, sendJson } from '../support/wireServer.ts';

const ROOT = '/bramleyladder/';
/** The platform's time of an answer. */
const ANSWER_MS = 4;
/** Longest time after which a call that was not answered is carried out. */
const MAX_LATE_MS = 4_000;
const WATCH_TURN_MS = 250;

const txnSchema = z.object({
  expected: z.array(z.object({ key: z.string(), rev: z.int() })),
  puts: z.array(z.object({ key: z.string(), value: z.string(), lease: z._default(z.int(), 0) })),
  deletes: z.array(z.string()),
});
const leaseSchema = z.object({ ttl_ms: z.int() });

/** How the store treats a call while a fault acts. */
export interface StoreTrouble {
  readonly how: 'refuses' | 'resets' | 'hangs' | 'losesAnswers' | 'actsLate' | 'slow';
  /** Processes that meet the trouble; none stands for all. */
  readonly processes: readonly string[];
  /** Share of the calls. */
  readonly share: number;
  readonly delayMs: number;
}

/** Replaces addresses in stored values, so that processes reach each other through the proxies. */
export interface AddressView {
  readonly toStored: (process: string, text: string) => string;
  readonly toProcess: (process: string, text: string) => string;
}

/** The platform's store over HTTP with a port for each process, around the product's stand-in of it. */
export class StoreStandIn {
  /** Faults that act now. */
  readonly troubles = new Set<StoreTrouble>();
  private readonly store = MemoryStore.create(NodeClock.create());
  private readonly servers: Server[] = [];
  private readonly watches = new Set<() => void>();
  private readonly timer: NodeJS.Timeout;

  private constructor(
    private readonly random: SeededRandom,
    private readonly view: AddressView,
  ) {
    this.timer = setInterval(() => {
      this.wakeWatches();
    }, WATCH_TURN_MS);
  }

  static create(random: SeededRandom, view: AddressView): StoreStandIn {
    return new StoreStandIn(random, view);
  }

  /** Opens the port of one process. */
  async open(process: string, host: string): Promise<number> {
    const server = createServer((request, response) => {
      void this.serve(process, request, response);
    });
    await openHttpServer(server, host, 0);
    this.servers.push(server);
    return getHttpPort(server);
  }

  /** Writes a key as an operator does, or deletes it without a value. */
  write(key: string, value: unknown): void {
    this.handle({
      op: 'transact',
      expected: [],
      puts: value === undefined ? [] : [{ key, value: JSON.stringify(value) }],
      deletes: value === undefined ? [key] : [],
    });
  }

  /** Reads the value of a key as an operator does; undefined without one. */
  read(key: string): unknown {
    const reply = this.store.handle({ op: 'read', key });
    const value = reply.kind === 'entry' ? reply.entry.value : undefined;
    return typeof value === 'string' ? JSON.parse(value) : undefined;
  }

  dropHistory(): void {
    this.store.discardHistory();
  }

  dispose(): void {
    clearInterval(this.timer);
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  private async serve(
    process: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(request);
    const call = decodeCall(request, body, (text) => this.view.toStored(process, text));
    if (call === undefined) {
      sendJson(response, 400, {});
      return;
    }
    await delay(ANSWER_MS);
    const trouble = this.chooseTrouble(process);
    if (trouble?.how === 'slow') await delay(trouble.delayMs);
    switch (trouble?.how) {
      case 'refuses':
        sendJson(response, this.random.takeUnit() < 0.7 ? 503 : 429, {});
        return;
      case 'resets':
        request.socket.resetAndDestroy();
        return;
      case 'hangs':
        return;
      case 'actsLate':
        if (call.op !== 'watchPrefix')
          setTimeout(() => this.handle(call), this.random.takeInt(50, MAX_LATE_MS));
        return;
      case 'losesAnswers':
        if (call.op !== 'watchPrefix') this.handle(call);
        request.socket.destroy();
        return;
      default:
        this.answer(process, call, response);
    }
  }

  private chooseTrouble(process: string): StoreTrouble | undefined {
    for (const trouble of this.troubles) {
      const { processes, share } = trouble;
      const isMeant = processes.length === 0 || processes.includes(process);
      if (isMeant && this.random.takeUnit() < share) return trouble;
    }
    return undefined;
  }

  private answer(process: string, call: StoreCall, response: ServerResponse): void {
    const send = (reply: StoreReply): void => {
      sendReply(response, reply, (text) => this.view.toProcess(process, text));
    };
    if (call.op !== 'watchPrefix') {
      send(this.handle(call));
      return;
    }
    const until = performance.now() + call.waitMs;
    const look = (): void => {
      const reply = this.store.handle(call);
      const isQuiet = reply.kind === 'changes' && reply.changes.length === 0;
      if (isQuiet && performance.now() < until && !response.destroyed) return;
      this.watches.delete(look);
      send(reply);
    };
    this.watches.add(look);
    look();
  }

  private handle(call: StoreCall): StoreReply {
    const reply = this.store.handle(call);
    if (call.op === 'transact' || call.op === 'revokeLease') this.wakeWatches();
    return reply;
  }

  private wakeWatches(): void {
    for (const look of [...this.watches]) look();
  }
}

function decodeCall(
  request: IncomingMessage,
  body: unknown,
  toStored: (text: string) => string,
): StoreCall | undefined {
  const { pathname, searchParams: query } = new URL(request.url ?? '/', 'http://store');
  const prefix = query.get('prefix') ?? '';
  const [name = '', id = ''] = pathname.slice(ROOT.length).split('/');
  switch (name) {
    case 'kv-key':
      return { op: 'read', key: query.get('key') ?? '' };
    case 'kv-range':
      return { op: 'listPage', prefix, after: query.get('after') ?? undefined };
    case 'kv-watch': {
      const newerThan = Number(query.get('after'));
      return { op: 'watchPrefix', prefix, newerThan, waitMs: Number(query.get('wait_ms')) };
    }
    case 'kv-lease': {
      const parsed = z.safeParse(leaseSchema, body);
      return parsed.success ? { op: 'grantLease', ttlMs: parsed.data.ttl_ms } : undefined;
    }
    case 'kv-keep':
      return { op: 'renewLease', leaseId: `lease-${id}` };
    case 'kv-lease-end':
      return { op: 'revokeLease', leaseId: `lease-${id}` };
    case 'kv-txn': {
      const parsed = z.safeParse(txnSchema, body);
      if (!parsed.success) return undefined;
      const { expected, puts, deletes } = parsed.data;
      return {
        op: 'transact',
        expected: expected.map(({ key, rev }) => ({ key, version: rev })),
        puts: puts.map(({ key, value, lease }) => ({
          key,
          value: toStored(Buffer.from(value, 'base64').toString('utf8')),
          leaseId: lease === 0 ? undefined : `lease-${lease}`,
        })),
        deletes,
      };
    }
    default:
      return undefined;
  }
}

function sendReply(
  response: ServerResponse,
  reply: StoreReply,
  toProcess: (text: string) => string,
): void {
  const toItem = ({ key, version, value }: StoreEntry): object => ({
    key,
    rev: version,
    value: Buffer.from(toProcess(String(value)), 'utf8').toString('base64'),
  });
  const listItems = (entries: readonly StoreEntry[]): object[] =>
    entries.filter(({ version }) => version > 0).map(toItem);
  switch (reply.kind) {
    case 'entry':
      if (reply.entry.version === 0) sendJson(response, 404, {});
      else sendJson(response, 200, toItem(reply.entry));
      return;
    case 'page':
      sendJson(response, 200, {
        items: listItems(reply.entries),
        current_rev: reply.version,
        has_more: reply.hasMore,
      });
      return;
    case 'changes':
      sendJson(response, 200, {
        current_rev: reply.version,
        events: reply.changes.map(({ key, version, value }) =>
          value === undefined
            ? { key, rev: version, deleted: true }
            : toItem({ key, version, value }),
        ),
      });
      return;
    case 'mismatch':
      sendJson(response, 412, { items: listItems(reply.entries) });
      return;
    case 'written':
      sendJson(response, 200, { rev: reply.version });
      return;
    case 'lease':
      sendJson(response, 200, { lease: Number(reply.leaseId.slice('lease-'.length)) });
      return;
    case 'leaseLost':
      sendJson(response, 404, {});
      return;
    case 'historyLost':
      sendJson(response, 410, {});
      return;
    default:
      sendJson(response, 200, {});
  }
}
