import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import { applyConfiguration } from './applyConfiguration.ts';

const PEER_CALL_TIMEOUT_MS = 1_000;
const RETRY_PERIOD_MS = 1_000;
const LAST_REQUEST_ROUND_ID = 'peerConfiguration.last';

/**
 * Requests the configuration from other entries: at the start while the store is unavailable, and
 * when a peer reports a greater revision. Answers `getConfig`.
 * Reads `peerCall`, `peerReply`, `entries`. Writes the configuration, the phase and `calls`.
 * Runs each tick, after the store reads.
 */
export class PeerConfigurationSystem extends System<EntryState> {
  override readonly name = 'peerConfiguration';

  private constructor() {
    super();
  }

  static create(): PeerConfigurationSystem {
    return new PeerConfigurationSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    for (const arrival of state.inbox.list('peerCall')) {
      if (arrival.call.kind === 'getConfig') this.answer(state, arrival.callId);
      if (arrival.call.kind !== 'sync') continue;
      if (arrival.call.configRevision <= state.configuration.current.revision) continue;
      const peer = state.entries.get(arrival.call.entryId);
      if (peer !== undefined) this.requestConfiguration(state, tick, peer.address);
    }
    for (const arrival of state.inbox.list('peerReply')) {
      const call = state.calls.get(arrival.callId);
      if (call?.system !== this.name) continue;
      state.calls.remove(call.id);
      if (arrival.reply?.kind === 'config' && arrival.reply.configuration !== undefined)
        applyConfiguration(state, arrival.reply.configuration, 'peer');
    }
    if (state.self.phase === 'starting') this.requestInitialConfiguration(state, tick);
  }

  /**
   * Answers with the configuration in force if it comes from the store, directly or through peers;
   * otherwise without one.
   */
  private answer(state: EntryState, callId: string): void {
    const { current, confirmedSentMs } = state.configuration;
    const isAvailable =
      state.self.phase !== 'starting' && (confirmedSentMs !== undefined || current.revision > 0);
    state.outbox.append({
      kind: 'answerPeer',
      callId,
      reply: { kind: 'config', ...(isAvailable ? { configuration: current } : {}) },
    });
  }

  private requestInitialConfiguration(state: EntryState, tick: Tick): void {
    const isWaiting = [...state.calls.values()].some(
      (call) => call.system === this.name && call.purpose === 'getConfig',
    );
    // Waits for the replies of all peers, so that the entry starts with the greatest revision.
    if (isWaiting) return;
    if (state.configuration.current.revision > 0) {
      state.self.phase = 'serving';
      return;
    }
    if (state.counters.get('store_failures', { purpose: 'read' }) === 0) return;
    const last = state.calls.get(LAST_REQUEST_ROUND_ID);
    if (last !== undefined && tick.now - last.sentMs < RETRY_PERIOD_MS) {
      tick.wakeAt(last.sentMs + RETRY_PERIOD_MS);
      return;
    }
    state.calls.set({
      id: LAST_REQUEST_ROUND_ID,
      system: this.name,
      purpose: 'round',
      subject: '',
      sentMs: tick.now,
    });
    const knownAddresses = [...state.entries.values()].map((entry) => entry.address);
    for (const address of new Set([...state.self.peerAddresses, ...knownAddresses])) {
      if (address !== state.self.info.address) this.requestConfiguration(state, tick, address);
    }
    tick.wakeAt(tick.now + RETRY_PERIOD_MS);
  }

  private requestConfiguration(state: EntryState, tick: Tick, address: string): void {
    const callId = `${this.name}.getConfig/${address}`;
    if (state.calls.has(callId)) return;
    state.calls.set({
      id: callId,
      system: this.name,
      purpose: 'getConfig',
      subject: address,
      sentMs: tick.now,
    });
    state.outbox.append({
      kind: 'callPeer',
      callId,
      address,
      call: { kind: 'getConfig' },
      timeoutMs: PEER_CALL_TIMEOUT_MS,
    });
  }
}
