import { createFailure } from '../../base/common/errors.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { KeyReplicaWriteRow, KeyRow } from '../../model/key.ts';
import type { PeerCall, PeerReply } from '../../model/peer.ts';
import { answerKeyCall, sendKeyCall } from './keyCalls.ts';
import { hasFullHistory, listKeyReplicas, listMembers } from './keyReplicas.ts';
import { applyKeyOutcome, mergeKeyRecord, removeExpiredKeys, removeKeyRow } from './keyRecords.ts';
import { setKeyRow } from './keyRecords.ts';

type ClaimCall = Extract<PeerCall, { kind: 'claimKey' }>;
type SettleCall = Extract<PeerCall, { kind: 'settleKey' }>;
type HandCall = Extract<PeerCall, { kind: 'handKeys' }>;
type ClaimReply = Extract<PeerReply, { kind: 'keyClaim' }>;

/**
 * Keeps the records of the idempotency keys that this entry holds.
 * Reads `peerCall`, `peerReply`, `entries`. Writes `keys`, `keyCopies`, `keyCovers`.
 * Runs each turn, between the sending of claims and the handling of their answers.
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
      else if (call.kind === 'settleKey') this.handleSettlement(state, tick, callId, call);
      else if (call.kind === 'handKeys') this.handleRecords(state, tick, callId, from, call);
    }
    for (const { callId, reply } of [...state.inbox.list('peerReply')]) {
      const copy = state.keyReplicaWrites.remove(callId);
      if (copy !== undefined) this.handleCopyReply(state, copy, reply);
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
    if (!canHold(state, call)) {
      answerWithFailure(state, callId);
      return;
    }
    const row = state.keys.get(call.key);
    if (row !== undefined && !isOwnClaim(row, call)) {
      answerKeyCall(state, callId, buildClaimReply(row, call));
      return;
    }
    // A claim that is sent again finds its own record, which proves nothing about the window.
    const covered =
      row === undefined
        ? !call.isRepeat || hasFullHistory(state, tick.now, call.key)
        : row.isUncovered !== true;
    setKeyRow(state, {
      id: call.key,
      fingerprint: call.fingerprint,
      requestId: call.requestId,
      claimant: call.claimant ?? from,
      state: 'claimed',
      ...(covered ? {} : { isUncovered: true }),
      changedMs: tick.now,
    });
    if (call.copy) {
      answerKeyCall(state, callId, { kind: 'keyClaim', state: 'granted', isCovered: covered });
      return;
    }
    const copy = {
      callId,
      key: call.key,
      requestId: call.requestId,
      needsSecondaryHistory: !covered,
    };
    if (this.sendCopy(state, call, copy)) return;
    if (!covered) removeKeyRow(state, call.key);
    answerKeyCall(state, callId, { kind: 'keyClaim', state: covered ? 'granted' : 'unknown' });
  }

  private handleSettlement(state: EntryState, tick: Tick, callId: string, call: SettleCall): void {
    if (!canHold(state, call)) {
      answerWithFailure(state, callId);
      return;
    }
    applyKeyOutcome(state, tick.now, call);
    const copy = { callId, key: call.key, requestId: call.requestId, needsSecondaryHistory: false };
    if (call.copy || !this.sendCopy(state, call, copy))
      answerKeyCall(state, callId, { kind: 'done' });
  }

  private handleRecords(
    state: EntryState,
    tick: Tick,
    callId: string,
    from: string,
    call: HandCall,
  ): void {
    for (const record of call.records) mergeKeyRecord(state, tick.now, record);
    if (call.coveredMs !== undefined)
      state.keyHistories.set({ id: from, fromMs: tick.now - call.coveredMs, untilMs: tick.now });
    answerKeyCall(state, callId, { kind: 'done' });
  }

  /** Returns false when there is no other holder. */
  private sendCopy(
    state: EntryState,
    call: ClaimCall | SettleCall,
    copy: Omit<KeyReplicaWriteRow, 'id'>,
  ): boolean {
    const secondary = listKeyReplicas(call.key, listMembers(state))[1];
    if (secondary === undefined) return false;
    const id = `copy/${copy.callId}`;
    state.keyReplicaWrites.set({ id, ...copy });
    sendKeyCall(state, secondary.id, id, { ...call, copy: true });
    return true;
  }

  private handleCopyReply(
    state: EntryState,
    copy: KeyReplicaWriteRow,
    reply: PeerReply | undefined,
  ): void {
    if (reply === undefined || reply.kind === 'failure') {
      state.counters.add('key_copies_failed');
      answerWithFailure(state, copy.callId);
      return;
    }
    if (reply.kind !== 'keyClaim') {
      answerKeyCall(state, copy.callId, reply);
      return;
    }
    const answer = toPrimaryReply(copy, reply);
    const isOwn = state.keys.get(copy.key)?.requestId === copy.requestId;
    if (answer.state !== 'granted' && isOwn) removeKeyRow(state, copy.key);
    answerKeyCall(state, copy.callId, answer);
  }
}

/** A primary refuses what another entry should hold; a copy is always accepted. */
function canHold(state: EntryState, call: ClaimCall | SettleCall): boolean {
  if (state.keyReplicaState.isHandedOff) return false;
  if (call.copy) return true;
  return listKeyReplicas(call.key, listMembers(state))[0]?.id === state.self.info.id;
}

function isOwnClaim(row: KeyRow, call: ClaimCall): boolean {
  return row.requestId === call.requestId && row.state === 'claimed';
}

function buildClaimReply(row: KeyRow, call: ClaimCall): ClaimReply {
  if (row.fingerprint !== call.fingerprint) return { kind: 'keyClaim', state: 'reused' };
  if (row.state === 'claimed') return { kind: 'keyClaim', state: 'inProgress' };
  if (row.state === 'unknown' || row.response === undefined)
    return { kind: 'keyClaim', state: 'unknown' };
  return { kind: 'keyClaim', state: 'answered', response: row.response };
}

/** The secondary's record wins: it may be older than the primary's memory. */
function toPrimaryReply(copy: KeyReplicaWriteRow, reply: ClaimReply): ClaimReply {
  if (reply.state === 'granted' && copy.needsSecondaryHistory && reply.isCovered !== true)
    return { kind: 'keyClaim', state: 'unknown' };
  return reply;
}

function answerWithFailure(state: EntryState, callId: string): void {
  const failure = createFailure('not_owner', 'this entry does not hold the key now');
  answerKeyCall(state, callId, { kind: 'failure', failure });
}
