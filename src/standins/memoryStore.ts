import type { Clock } from '../base/common/clock.ts';
import type { StoreCall, StoreEntry, StoreReply } from '../model/store.ts';

interface Lease {
  readonly ttlMs: number;
  expiresMs: number;
}

/** State of the platform's store: keys with versions, and leases that keys can be attached to. */
export class MemoryStore {
  private readonly entries = new Map<string, StoreEntry & { leaseId: string | undefined }>();
  private readonly leases = new Map<string, Lease>();
  private lastVersion = 0;
  private lastLease = 0;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): MemoryStore {
    return new MemoryStore(clock);
  }

  /** Carries out one call. A watch is answered at once; waiting is up to the transport. */
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
    }
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
    this.entries.set(key, { key, version: this.lastVersion, value, leaseId });
    return { kind: 'written', version: this.lastVersion };
  }

  private delete(key: string, expectedVersion: number): StoreReply {
    const version = this.entries.get(key)?.version ?? 0;
    if (version !== expectedVersion) return { kind: 'conflict', version };
    this.entries.delete(key);
    return { kind: 'done' };
  }

  private grantLease(ttlMs: number): StoreReply {
    this.lastLease += 1;
    const leaseId = `lease-${this.lastLease}`;
    this.leases.set(leaseId, { ttlMs, expiresMs: this.clock.now + ttlMs });
    return { kind: 'lease', leaseId };
  }

  private renewLease(leaseId: string): StoreReply {
    const lease = this.leases.get(leaseId);
    if (lease === undefined) return { kind: 'leaseLost' };
    lease.expiresMs = this.clock.now + lease.ttlMs;
    return { kind: 'lease', leaseId };
  }

  private revokeLease(leaseId: string): void {
    this.leases.delete(leaseId);
    for (const entry of this.entries.values()) {
      if (entry.leaseId === leaseId) this.entries.delete(entry.key);
    }
  }

  private removeExpired(): void {
    for (const [leaseId, lease] of this.leases) {
      if (lease.expiresMs <= this.clock.now) this.revokeLease(leaseId);
    }
  }
}

function toStoreEntry(entry: StoreEntry): StoreEntry {
  return { key: entry.key, version: entry.version, value: entry.value };
}
