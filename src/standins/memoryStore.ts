import type { Clock } from '../base/common/clock.ts';
import type { StoreCall, StoreEntry, StoreReply } from '../model/store.ts';

/** Maximum number of entries in a page of a list. */
const MAX_PAGE_ENTRIES = 500;

interface Lease {
  readonly ttlMs: number;
  expiresAtMs: number;
}

/** State of the platform's store: keys with versions, and leases that keys can be attached to. */
export class MemoryStore {
  private readonly entries = new Map<string, StoreEntry & { leaseId: string | undefined }>();
  private readonly leases = new Map<string, Lease>();
  private changes: { key: string; version: number; value?: unknown }[] = [];
  private historyStartVersion = 0;
  private lastVersion = 0;
  private lastLeaseNumber = 0;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): MemoryStore {
    return new MemoryStore(clock);
  }

  /** Handles one call. A watch is answered immediately; the transport implements the wait. */
  handle(call: StoreCall): StoreReply {
    this.removeExpired();
    switch (call.op) {
      case 'read':
        return this.read(call.key, call.newerThan);
      case 'watch':
        return this.read(call.key, call.newerThan);
      case 'list':
        return {
          kind: 'entries',
          entries: [...this.entries.values()]
            .filter((entry) => entry.key.startsWith(call.prefix))
            .map(toStoreEntry),
        };
      case 'write':
        return this.write(call.key, call.expectedVersion, call.value, call.leaseId);
      case 'delete':
        return this.delete(call.key, call.expectedVersion);
      case 'grantLease':
        return this.grantLease(call.ttlMs);
      case 'renewLease':
        return this.renewLease(call.leaseId);
      case 'revokeLease':
        this.revokeLease(call.leaseId);
        return { kind: 'done' };
      case 'transact':
        return this.transact(call);
      case 'listPage':
        return this.listPage(call.prefix, call.after);
      case 'watchPrefix':
        return this.listChanges(call.prefix, call.newerThan);
    }
  }

  /** Discards the history of changes, as the platform's store can do at any time. */
  discardHistory(): void {
    this.changes = [];
    this.historyStartVersion = this.lastVersion;
  }

  private transact(call: Extract<StoreCall, { op: 'transact' }>): StoreReply {
    const entries = call.expected.map(
      ({ key }): StoreEntry => this.entries.get(key) ?? { key, version: 0, value: undefined },
    );
    const hasExpectedVersions = entries.every(
      (entry, index) => entry.version === call.expected[index]?.version,
    );
    if (!hasExpectedVersions) return { kind: 'mismatch', entries: entries.map(toStoreEntry) };
    const isLeaseLost = call.puts.some(
      ({ leaseId }) => leaseId !== undefined && !this.leases.has(leaseId),
    );
    if (isLeaseLost) return { kind: 'leaseLost' };
    if (call.puts.length + call.deletes.length > 0) this.lastVersion += 1;
    for (const { key, value, leaseId } of call.puts) this.writeEntry(key, value, leaseId);
    for (const key of call.deletes) this.removeKey(key);
    return { kind: 'written', version: this.lastVersion };
  }

  private listPage(prefix: string, after: string | undefined): StoreReply {
    const keys = [...this.entries.keys()]
      .filter((key) => key.startsWith(prefix) && (after === undefined || key > after))
      .sort();
    const entries = keys.slice(0, MAX_PAGE_ENTRIES).flatMap((key) => {
      const entry = this.entries.get(key);
      return entry === undefined ? [] : [toStoreEntry(entry)];
    });
    return {
      kind: 'page',
      entries,
      version: this.lastVersion,
      hasMore: keys.length > MAX_PAGE_ENTRIES,
    };
  }

  private listChanges(prefix: string, newerThan: number): StoreReply {
    if (newerThan < this.historyStartVersion) return { kind: 'historyLost' };
    const changes = this.changes.filter(
      ({ key, version }) => version > newerThan && key.startsWith(prefix),
    );
    return { kind: 'changes', changes, version: this.lastVersion };
  }

  private writeEntry(key: string, value: unknown, leaseId: string | undefined): void {
    this.entries.set(key, { key, version: this.lastVersion, value, leaseId });
    this.changes.push({ key, version: this.lastVersion, value });
  }

  private removeKey(key: string): void {
    if (this.entries.delete(key)) this.changes.push({ key, version: this.lastVersion });
  }

  private read(key: string, newerThan: number | undefined): StoreReply {
    const entry = this.entries.get(key);
    const version = entry?.version ?? 0;
    if (newerThan !== undefined && version === newerThan) return { kind: 'unchanged', version };
    return {
      kind: 'entry',
      entry: entry === undefined ? { key, version: 0, value: undefined } : toStoreEntry(entry),
    };
  }

  private write(
    key: string,
    expectedVersion: number,
    value: unknown,
    leaseId: string | undefined,
  ): StoreReply {
    const version = this.entries.get(key)?.version ?? 0;
    if (version !== expectedVersion) return { kind: 'conflict', version };
    if (leaseId !== undefined && !this.leases.has(leaseId)) return { kind: 'leaseLost' };
    this.lastVersion += 1;
    this.writeEntry(key, value, leaseId);
    return { kind: 'written', version: this.lastVersion };
  }

  private delete(key: string, expectedVersion: number): StoreReply {
    const version = this.entries.get(key)?.version ?? 0;
    if (version !== expectedVersion) return { kind: 'conflict', version };
    this.lastVersion += 1;
    this.removeKey(key);
    return { kind: 'done' };
  }

  private grantLease(ttlMs: number): StoreReply {
    this.lastLeaseNumber += 1;
    const leaseId = `lease-${this.lastLeaseNumber}`;
    this.leases.set(leaseId, { ttlMs, expiresAtMs: this.clock.now + ttlMs });
    return { kind: 'lease', leaseId };
  }

  private renewLease(leaseId: string): StoreReply {
    const lease = this.leases.get(leaseId);
    if (lease === undefined) return { kind: 'leaseLost' };
    lease.expiresAtMs = this.clock.now + lease.ttlMs;
    return { kind: 'lease', leaseId };
  }

  private revokeLease(leaseId: string): void {
    this.leases.delete(leaseId);
    const keys = [...this.entries.values()]
      .filter((entry) => entry.leaseId === leaseId)
      .map(({ key }) => key);
    if (keys.length > 0) this.lastVersion += 1;
    for (const key of keys) this.removeKey(key);
  }

  private removeExpired(): void {
    for (const [leaseId, lease] of this.leases) {
      if (lease.expiresAtMs <= this.clock.now) this.revokeLease(leaseId);
    }
  }
}

function toStoreEntry(entry: StoreEntry): StoreEntry {
  return { key: entry.key, version: entry.version, value: entry.value };
}
