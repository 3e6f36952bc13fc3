import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { PendingCallRow } from '../../model/call.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { StoreCall, StoreReply } from '../../model/store.ts';
import {
  applyConfiguration,
  CONFIGURATION_KEY,
  parseStoredConfiguration,
  recordConfirmation,
} from './applyConfiguration.ts';

export { CONFIGURATION_KEY };

const READ_PERIOD_MS = 1_000;
const READ_TIMEOUT_MS = 2_000;
const WATCH_WAIT_MS = 10_000;
/** A watch or its reply can be lost; conditional reads detect changes until the watch times out. */
const WATCH_TIMEOUT_MS = 11_000;
/** Limits the rate of calls when the store answers watches immediately. */
const MIN_WATCH_INTERVAL_MS = 1_000;
const LAST_READ_ID = 'configurationRead.last';
const LAST_WATCH_ID = 'configurationRead.watch';

/**
 * Updates the configuration from the store.
 * Reads `storeReply`. Writes the configuration, the phase of the process and `calls`.
 * Runs each tick; sends a conditional read every second and keeps one watch open.
 */
export class ConfigurationReadSystem extends System<EntryState> {
  override readonly name = 'configurationRead';

  private constructor() {
    super();
  }

  static create(): ConfigurationReadSystem {
    return new ConfigurationReadSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    for (const arrival of state.inbox.list('storeReply')) {
      const call = state.calls.get(arrival.callId);
      if (call?.system !== this.name) continue;
      state.calls.remove(call.id);
      this.handleReply(state, call, arrival.reply);
    }
    this.sendRead(state, tick);
    this.sendWatch(state, tick);
  }

  private sendRead(state: EntryState, tick: Tick): void {
    const last = state.calls.get(LAST_READ_ID);
    if (last !== undefined && tick.now - last.sentMs < READ_PERIOD_MS) {
      tick.wakeAt(last.sentMs + READ_PERIOD_MS);
      return;
    }
    const { version } = state.configuration;
    this.sendStoreCall(state, tick, LAST_READ_ID, 'read', READ_TIMEOUT_MS, {
      op: 'read',
      key: CONFIGURATION_KEY,
      newerThan: version,
    });
    tick.wakeAt(tick.now + READ_PERIOD_MS);
  }

  private sendWatch(state: EntryState, tick: Tick): void {
    if (state.configuration.confirmedSentMs === undefined) return;
    const last = state.calls.get(LAST_WATCH_ID);
    if (last !== undefined && state.calls.has(last.subject)) return;
    if (last !== undefined && tick.now - last.sentMs < MIN_WATCH_INTERVAL_MS) {
      tick.wakeAt(last.sentMs + MIN_WATCH_INTERVAL_MS);
      return;
    }
    this.sendStoreCall(state, tick, LAST_WATCH_ID, 'watch', WATCH_TIMEOUT_MS, {
      op: 'watch',
      key: CONFIGURATION_KEY,
      newerThan: state.configuration.version,
      waitMs: WATCH_WAIT_MS,
    });
  }

  /**
   * Sends a call under a unique id, so that a late reply is never matched with the send time of a
   * later call.
   */
  private sendStoreCall(
    state: EntryState,
    tick: Tick,
    lastId: string,
    purpose: string,
    timeoutMs: number,
    call: StoreCall,
  ): void {
    const callId = `${this.name}.${purpose}/${tick.now}`;
    const row = { system: this.name, purpose, sentMs: tick.now };
    state.calls.set({ ...row, id: callId, subject: CONFIGURATION_KEY });
    state.calls.set({ ...row, id: lastId, subject: callId });
    state.outbox.append({ kind: 'callStore', callId, call, timeoutMs });
  }

  private handleReply(state: EntryState, call: PendingCallRow, reply: StoreReply): void {
    if (reply.kind === 'unavailable') {
      state.counters.add('store_failures', { purpose: call.purpose });
      return;
    }
    // A watch without a change is answered up to 10 s after it was sent, so it confirms the state
    // only as of its send time.
    if (reply.kind === 'unchanged') {
      if (reply.version !== state.configuration.version) return;
      if (reply.version === 0 && state.configuration.current.revision > 0) return;
      recordConfirmation(state, call.sentMs, reply.version);
      this.markServing(state);
      return;
    }
    if (reply.kind !== 'entry') return;
    if (reply.entry.version === 0) {
      if (state.configuration.current.revision > 0) return;
      recordConfirmation(state, call.sentMs, 0);
      this.markServing(state);
      return;
    }
    const configuration = parseStoredConfiguration(state, reply.entry);
    if (configuration === undefined) return;
    if (configuration.revision < state.configuration.current.revision) return;
    applyConfiguration(state, configuration, 'store');
    recordConfirmation(state, call.sentMs, reply.entry.version);
    this.markServing(state);
  }

  private markServing(state: EntryState): void {
    if (state.self.phase === 'starting') state.self.phase = 'serving';
  }
}
