import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { KeyOutcomeRow } from '../../model/key.ts';
import type { RequestRow } from '../../model/request.ts';
import { sendKeyCall } from './keyCalls.ts';
import { listKeyReplicas, listRegionMembers } from './keyReplicas.ts';
import { formatKeyId, hashRequest } from './keyOutcomes.ts';

/** An outcome that no replica accepts within this time is dropped; the claim then stays open. */
const OUTCOME_SEND_TIMEOUT_MS = 30_000;
const OUTCOME_RESEND_PERIOD_MS = 500;

/**
 * Sends the key claims and outcomes of this entry's requests to the primary replicas.
 * Reads `requests`, `entries`. Writes `calls`, `requests`, `keyOutcomes`.
 * Runs each tick after intake and before the replica, so that a local replica answers in the same tick.
 */
export class KeyClaimSystem extends System<EntryState> {
  override readonly name = 'keyClaim';

  private constructor() {
    super();
  }

  static create(): KeyClaimSystem {
    return new KeyClaimSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    for (const request of state.requestsByPhase.list('claiming')) {
      if (state.calls.has(`claim/${request.id}`)) continue;
      if (request.notBeforeMs > tick.now) tick.wakeAt(request.notBeforeMs);
      else this.sendClaim(state, tick, request);
    }
    for (const outcome of state.keyOutcomes.list()) {
      if (outcome.nextSendMs > tick.now) tick.wakeAt(outcome.nextSendMs);
      else this.sendOutcome(state, tick, outcome);
    }
  }

  private sendClaim(state: EntryState, tick: Tick, request: RequestRow): void {
    const key = formatKeyId(request);
    const primary = listKeyReplicas(key, listRegionMembers(state))[0];
    if (primary === undefined) return;
    const callId = `claim/${request.id}`;
    const isSent = sendKeyCall(state, primary.id, callId, {
      kind: 'claimKey',
      key,
      fingerprint: hashRequest(request),
      requestId: request.id,
      isRepeat: request.request.isRepeat,
      copy: false,
      claimant: state.self.info.id,
    });
    if (!isSent) return;
    state.requests.update(request.id, { hasClaim: true });
    state.calls.set({
      id: callId,
      system: this.name,
      purpose: 'claim',
      subject: request.id,
      sentMs: tick.now,
    });
  }

  private sendOutcome(state: EntryState, tick: Tick, outcome: KeyOutcomeRow): void {
    const firstSentMs = outcome.firstSentMs ?? tick.now;
    if (tick.now - firstSentMs > OUTCOME_SEND_TIMEOUT_MS) {
      state.counters.add('key_settlements_dropped');
      state.keyOutcomes.remove(outcome.id);
      return;
    }
    const primary = listKeyReplicas(outcome.call.key, listRegionMembers(state))[0];
    if (primary === undefined) return;
    const nextSendMs = tick.now + OUTCOME_RESEND_PERIOD_MS;
    state.keyOutcomes.set({ ...outcome, firstSentMs, nextSendMs });
    tick.wakeAt(nextSendMs);
    sendKeyCall(state, primary.id, `settle/${outcome.id}`, outcome.call);
  }
}
