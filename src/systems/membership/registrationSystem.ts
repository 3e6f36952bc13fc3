import * as z from 'zod/mini';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { PendingCallRow } from '../../model/call.ts';
import type { EntryState } from '../../model/entryState.ts';
import { entryInfoSchema } from '../../model/exchange.ts';
import type { StoreCall, StoreEntry, StoreReply } from '../../model/store.ts';
import { hashEntryList } from './entryList.ts';

const LEASE_TTL_MS = 6_000;
const REFRESH_PERIOD_MS = 2_000;
const CALL_TIMEOUT_MS = 1_500;
/** Minimum time between reads of the entry list that calls of unknown entries cause. */
const MIN_LIST_INTERVAL_MS = 100;

/** Value of an entry's key in the store. */
const registrationSchema = z.extend(entryInfoSchema, { bootId: z.string() });

function formatEntryKey(region: string, id: string): string {
  return `entries/${region}/${id}`;
}

/**
 * Registers this entry in the entry list of its region and reads the list.
 * Reads `storeReply`, `peerCall`, `peerReply`. Writes `registration`, `entries`, `calls`.
 * Runs each tick; every 2 s renews the store lease and reads the list. While the store is
 * unavailable, the last list stays in use and the liveness of peers follows from their calls and
 * answers.
 */
export class RegistrationSystem extends System<EntryState> {
  override readonly name = 'registration';

  private constructor() {
    super();
  }

  static create(): RegistrationSystem {
    return new RegistrationSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    for (const arrival of state.inbox.list('peerCall'))
      this.recordContact(state, tick, arrival.from);
    for (const arrival of state.inbox.list('storeReply')) {
      const call = state.calls.get(arrival.callId);
      if (call?.system !== this.name || call.purpose === 'period') continue;
      state.calls.remove(call.id);
      this.handleReply(state, tick, call, arrival.reply);
    }
    this.addSelf(state, tick);
    this.runPeriodically(state, tick, 'list', () => {
      this.sendStoreCall(state, tick, 'list', {
        op: 'list',
        prefix: this.getEntryKeyPrefix(state),
      });
    });
    // A leaving entry still holds keys and answers requests, so it stays registered until it has
    // drained.
    if (state.self.phase !== 'serving' && state.self.phase !== 'leaving') return;
    this.runPeriodically(state, tick, 'renew', () => {
      this.sendLeaseCall(state, tick);
    });
  }

  private getEntryKeyPrefix(state: EntryState): string {
    return formatEntryKey(state.self.info.region, '');
  }

  private runPeriodically(
    state: EntryState,
    tick: Tick,
    purpose: string,
    action: () => void,
  ): void {
    const id = `${this.name}.${purpose}.period`;
    const last = state.calls.get(id);
    if (last !== undefined && tick.now - last.sentMs < REFRESH_PERIOD_MS) {
      tick.wakeAt(last.sentMs + REFRESH_PERIOD_MS);
      return;
    }
    state.calls.set({ id, system: this.name, purpose: 'period', subject: '', sentMs: tick.now });
    tick.wakeAt(tick.now + REFRESH_PERIOD_MS);
    action();
  }

  private sendLeaseCall(state: EntryState, tick: Tick): void {
    const { leaseId, version } = state.registration;
    if (leaseId === undefined) {
      if (state.self.phase !== 'serving') return;
      this.sendStoreCall(state, tick, 'grant', { op: 'grantLease', ttlMs: LEASE_TTL_MS });
      return;
    }
    this.sendStoreCall(state, tick, 'renew', { op: 'renewLease', leaseId });
    if (version === undefined) this.sendRegistration(state, tick, 0);
  }

  private sendRegistration(state: EntryState, tick: Tick, expectedVersion: number): void {
    const { leaseId } = state.registration;
    if (leaseId === undefined || state.self.phase !== 'serving') return;
    const { info, bootId } = state.self;
    this.sendStoreCall(state, tick, 'write', {
      op: 'write',
      key: formatEntryKey(info.region, info.id),
      expectedVersion,
      value: { ...info, bootId },
      leaseId,
    });
  }

  private sendStoreCall(state: EntryState, tick: Tick, purpose: string, call: StoreCall): void {
    const callId = `${this.name}.${purpose}/${tick.now}`;
    state.calls.set({ id: callId, system: this.name, purpose, subject: '', sentMs: tick.now });
    state.outbox.append({ kind: 'callStore', callId, call, timeoutMs: CALL_TIMEOUT_MS });
  }

  private handleReply(
    state: EntryState,
    tick: Tick,
    call: PendingCallRow,
    reply: StoreReply,
  ): void {
    const { registration } = state;
    if (reply.kind === 'unavailable') {
      state.counters.add('store_failures', { purpose: call.purpose });
    } else if (reply.kind === 'entries') {
      this.reconcileEntries(state, reply.entries);
    } else if (reply.kind === 'lease') {
      registration.renewedMs = call.sentMs;
      if (call.purpose !== 'grant') return;
      registration.leaseId = reply.leaseId;
      registration.version = undefined;
      this.sendRegistration(state, tick, 0);
    } else if (reply.kind === 'written') {
      registration.version = reply.version;
      this.sendStoreCall(state, tick, 'list', {
        op: 'list',
        prefix: this.getEntryKeyPrefix(state),
      });
    } else if (reply.kind === 'conflict') {
      // The key of an earlier boot still exists, or the reply to this boot's write was lost.
      this.sendRegistration(state, tick, reply.version);
    } else if (reply.kind === 'leaseLost') {
      registration.leaseId = undefined;
      registration.version = undefined;
      this.sendStoreCall(state, tick, 'grant', { op: 'grantLease', ttlMs: LEASE_TTL_MS });
    }
  }

  private reconcileEntries(state: EntryState, listed: readonly StoreEntry[]): void {
    const infos = listed.flatMap((entry) => {
      const parsed = z.safeParse(registrationSchema, entry.value);
      return parsed.success ? [parsed.data] : [];
    });
    const ids = new Set(infos.map((info) => info.id));
    const { registration, self } = state;
    // The key is missing although the store did not report the lease as lost, e.g. after a store
    // reset.
    if (!ids.has(self.info.id)) registration.version = undefined;
    for (const entry of state.entries.list()) {
      if (entry.id !== self.info.id && !ids.has(entry.id)) this.removeEntry(state, entry.id);
    }
    for (const { id, region, zone, address } of infos) {
      if (id === self.info.id) continue;
      const existing = state.entries.get(id);
      if (existing?.address === address && existing.zone === zone) continue;
      state.entries.set({ id, region, zone, address, lastHeardMs: existing?.lastHeardMs ?? 0 });
      this.updateDigest(state);
      this.logMembershipChange(state, 'entry_joined', id);
    }
  }

  private removeEntry(state: EntryState, id: string): void {
    state.entries.remove(id);
    this.updateDigest(state);
    this.logMembershipChange(state, 'entry_left', id);
  }

  private logMembershipChange(state: EntryState, event: string, entry: string): void {
    state.outbox.append({ kind: 'log', level: 'info', event, fields: { entry } });
  }

  private addSelf(state: EntryState, tick: Tick): void {
    const { info } = state.self;
    if (state.entries.has(info.id) || info.address === '') return;
    state.entries.set({ ...info, lastHeardMs: tick.now });
    this.updateDigest(state);
  }

  private updateDigest(state: EntryState): void {
    state.registration.entriesDigest = hashEntryList(state.entries.values());
  }

  private recordContact(state: EntryState, tick: Tick, entryId: string): void {
    if (state.entries.update(entryId, { lastHeardMs: tick.now }) !== undefined) return;
    // An unknown entry has just registered: the next read of the list becomes due now.
    const id = `${this.name}.list.period`;
    const last = state.calls.get(id);
    if (last === undefined || tick.now - last.sentMs < MIN_LIST_INTERVAL_MS) return;
    state.calls.update(id, { sentMs: tick.now - REFRESH_PERIOD_MS });
  }
}
