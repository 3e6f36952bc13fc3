import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { AgentState, EntryLinkRow } from '../../model/agentState.ts';
import type { ExchangeReply, ExchangeRequest } from '../../model/exchange.ts';
import { buildEndpointReports } from './announceSystem.ts';
import { hashEntryList, sortHomeAddresses } from './entryList.ts';
import { buildWorkerPayload } from './workerPayload.ts';

const LONG_POLL_MS = 1_000;
/**
 * The long poll plus 300 ms for the network and a busy entry. Two lost exchanges in a row must fit
 * into the 3 s within which a configuration is in force everywhere; with a timeout of 1.6 s the p99
 * of that time is 3.1 s.
 */
const EXCHANGE_TIMEOUT_MS = 1_300;
const MIN_EXCHANGE_INTERVAL_MS = 100;
const NEXT_TICK_DELAY_MS = 1;
/** Time for which an entry that did not answer is skipped before it is tried again. */
const FAILED_ENTRY_BACKOFF_MS = 5_000;

/**
 * Exchanges state with the home entry and with the owner of the worker's shard.
 * Reads `exchangeReply`, `endpoints`, `worker`. Writes `links`, `config`, `entries`,
 * `ownerAddress`, the phase. Runs each tick, after the announcements; keeps one long poll open per
 * link.
 */
export class AgentExchangeSystem extends System<AgentState> {
  override readonly name = 'agentExchange';

  private constructor() {
    super();
  }

  static create(): AgentExchangeSystem {
    return new AgentExchangeSystem();
  }

  override run(state: AgentState, tick: Tick): void {
    for (const arrival of state.inbox.list('exchangeReply'))
      this.handleReply(state, tick, arrival.callId, arrival.reply);
    const home = this.chooseHomeEntry(state, tick);
    const owner = state.self.hasWorker ? state.ownerAddress : undefined;
    for (const link of state.links.list()) {
      const isUsed = link.id === home || link.id === owner;
      const isInBackoff =
        link.failedMs !== undefined && tick.now - link.failedMs < FAILED_ENTRY_BACKOFF_MS;
      if (!isUsed && !isInBackoff && link.pendingCallId === undefined) state.links.remove(link.id);
    }
    if (home !== undefined) this.sendExchange(state, tick, home, true, home === owner);
    if (owner !== undefined && owner !== home) this.sendExchange(state, tick, owner, false, true);
  }

  /**
   * Chooses the first entry by rendezvous hashing that is not in its backoff, or the one that
   * failed the longest time ago when all are.
   */
  private chooseHomeEntry(state: AgentState, tick: Tick): string | undefined {
    const { self } = state;
    const addresses = sortHomeAddresses(self.id, state.entries.values(), self.seedAddresses);
    const all = [...addresses, ...self.seedAddresses.filter((seed) => !addresses.includes(seed))];
    const available = all.find((address) => {
      const failedMs = state.links.get(address)?.failedMs;
      return failedMs === undefined || tick.now - failedMs >= FAILED_ENTRY_BACKOFF_MS;
    });
    return available ?? this.chooseLeastRecentlyFailed(state, all);
  }

  private chooseLeastRecentlyFailed(
    state: AgentState,
    addresses: readonly string[],
  ): string | undefined {
    const failedMs = (address: string): number => state.links.get(address)?.failedMs ?? 0;
    return [...addresses].sort((a, b) => failedMs(a) - failedMs(b))[0];
  }

  private handleReply(
    state: AgentState,
    tick: Tick,
    callId: string,
    reply: ExchangeReply | undefined,
  ): void {
    const link = [...state.links.values()].find((candidate) => candidate.pendingCallId === callId);
    if (link === undefined) return;
    // The next exchange waits for a later tick because the worker system has not yet applied the
    // epoch and the commands of the reply.
    const nextSendMs = Math.max(
      tick.now + NEXT_TICK_DELAY_MS,
      link.sentMs + MIN_EXCHANGE_INTERVAL_MS,
    );
    if (reply === undefined || reply.failure !== undefined) {
      state.counters.add('exchange_failures');
      state.links.update(link.id, {
        pendingCallId: undefined,
        failedMs: tick.now,
        nextSendMs: tick.now + MIN_EXCHANGE_INTERVAL_MS,
      });
      state.outbox.append({
        kind: 'log',
        level: 'warn',
        event: 'entry_silent',
        fields: { address: link.id },
      });
      return;
    }
    state.links.update(link.id, {
      pendingCallId: undefined,
      lastReplyMs: tick.now,
      failedMs: undefined,
      nextSendMs,
    });
    this.applyReply(state, reply);
  }

  private applyReply(state: AgentState, reply: ExchangeReply): void {
    if (reply.config !== undefined && reply.config.revision > (state.config?.revision ?? -1)) {
      state.config = reply.config;
      state.outbox.append({
        kind: 'log',
        level: 'info',
        event: 'configuration_in_force',
        fields: { revision: reply.config.revision, source: 'exchange' },
      });
    }
    if (reply.entries !== undefined) {
      state.entries.clear();
      for (const entry of reply.entries) state.entries.set(entry);
    }
    if (reply.ownerAddress !== undefined) state.ownerAddress = reply.ownerAddress;
    if (state.self.phase === 'starting') state.self.phase = 'serving';
  }

  /**
   * Returns whether an exchange is due now, otherwise schedules a wake-up. A change of the
   * endpoints is sent while the previous exchange is still pending.
   */
  private isDue(state: AgentState, tick: Tick, link: EntryLinkRow, isHome: boolean): boolean {
    const hasChanges = isHome && link.sentAnnouncementVersion !== state.announcementVersion;
    const dueMs =
      link.pendingCallId === undefined ? link.nextSendMs : link.sentMs + MIN_EXCHANGE_INTERVAL_MS;
    if (link.pendingCallId !== undefined && !hasChanges) return false;
    if (dueMs <= tick.now) return true;
    tick.wakeAt(dueMs);
    return false;
  }

  private sendExchange(
    state: AgentState,
    tick: Tick,
    address: string,
    isHome: boolean,
    isOwner: boolean,
  ): void {
    const link: EntryLinkRow = state.links.get(address) ?? {
      id: address,
      seq: 0,
      pendingCallId: undefined,
      sentMs: Number.NEGATIVE_INFINITY,
      lastReplyMs: 0,
      nextSendMs: tick.now,
      failedMs: undefined,
      sentAnnouncementVersion: -1,
    };
    if (!this.isDue(state, tick, link, isHome)) return;
    state.exchangeSeq += 1;
    const seq = state.exchangeSeq;
    const callId = `exchange/${address}/${seq}`;
    state.links.set({
      ...link,
      seq,
      pendingCallId: callId,
      sentMs: tick.now,
      sentAnnouncementVersion: isHome ? state.announcementVersion : link.sentAnnouncementVersion,
    });
    state.outbox.append({
      kind: 'sendExchange',
      callId,
      address,
      timeoutMs: EXCHANGE_TIMEOUT_MS,
      request: this.buildRequest(state, seq, isHome, isOwner),
    });
  }

  private buildRequest(
    state: AgentState,
    seq: number,
    isHome: boolean,
    isOwner: boolean,
  ): ExchangeRequest {
    const { self } = state;
    const payload = isOwner ? buildWorkerPayload(state) : undefined;
    return {
      agentId: self.id,
      agentBootId: self.bootId,
      agentAddress: self.address,
      region: self.region,
      zone: self.zone,
      seq,
      // A leaving agent needs the acknowledgement before it can exit, so it does not wait.
      waitMs: self.phase === 'leaving' ? 0 : LONG_POLL_MS,
      configRevision: state.config?.revision ?? -1,
      entriesDigest: hashEntryList(state.entries.values()),
      epoch: payload?.epoch ?? 0,
      ...(isHome ? { endpoints: buildEndpointReports(state) } : {}),
      ...(state.worker === undefined ? {} : { workerId: state.worker.status.workerId }),
      ...(payload?.worker === undefined ? {} : { worker: payload.worker }),
    };
  }
}
