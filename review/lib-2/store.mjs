// Stand-in of the platform's metadata store, after the users' protocol page.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { readBody, sendJson } from './http.mjs';

const ROOT = '/bramleyladder/';
const ANSWER_MS = 4;
const MAX_ENTRIES = 32;
const MAX_PAGE_ITEMS = 500;
const MAX_PAGE_BYTES = 1_000_000;
/** `value_bytes` of the settings of the small deployments. */
const MAX_VALUE_BYTES = 1_048_576;

export class Store {
  items = new Map();
  events = [];
  leases = new Map();
  rev = 10;
  lastLease = 0;
  /** Stored jobs that transactions have deleted. */
  deletedJobs = 0;
  watches = new Set();
  keys = [];
  newKeys = [];
  hasRemovedKeys = false;
  /** Called for each transaction; may return 'drop' (not executed, not answered). */
  intercept = () => undefined;
  /** Called with the rejected transactions whose value is too large. */
  onOversized = () => undefined;

  static async create() {
    const store = new Store();
    store.server = createServer((request, response) => {
      void store.serve(request, response);
    });
    await new Promise((resolve) => store.server.listen(0, '127.0.0.1', resolve));
    store.timer = setInterval(() => {
      store.expireLeases();
    }, 20);
    return store;
  }

  get address() {
    return `127.0.0.1:${this.server.address().port}`;
  }

  /** Writes a value as the operator does; undefined deletes the key. */
  write(key, value) {
    this.rev += 1;
    if (value === undefined) this.remove(key);
    else this.put(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
    this.wakeWatches();
  }

  read(key) {
    const item = this.items.get(key);
    return item === undefined
      ? undefined
      : JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'));
  }

  dispose() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Adds an item that all watches have seen long ago. */
  addOld(key, value) {
    this.rev += 1;
    this.newKeys.push(key);
    this.items.set(key, { key, value, rev: this.rev, created: this.rev, lease: 0 });
  }

  put(key, value, lease) {
    if (!this.items.has(key)) this.newKeys.push(key);
    const created = this.items.get(key)?.created ?? this.rev;
    this.items.set(key, { key, value, rev: this.rev, created, lease });
    this.events.push(this.items.get(key));
  }

  remove(key) {
    if (!this.items.delete(key)) return;
    this.hasRemovedKeys = true;
    this.events.push({ key, rev: this.rev, deleted: true });
  }

  expireLeases() {
    const now = performance.now();
    for (const [id, { endsAt }] of this.leases) if (now > endsAt) this.endLease(id);
  }

  endLease(id) {
    if (!this.leases.delete(id)) return;
    const keys = [...this.items.values()].filter(({ lease }) => lease === id);
    if (keys.length === 0) return;
    this.rev += 1;
    for (const { key } of keys) this.remove(key);
    this.wakeWatches();
  }

  wakeWatches() {
    for (const look of [...this.watches]) look();
  }

  async serve(request, response) {
    const body = await readBody(request);
    const url = new URL(request.url, 'http://store');
    const [name, id] = url.pathname.slice(ROOT.length).split('/');
    await new Promise((resolve) => setTimeout(resolve, ANSWER_MS));
    const call = { name, id, query: url.searchParams, body };
    const fate = this.intercept(call);
    if (fate === 'drop') return;
    if (fate === 'busy') {
      sendJson(response, 503, {});
      return;
    }
    if (name === 'kv-watch') this.serveWatch(url.searchParams, response);
    else {
      const [status, answer] = this.answer(call);
      if (fate !== 'lose') sendJson(response, status, answer);
    }
  }

  answer({ name, id, query, body }) {
    switch (name) {
      case 'kv-key': {
        const item = this.items.get(query.get('key') ?? '');
        return item === undefined ? [404, {}] : [200, { ...item, current_rev: this.rev }];
      }
      case 'kv-range':
        return [200, this.listPage(query.get('prefix') ?? '', query.get('after') ?? '')];
      case 'kv-txn':
        return this.transact(body);
      case 'kv-lease': {
        this.lastLease += 1;
        const ttl = body.ttl_ms;
        this.leases.set(this.lastLease, { ttl, endsAt: performance.now() + ttl });
        return [200, { lease: this.lastLease, ttl_ms: ttl }];
      }
      case 'kv-keep': {
        const lease = this.leases.get(Number(id));
        if (lease === undefined) return [404, {}];
        lease.endsAt = performance.now() + lease.ttl;
        return [200, { lease: Number(id), ttl_ms: lease.ttl }];
      }
      case 'kv-lease-end':
        this.endLease(Number(id));
        return [200, {}];
      default:
        return [404, {}];
    }
  }

  /** The keys in their order; kept between calls, so that a page takes no longer in a full store. */
  listKeys() {
    if (this.hasRemovedKeys) this.keys = this.keys.filter((key) => this.items.has(key));
    if (this.newKeys.length > 0) {
      const known = new Set(this.hasRemovedKeys ? this.keys : []);
      for (const key of this.newKeys)
        if (this.items.has(key) && !known.has(key)) this.keys.push(key);
      this.keys.sort();
    }
    this.newKeys = [];
    this.hasRemovedKeys = false;
    return this.keys;
  }

  /** Position of the first key from `prefix` on that comes after `after`. */
  findPosition(keys, prefix, after) {
    let low = 0;
    let high = keys.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (keys[middle] < prefix || keys[middle] <= after) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  listPage(prefix, after) {
    const keys = this.listKeys();
    const items = [];
    let bytes = 0;
    let position = this.findPosition(keys, prefix, after);
    for (; keys[position]?.startsWith(prefix); position += 1) {
      const item = this.items.get(keys[position]);
      bytes += item.value.length;
      if (items.length > 0 && (items.length === MAX_PAGE_ITEMS || bytes > MAX_PAGE_BYTES)) break;
      items.push(item);
    }
    const hasMore = keys[position]?.startsWith(prefix) === true;
    return { items, has_more: hasMore, current_rev: this.rev };
  }

  transact({ expected = [], puts = [], deletes = [] }) {
    if (expected.length + puts.length + deletes.length > MAX_ENTRIES) return [400, {}];
    const tooLarge = puts.filter(
      ({ value }) => Buffer.from(value, 'base64').length > MAX_VALUE_BYTES,
    );
    if (tooLarge.length > 0) {
      this.onOversized(tooLarge, puts);
      return [400, { error: 'a value is larger than value_bytes' }];
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) return [404, {}];
    if (expected.some(({ key, rev }) => (this.items.get(key)?.rev ?? 0) !== rev)) {
      return [412, { items: expected.flatMap(({ key }) => this.items.get(key) ?? []) }];
    }
    if (puts.length + deletes.length > 0) this.rev += 1;
    for (const { key, value, lease = 0 } of puts) this.put(key, value, lease);
    for (const key of deletes) {
      if (key.startsWith('in/j/') && this.items.has(key)) this.deletedJobs += 1;
      this.remove(key);
    }
    if (puts.length + deletes.length > 0) this.wakeWatches();
    return [200, { rev: this.rev }];
  }

  serveWatch(query, response) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const finish = () => {
      clearTimeout(timer);
      this.watches.delete(look);
      sendJson(response, 200, { events: list(), current_rev: this.rev });
    };
    const list = () => this.events.filter(({ key, rev }) => rev > after && key.startsWith(prefix));
    const look = () => {
      if (list().length > 0) finish();
    };
    const timer = setTimeout(finish, Number(query.get('wait_ms')));
    this.watches.add(look);
    look();
  }
}
