import { createFailure } from '../../base/common/errors.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { KeyReplicaWriteRow, KeyRow } from '../../model/key.ts';
import type { PeerCall, PeerReply } from '../../model/peer.ts';
import { answerKeyCall, sendKeyCall } from './keyCalls.ts';
import { hasFullHistory, listKeyReplicas, listRegionMembers } from './keyReplicas.ts';
import { applyKeyOutcome, mergeKeyRecord, removeExpiredKeys, removeKeyRow } from './keyRecords.ts';
import { setKeyRow } from './keyRecords.ts';

type ClaimCall = Extract<PeerCall, { kind: 'claimKey' }>;
type OutcomeCall = Extract<PeerCall, { kind: 'settleKey' }>;
type HandoffCall = Extract<PeerCall, { kind: 'handKeys' }>;
type ClaimReply = Extract<PeerReply, { kind: 'keyClaim' }>;

/**
 * Stores the records of the idempotency keys that this entry replicates.
 * Reads `peerCall`, `peerReply`, `entries`. Writes `keys`, `keyReplicaWrites`, `keyHistories`.
 * Runs each tick between the sending of claims and the handling of their replies.
 */
export class KeyReplicaSystem extends System<EntryState> {
  override readonly name = 'keyHolder';

  private constructor() {
    super();
  }

  static create(): KeyReplicaSystem {
    return new KeyReplicaSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    for (const { callId, from, call } of state.inbox.list('peerCall')) {
      if (call.kind === 'claimKey') this.handleClaim(state, tick, callId, from, call);
      else if (call.kind === 'settleKey') this.handleOutcome(state, tick, callId, call);
      else if (call.kind === 'handKeys') this.handleHandoff(state, tick, callId, from, call);
    }
    for (const { callId, reply } of [...state.inbox.list('peerReply')]) {
      const replicaWrite = state.keyReplicaWrites.remove(callId);
      if (replicaWrite !== undefined) this.handleSecondaryReply(state, replicaWrite, reply);
    }
    removeExpiredKeys(state, tick.now);
  }

  private handleClaim(
    state: EntryState,
    tick: Tick,
    callId: string,
    from: string,
    call: ClaimCall,
  ): void {
    if (!canAcceptCall(state, call)) {
      refuseKeyCall(state, callId);
      return;
    }
    const row = state.keys.get(call.key);
    if (row !== undefined && !isSameClaim(row, call)) {
      answerKeyCall(state, callId, buildClaimReply(row, call));
      return;
    }
    // A resent claim finds its own record, which does not prove that the history of the window is complete.
    const canGrant =
      row === undefined
        ? !call.isRepeat || hasFullHistory(state, tick.now, call.key)
        : row.isUncovered !== true;
    setKeyRow(state, {
      id: call.key,
      fingerprint: call.fingerprint,
      requestId: call.requestId,
      claimant: call.claimant ?? from,
      state: 'claimed',
      ...(canGrant ? {} : { isUncovered: true }),
      changedMs: tick.now,
    });
    if (call.copy) {
      answerKeyCall(state, callId, { kind: 'keyClaim', state: 'granted', isCovered: canGrant });
      return;
    }
    const replicaWrite = {
      callId,
      key: call.key,
      requestId: call.requestId,
      needsSecondaryHistory: !canGrant,
    };
    if (this.sendToSecondary(state, call, replicaWrite)) return;
    if (!canGrant) removeKeyRow(state, call.key);
    answerKeyCall(state, callId, { kind: 'keyClaim', state: canGrant ? 'granted' : 'unknown' });
  }

  private handleOutcome(state: EntryState, tick: Tick, callId: string, call: OutcomeCall): void {
    if (!canAcceptCall(state, call)) {
      refuseKeyCall(state, callId);
      return;
    }
    applyKeyOutcome(state, tick.now, call);
    const replicaWrite = {
      callId,
      key: call.key,
      requestId: call.requestId,
      needsSecondaryHistory: false,
    };
    if (call.copy || !this.sendToSecondary(state, call, replicaWrite))
      answerKeyCall(state, callId, { kind: 'done' });
  }

  private handleHandoff(
    state: EntryState,
    tick: Tick,
    callId: string,
    from: string,
    call: HandoffCall,
  ): void {
    for (const record of call.records) mergeKeyRecord(state, tick.now, record);
    if (call.coveredMs !== undefined)
      state.keyHistories.set({ id: from, fromMs: tick.now - call.coveredMs, untilMs: tick.now });
    answerKeyCall(state, callId, { kind: 'done' });
  }

  /** Sends a copy of the call to the secondary replica. Returns false when there is none. */
  private sendToSecondary(
    state: EntryState,
    call: ClaimCall | OutcomeCall,
    replicaWrite: Omit<KeyReplicaWriteRow, 'id'>,
  ): boolean {
    const secondary = listKeyReplicas(call.key, listRegionMembers(state))[1];
    if (secondary === undefined) return false;
    const id = `copy/${replicaWrite.callId}`;
    state.keyReplicaWrites.set({ id, ...replicaWrite });
    sendKeyCall(state, secondary.id, id, { ...call, copy: true });
    return true;
  }

  private handleSecondaryReply(
    state: EntryState,
    replicaWrite: KeyReplicaWriteRow,
    reply: PeerReply | undefined,
  ): void {
    if (reply === undefined || reply.kind === 'failure') {
      state.counters.add('key_copies_failed');
      refuseKeyCall(state, replicaWrite.callId);
      return;
    }
    if (reply.kind !== 'keyClaim') {
      answerKeyCall(state, replicaWrite.callId, reply);
      return;
    }
    const answer = buildPrimaryReply(replicaWrite, reply);
    const isSameRequest = state.keys.get(replicaWrite.key)?.requestId === replicaWrite.requestId;
    if (answer.state !== 'granted' && isSameRequest) removeKeyRow(state, replicaWrite.key);
    answerKeyCall(state, replicaWrite.callId, answer);
  }
}

/** Whether this entry accepts the call. A primary accepts only its own keys; a secondary accepts every copy. */
function canAcceptCall(state: EntryState, call: ClaimCall | OutcomeCall): boolean {
  if (state.keyReplicaState.isHandedOff) return false;
  if (call.copy) return true;
  return listKeyReplicas(call.key, listRegionMembers(state))[0]?.id === state.self.info.id;
}

function isSameClaim(row: KeyRow, call: ClaimCall): boolean {
  return row.requestId === call.requestId && row.state === 'claimed';
}

function buildClaimReply(row: KeyRow, call: ClaimCall): ClaimReply {
  if (row.fingerprint !== call.fingerprint) return { kind: 'keyClaim', state: 'reused' };
  if (row.state === 'claimed') return { kind: 'keyClaim', state: 'inProgress' };
  if (row.state === 'unknown' || row.response === undefined)
    return { kind: 'keyClaim', state: 'unknown' };
  return { kind: 'keyClaim', state: 'answered', response: row.response };
}

/** Builds the primary's reply. The secondary's record prevails: it may predate the primary's history. */
function buildPrimaryReply(replicaWrite: KeyReplicaWriteRow, reply: ClaimReply): ClaimReply {
  if (reply.state === 'granted' && replicaWrite.needsSecondaryHistory && reply.isCovered !== true)
    return { kind: 'keyClaim', state: 'unknown' };
  return reply;
}

function refuseKeyCall(state: EntryState, callId: string): void {
  const failure = createFailure(
    'not_owner',
    'this entry is not the primary replica of the key or has handed it off',
  );
  answerKeyCall(state, callId, { kind: 'failure', failure });
}
