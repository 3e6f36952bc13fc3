import { createFailure } from '../../base/common/errors.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import { closeWithFailure } from '../requests/refuse.ts';

/** Time for the balancer to see the health page and send new connections elsewhere. */
const BALANCER_WAIT_MS = 2_000;
const STORE_TIMEOUT_MS = 1_500;
const EXIT_DELAY_MS = 50;
const CLOSE_ID = 'entryDrain.close';
const REVOKE_ID = 'entryDrain.revoke';

/**
 * Runs the graceful shutdown of an entry: leave the balancer, close the listener, answer what is in
 * progress, give back the duties, delete the entry key, exit.
 * Reads `stopRequested`, `requests`, `duties`, `storeReply`. Writes the phase, `calls`, `requests`.
 * Runs each turn, last.
 */
export class EntryDrainSystem extends System<EntryState> {
  override readonly name = 'entryDrain';

  private constructor() {
    super();
  }

  static create(): EntryDrainSystem {
    return new EntryDrainSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    const { self } = state;
    if (state.inbox.list('stopRequested').length > 0) this.startLeaving(state, tick);
    if (self.phase !== 'leaving' || self.leavingSinceMs === undefined) return;
    const boundMs = self.leavingSinceMs + self.stopBoundMs;
    if (tick.now >= boundMs) {
      this.closeRequests(state);
      this.stopProcess(state, tick);
      return;
    }
    tick.wakeAt(boundMs);
    const closeMs = self.leavingSinceMs + BALANCER_WAIT_MS;
    if (tick.now < closeMs) {
      tick.wakeAt(closeMs);
      return;
    }
    if (!state.calls.has(CLOSE_ID)) {
      this.addCall(state, tick, CLOSE_ID);
      state.outbox.append({ kind: 'closeFront' });
    }
    const holdsDuty = [...state.duties.values()].some(
      (duty) => duty.phase === 'holding' || duty.phase === 'releasing',
    );
    if (state.requests.size > 0 || holdsDuty) return;
    this.removeRegistration(state, tick);
  }

  private startLeaving(state: EntryState, tick: Tick): void {
    if (state.self.phase === 'leaving' || state.self.phase === 'stopped') return;
    state.self.phase = 'leaving';
    state.self.leavingSinceMs = tick.now;
    state.outbox.append({
      kind: 'log',
      level: 'info',
      event: 'entry_leaving',
      fields: { requests: state.requests.size },
    });
  }

  private closeRequests(state: EntryState): void {
    for (const request of state.requests.list()) {
      state.outbox.append({
        kind: 'log',
        level: 'warn',
        event: 'request_cut_off',
        fields: { request: request.id },
      });
      const kind = request.mayHaveRun ? 'outcome_unknown' : 'shutting_down';
      closeWithFailure(state, request.id, createFailure(kind, 'the entry has stopped'));
    }
  }

  /** Revoking the lease deletes the entry's key. */
  private removeRegistration(state: EntryState, tick: Tick): void {
    const { leaseId } = state.registration;
    const revoke = state.calls.get(REVOKE_ID);
    if (revoke === undefined && leaseId !== undefined) {
      this.addCall(state, tick, REVOKE_ID);
      state.outbox.append({
        kind: 'callStore',
        callId: REVOKE_ID,
        call: { op: 'revokeLease', leaseId },
        timeoutMs: STORE_TIMEOUT_MS,
      });
      return;
    }
    const isAnswered = state.inbox.list('storeReply').some((reply) => reply.callId === REVOKE_ID);
    if (isAnswered) state.registration.leaseId = undefined;
    if (revoke !== undefined && state.registration.leaseId !== undefined) return;
    // Answers that are already in the adapter need time to reach their callers.
    const doneId = `${REVOKE_ID}.done`;
    if (!state.calls.has(doneId)) this.addCall(state, tick, doneId);
    const exitMs = (state.calls.get(doneId)?.sentMs ?? tick.now) + EXIT_DELAY_MS;
    if (tick.now >= exitMs) this.stopProcess(state, tick);
    else tick.wakeAt(exitMs);
  }

  private addCall(state: EntryState, tick: Tick, id: string): void {
    state.calls.set({ id, owner: this.name, purpose: id, subject: '', sentMs: tick.now });
  }

  private stopProcess(state: EntryState, tick: Tick): void {
    state.self.phase = 'stopped';
    state.outbox.append({
      kind: 'log',
      level: 'info',
      event: 'entry_stopped',
      fields: { afterMs: Math.round(tick.now - (state.self.leavingSinceMs ?? tick.now)) },
    });
    state.outbox.append({ kind: 'exit' });
  }
}
