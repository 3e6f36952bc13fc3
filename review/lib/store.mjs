import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { answer, closeServer, openServer } from './wire.mjs';

const PAGE_ITEMS = 500;
const WATCH_TURN_MS = 5;
/** Stands for the response to a call whose answer is lost. */
const NO_RESPONSE = { destroyed: true };

/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it. */
export class Store {
  static create() {
    const store = new Store();
    store.timer = setInterval(() => {
      store.expireLeases();
    }, 20);
    return store;
  }

  constructor() {
    this.items = new Map();
    this.events = [];
    this.leases = new Map();
    this.rev = 10;
    this.lastLease = 0;
    /** What happens to the calls of a process: `silent`, `reset` or `busy`. */
    this.troubles = new Map();
    this.servers = [];
    /** Returns after how many ms a write without an answer is carried out; undefined with one. */
    this.chooseLostWrite = () => undefined;
  }

  /** Opens an address for one process, so that its calls can be told from those of others. */
  async open(name, port) {
    this.servers.push(
      await openServer(port, (incoming, body, response) => {
        this.receive(name, incoming, body, response);
      }),
    );
  }

  dispose() {
    clearInterval(this.timer);
    for (const server of this.servers) closeServer(server);
  }

  /** Writes a value as the operator does. */
  write(key, value) {
    this.rev += 1;
    this.put(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
  }

  erase(key) {
    this.rev += 1;
    this.remove(key);
  }

  put(key, value, lease) {
    const created = this.items.get(key)?.created ?? this.rev;
    const item = { key, value, rev: this.rev, created, lease };
    this.items.set(key, item);
    this.events.push(item);
  }

  remove(key) {
    if (this.items.delete(key)) this.events.push({ key, rev: this.rev, deleted: true });
  }

  expireLeases() {
    for (const [id, { endsAt }] of this.leases) if (performance.now() > endsAt) this.endLease(id);
  }

  endLease(id) {
    if (!this.leases.delete(id)) return;
    this.rev += 1;
    for (const { key, lease } of [...this.items.values()]) if (lease === id) this.remove(key);
  }

  receive(name, incoming, body, response) {
    const trouble = this.troubles.get(name);
    if (trouble === 'silent') return;
    if (trouble === 'reset') {
      incoming.socket.resetAndDestroy();
      return;
    }
    if (trouble === 'busy') {
      answer(response, 503);
      return;
    }
    const url = new URL(incoming.url, 'http://store');
    const path = url.pathname.replace('/bramleyladder/', '');
    const query = url.searchParams;
    const lateMs = path === 'kv-txn' ? this.chooseLostWrite(name, body) : undefined;
    if (lateMs === 0) {
      this.transact(body, NO_RESPONSE);
      return;
    }
    if (lateMs !== undefined) {
      setTimeout(() => {
        this.transact(body, NO_RESPONSE);
      }, lateMs);
      return;
    }
    if (path === 'kv-key') this.readKey(query, response);
    else if (path === 'kv-range') this.readRange(query, response);
    else if (path === 'kv-watch') this.watch(query, response, performance.now());
    else if (path === 'kv-txn') this.transact(body, response);
    else if (path === 'kv-lease') this.grantLease(body, response);
    else if (path.startsWith('kv-keep/')) this.keepLease(Number(path.slice(8)), response);
    else if (path.startsWith('kv-lease-end/')) {
      this.endLease(Number(path.slice(13)));
      answer(response, 200);
    } else answer(response, 404);
  }

  readKey(query, response) {
    const item = this.items.get(query.get('key'));
    if (item === undefined) answer(response, 404, { current_rev: this.rev });
    else answer(response, 200, { ...item, current_rev: this.rev });
  }

  readRange(query, response) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const items = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    answer(response, 200, {
      items: items.slice(0, PAGE_ITEMS),
      has_more: items.length > PAGE_ITEMS,
      current_rev: this.rev,
    });
  }

  watch(query, response, since) {
    if (response.destroyed) return;
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const events = this.events.filter(({ key, rev }) => rev > after && key.startsWith(prefix));
    const isOver = performance.now() - since >= Number(query.get('wait_ms'));
    if (events.length > 0 || isOver) answer(response, 200, { events, current_rev: this.rev });
    else
      setTimeout(() => {
        this.watch(query, response, since);
      }, WATCH_TURN_MS);
  }

  transact({ expected = [], puts = [], deletes = [] }, response) {
    if (expected.some(({ key, rev }) => (this.items.get(key)?.rev ?? 0) !== rev)) {
      const items = expected.map(({ key }) => this.items.get(key) ?? { key, rev: 0 });
      answer(response, 412, { items });
      return;
    }
    if (puts.some(({ lease }) => (lease ?? 0) !== 0 && !this.leases.has(lease))) {
      answer(response, 404);
      return;
    }
    if (puts.length + deletes.length > 0) this.rev += 1;
    for (const { key, value, lease } of puts) this.put(key, value, lease ?? 0);
    for (const key of deletes) this.remove(key);
    answer(response, 200, { rev: this.rev });
  }

  grantLease({ ttl_ms: ttlMs }, response) {
    this.lastLease += 1;
    this.leases.set(this.lastLease, { ttlMs, endsAt: performance.now() + ttlMs });
    answer(response, 200, { lease: this.lastLease, ttl_ms: ttlMs });
  }

  keepLease(id, response) {
    const lease = this.leases.get(id);
    if (lease === undefined) {
      answer(response, 404);
      return;
    }
    lease.endsAt = performance.now() + lease.ttlMs;
    answer(response, 200, { ttl_ms: lease.ttlMs });
  }
}
