import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import { listOwnershipBlockers, listRequestBlockers } from '../drain/entryBlockers.ts';

const REVOKE_TIMEOUT_MS = 1_500;
const REVOKE_CALL_ID = 'deregistration.revoke';

/**
 * Removes a leaving entry from the entry list once it has no requests, no keys to hand off and no
 * shard ownership.
 * Reads `storeReply` and what the blockers read. Writes `registration`, `calls`.
 * Runs each tick, before the drain.
 */
export class DeregistrationSystem extends System<EntryState> {
  override readonly name = 'deregistration';

  private constructor() {
    super();
  }

  static create(): DeregistrationSystem {
    return new DeregistrationSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    const { leaseId } = state.registration;
    if (state.self.phase !== 'leaving' || leaseId === undefined) return;
    // Any reply ends the wait, including a failure: the lease expires without a revocation.
    if (state.inbox.list('storeReply').some((reply) => reply.callId === REVOKE_CALL_ID)) {
      state.registration.leaseId = undefined;
      return;
    }
    const isBusy = listRequestBlockers(state).length + listOwnershipBlockers(state).length > 0;
    if (isBusy || state.calls.has(REVOKE_CALL_ID)) return;
    const call = { op: 'revokeLease', leaseId } as const;
    state.calls.set({
      id: REVOKE_CALL_ID,
      system: this.name,
      purpose: 'revoke',
      subject: '',
      sentMs: tick.now,
    });
    state.outbox.append({
      kind: 'callStore',
      callId: REVOKE_CALL_ID,
      call,
      timeoutMs: REVOKE_TIMEOUT_MS,
    });
  }
}
