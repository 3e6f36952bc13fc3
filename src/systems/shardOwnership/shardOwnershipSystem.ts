import { sortByRendezvous } from '../../base/common/rendezvous.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { OwnershipClaimRow } from '../../model/ledger.ts';
import type { StoreEntry } from '../../model/store.ts';
import { OWNER_GRACE_MS } from '../leases/leaseTimes.ts';
import {
  OWNERSHIP_CALL_TIMEOUT_MS,
  formatOwnershipLockKey,
  formatOwnershipRecordKey,
} from './claimCalls.ts';
import {
  handleStepReply,
  isOwner,
  parseOwnershipRecord,
  retryStep,
  startStep,
  stopClaim,
} from './claimSteps.ts';
import { listAllShards, listRegionShards } from './shards.ts';

/** Period of the range read that covers the ownership keys of all shards. */
const LIST_PERIOD_MS = 1_000;
const LEASE_RENEW_PERIOD_MS = 2_000;
/** Delay of a claim for each candidate that ranks higher. */
const CANDIDATE_RANK_DELAY_MS = 500;
/** A call without a reply counts as lost this long after its own timeout. */
const REPLY_MARGIN_MS = 500;
const LIST_CALL_ID = 'duty.list';
/** Covers the record keys `duties/<shard>` and the lock keys `duties-held/<shard>`. */
const OWNERSHIP_KEY_PREFIX = 'duties';

export interface ShardOwnershipOptions {
  /** Grace period G of this entry as an owner, in milliseconds. */
  readonly graceMs?: number;
}

/**
 * Acquires, renews and releases the ownership of the region's shards and tracks the owners of all shards.
 * Reads `storeReply`, the configuration, `entries`. Writes `duties`, `ownershipClaims`, `calls`.
 * Runs each tick before the ledger. One range read per second covers the keys of all shards.
 */
export class ShardOwnershipSystem extends System<EntryState> {
  override readonly name = 'duty';

  private constructor(private readonly graceMs: number) {
    super();
  }

  static create(options: ShardOwnershipOptions = {}): ShardOwnershipSystem {
    return new ShardOwnershipSystem(options.graceMs ?? OWNER_GRACE_MS);
  }

  override run(state: EntryState, tick: Tick): void {
    this.addMissingRows(state);
    for (const { callId, reply } of state.inbox.list('storeReply')) {
      const listCall = state.calls.get(LIST_CALL_ID);
      if (listCall?.subject === callId) {
        state.calls.remove(LIST_CALL_ID);
        if (reply.kind === 'entries')
          this.applyListedKeys(state, tick, reply.entries, listCall.sentMs);
        continue;
      }
      for (const claim of state.ownershipClaims.list()) {
        if (claim.callId === callId) handleStepReply(state, tick, claim, reply);
        else if (claim.renewCallId === callId) this.handleRenewalReply(state, claim, reply.kind);
      }
    }
    if (state.self.phase !== 'serving' && state.self.phase !== 'leaving') return;
    this.sendListCall(state, tick);
    const regionShards = new Set(listRegionShards(state));
    for (const claim of state.ownershipClaims.list())
      this.advanceClaim(state, tick, claim, regionShards);
  }

  private addMissingRows(state: EntryState): void {
    for (const id of listAllShards(state)) {
      if (state.duties.has(id)) continue;
      state.duties.set({
        id,
        phase: 'watching',
        epoch: 0,
        ownerId: undefined,
        ownerAddress: undefined,
        confirmedMs: 0,
        takenMs: 0,
        inheritedUntilMs: 0,
      });
      state.ownershipClaims.set({
        id,
        step: 'idle',
        token: '',
        graceMs: this.graceMs,
        leaseId: undefined,
        record: undefined,
        recordVersion: 0,
        unlockedSinceMs: undefined,
        callId: undefined,
        isReadBack: false,
        sentMs: 0,
        retryAtMs: 0,
        renewCallId: undefined,
        renewSentMs: 0,
        isLeaseLost: false,
      });
    }
  }

  private sendListCall(state: EntryState, tick: Tick): void {
    const pendingCall = state.calls.get(LIST_CALL_ID);
    const lastMs = pendingCall?.sentMs ?? state.calls.get(`${LIST_CALL_ID}.last`)?.sentMs;
    const periodMs =
      pendingCall === undefined ? LIST_PERIOD_MS : OWNERSHIP_CALL_TIMEOUT_MS + REPLY_MARGIN_MS;
    if (lastMs !== undefined && tick.now - lastMs < periodMs) {
      tick.wakeAt(lastMs + periodMs);
      return;
    }
    const callId = `${LIST_CALL_ID}/${tick.random.takeId()}`;
    const call = { system: this.name, purpose: 'list', subject: callId, sentMs: tick.now };
    state.calls.set({ ...call, id: LIST_CALL_ID });
    state.calls.set({ ...call, id: `${LIST_CALL_ID}.last` });
    state.outbox.append({
      kind: 'callStore',
      callId,
      call: { op: 'list', prefix: OWNERSHIP_KEY_PREFIX },
      timeoutMs: OWNERSHIP_CALL_TIMEOUT_MS,
    });
    tick.wakeAt(tick.now + LIST_PERIOD_MS);
  }

  private applyListedKeys(
    state: EntryState,
    tick: Tick,
    entries: readonly StoreEntry[],
    sentMs: number,
  ): void {
    const byKey = new Map(entries.map((entry) => [entry.key, entry]));
    for (const claim of state.ownershipClaims.list()) {
      const entry = byKey.get(formatOwnershipRecordKey(claim.id));
      const isUnlocked = !byKey.has(formatOwnershipLockKey(claim.id));
      if (claim.step === 'idle') this.updateIdleClaim(state, tick, claim, entry, isUnlocked);
      else if (claim.step === 'held') this.checkHeldClaim(state, tick, claim, entry, sentMs);
    }
  }

  private updateIdleClaim(
    state: EntryState,
    tick: Tick,
    claim: OwnershipClaimRow,
    entry: StoreEntry | undefined,
    isUnlocked: boolean,
  ): void {
    const record =
      entry === undefined ? undefined : parseOwnershipRecord(state, claim.id, entry.value);
    if (entry !== undefined && record === undefined) return;
    if ((entry?.version ?? 0) < claim.recordVersion) return;
    state.ownershipClaims.update(claim.id, {
      record,
      recordVersion: entry?.version ?? 0,
      unlockedSinceMs: isUnlocked ? (claim.unlockedSinceMs ?? tick.now) : undefined,
    });
    state.duties.update(claim.id, {
      epoch: record?.epoch ?? 0,
      ownerId: isUnlocked ? undefined : record?.ownerId,
      ownerAddress: isUnlocked ? undefined : record?.ownerAddress,
    });
  }

  /**
   * Confirms the ownership if the record is still this entry's, and abandons it otherwise. A list that was
   * sent before the record was written does not show the owner's epoch and is ignored.
   */
  private checkHeldClaim(
    state: EntryState,
    tick: Tick,
    claim: OwnershipClaimRow,
    entry: StoreEntry | undefined,
    sentMs: number,
  ): void {
    if (sentMs < claim.sentMs) return;
    const record =
      entry === undefined ? undefined : parseOwnershipRecord(state, claim.id, entry.value);
    if (record?.token === claim.token) {
      const ownership = state.duties.get(claim.id);
      if (ownership !== undefined && ownership.confirmedMs < sentMs)
        state.duties.update(claim.id, { confirmedMs: sentMs });
      return;
    }
    const reason = record === undefined ? 'record-damaged' : 'record-of-another';
    stopClaim(state, claim, tick.now, reason);
  }

  private handleRenewalReply(state: EntryState, claim: OwnershipClaimRow, kind: string): void {
    state.ownershipClaims.update(claim.id, {
      renewCallId: undefined,
      ...(kind === 'leaseLost' ? { isLeaseLost: true } : {}),
    });
    if (kind === 'lease' && claim.step === 'held')
      state.duties.update(claim.id, { confirmedMs: claim.renewSentMs });
  }

  private advanceClaim(
    state: EntryState,
    tick: Tick,
    claim: OwnershipClaimRow,
    regionShards: ReadonlySet<string>,
  ): void {
    if (claim.step === 'idle') {
      if (regionShards.has(claim.id) && state.self.phase === 'serving')
        this.startClaim(state, tick, claim);
      return;
    }
    if (claim.step === 'held') {
      this.renewClaim(state, tick, claim);
      return;
    }
    const dueMs =
      claim.callId === undefined
        ? claim.retryAtMs
        : claim.sentMs + OWNERSHIP_CALL_TIMEOUT_MS + REPLY_MARGIN_MS;
    if (tick.now >= dueMs) retryStep(state, tick, claim);
    else tick.wakeAt(dueMs);
  }

  private startClaim(state: EntryState, tick: Tick, claim: OwnershipClaimRow): void {
    if (claim.unlockedSinceMs === undefined) return;
    const dueMs =
      claim.unlockedSinceMs + this.getCandidateRank(state, claim) * CANDIDATE_RANK_DELAY_MS;
    if (tick.now < dueMs) {
      tick.wakeAt(dueMs);
      return;
    }
    state.duties.update(claim.id, { phase: 'acquiring' });
    const token = `${state.self.info.id}/${tick.random.takeId()}`;
    startStep(state, tick, { ...claim, token, isLeaseLost: false }, 'granting');
  }

  /** Rank of this entry among the candidates. The last owner ranks last because it has just failed. */
  private getCandidateRank(state: EntryState, claim: OwnershipClaimRow): number {
    const { info } = state.self;
    const peers = [...state.entries.values()].filter((entry) => entry.region === info.region);
    const members = [...new Set([info.id, ...peers.map((entry) => entry.id)])];
    const sorted = sortByRendezvous(claim.id, members);
    const lastOwnerId = claim.record?.released === true ? undefined : claim.record?.ownerId;
    const candidates = sorted.filter((id) => id !== lastOwnerId);
    return info.id === lastOwnerId ? candidates.length : candidates.indexOf(info.id);
  }

  private renewClaim(state: EntryState, tick: Tick, claim: OwnershipClaimRow): void {
    if (state.self.phase === 'leaving') {
      this.releaseOwnership(state, tick, claim);
      return;
    }
    if (claim.isLeaseLost) {
      startStep(state, tick, { ...claim, renewCallId: undefined }, 'granting');
      return;
    }
    const dueMs =
      claim.renewSentMs +
      (claim.renewCallId === undefined ? LEASE_RENEW_PERIOD_MS : LEASE_RENEW_PERIOD_MS * 2);
    if (tick.now < dueMs) {
      tick.wakeAt(dueMs);
      return;
    }
    const callId = `duty/${claim.id}/renew/${tick.random.takeId()}`;
    state.ownershipClaims.update(claim.id, { renewCallId: callId, renewSentMs: tick.now });
    state.outbox.append({
      kind: 'callStore',
      callId,
      call: { op: 'renewLease', leaseId: claim.leaseId ?? '' },
      timeoutMs: OWNERSHIP_CALL_TIMEOUT_MS,
    });
    tick.wakeAt(tick.now + LEASE_RENEW_PERIOD_MS);
  }

  /** Stops renewing leases by the phase `releasing`, and writes the record once no append is in progress. */
  private releaseOwnership(state: EntryState, tick: Tick, claim: OwnershipClaimRow): void {
    if (isOwner(state, claim.id)) state.duties.update(claim.id, { phase: 'releasing' });
    if (state.ledgers.get(claim.id)?.append !== undefined) return;
    startStep(state, tick, claim, 'releasing-record');
  }
}
