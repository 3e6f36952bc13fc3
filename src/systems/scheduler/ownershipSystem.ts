import { parseValue } from '../../base/common/parse.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { OwnerRecord } from '../../model/scheduler/jobRecord.ts';
import { epochSchema, ownerRecordSchema, STORE_KEYS } from '../../model/scheduler/jobRecord.ts';
import { confirmOwnerKey, confirmOwnership } from '../../model/scheduler/ownership.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import type { StoreEntry } from '../../model/store.ts';
import {
  GRANT_WINDOW_MS,
  LARGER_ENTRY_FACTOR,
  OWNER_KEY_CHECK_INTERVAL_MS,
  OWNER_LEASE_MARGIN_MS,
  SMALLER_ENTRY_DELAY_MS,
} from './ownershipTimes.ts';
import { computeEarlierGrantsMs } from './earlierGrants.ts';
import { applyLastOwner, buildLastOwner } from './lastOwnerSystem.ts';
import { resetToFollower } from './resetToFollower.ts';
import { listStoreReplies, logEvent, sendStoreCall } from './storeCalls.ts';
import { recordUnreadableEntry } from './unreadableEntries.ts';

const RENEWAL_INTERVAL_MS = 400;
const RENEWAL_RETRY_DELAY_MS = 150;
/** Interval at which an entry without a live owner checks the owner key. */
const CLAIM_INTERVAL_MS = 200;
/** A slow store answers within 0.4 s; a call on a dead connection must not delay a takeover. */
const STORE_CALL_TIMEOUT_MS = 800;
/**
 * Timeout for the first status update on a new link. It arrives after two or three ticks of the
 * owner, and a tick can take 0.7 s at 0.19 cores. A link that is reopened earlier never receives
 * one, and each opening slows the owner down.
 */
const FIRST_STATUS_UPDATE_TIMEOUT_MS = 2_500;
/** Status updates arrive every 300 ms; two missed ones mean that the owner or the link failed. */
const OWNER_SILENCE_TIMEOUT_MS = 900;

/**
 * Claims and renews ownership, and resets the entry to a follower when it loses ownership. Reads
 * store replies and the link to the current owner; writes `ownership`. Runs after the handoff
 * system.
 */
export class OwnershipSystem extends System<SchedulerState> {
  override readonly name = 'ownership';

  private constructor() {
    super();
  }

  static create(): OwnershipSystem {
    return new OwnershipSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    this.receiveProbe(state, tick.now);
    this.receiveLease(state, tick.now);
    this.receiveClaim(state, tick);
    this.receiveRenewal(state, tick.now);
    this.receiveCheck(state, tick.now);
    const { ownership } = state;
    if (ownership.role === 'owner' || ownership.role === 'loading') this.renew(state, tick);
    else this.followOwner(state, tick);
  }

  private renew(state: SchedulerState, tick: Tick): void {
    const { ownership } = state;
    if (tick.now - ownership.confirmedAt > GRANT_WINDOW_MS) {
      resetToFollower(state, 'the store has not confirmed it in time', tick.now);
      return;
    }
    if (tick.now >= ownership.checkAt) this.sendCheck(state, tick.now);
    if (tick.now >= ownership.renewAt) {
      ownership.renewAt = tick.now + RENEWAL_INTERVAL_MS;
      sendStoreCall(
        state,
        'renew',
        { op: 'renewLease', leaseId: ownership.leaseId },
        STORE_CALL_TIMEOUT_MS,
      );
    }
    tick.wakeAt(Math.min(ownership.renewAt, ownership.checkAt));
  }

  private sendCheck(state: SchedulerState, now: number): void {
    const { ownership } = state;
    ownership.checkAt = now + OWNER_KEY_CHECK_INTERVAL_MS;
    const expected = [{ key: STORE_KEYS.owner, version: ownership.keyVersion }];
    const call = { op: 'transact' as const, expected, puts: [], deletes: [] };
    ownership.checkCallId = sendStoreCall(state, 'ownerCheck', call, STORE_CALL_TIMEOUT_MS);
  }

  private receiveCheck(state: SchedulerState, now: number): void {
    const { ownership } = state;
    for (const { callId, reply, sentAt } of listStoreReplies(state, 'ownerCheck')) {
      if (callId !== ownership.checkCallId) continue;
      if (reply.kind === 'mismatch')
        resetToFollower(state, 'another owner or none is in the store', now);
      else if (reply.kind === 'written') confirmOwnerKey(ownership, sentAt);
      else ownership.checkAt = Math.min(ownership.checkAt, now + RENEWAL_RETRY_DELAY_MS);
    }
  }

  private receiveRenewal(state: SchedulerState, now: number): void {
    const { ownership } = state;
    for (const { reply, sentAt } of listStoreReplies(state, 'renew')) {
      if (ownership.role !== 'owner' && ownership.role !== 'loading') continue;
      if (reply.kind === 'lease' && reply.leaseId === ownership.leaseId)
        confirmOwnership(ownership, sentAt);
      else if (reply.kind === 'leaseLost') resetToFollower(state, 'the lease has ended', now);
      else ownership.renewAt = Math.min(ownership.renewAt, now + RENEWAL_RETRY_DELAY_MS);
    }
  }

  private followOwner(state: SchedulerState, tick: Tick): void {
    const { ownership } = state;
    const isOwnerCurrent = tick.now - ownership.lastConfirmedUpdateAt < OWNER_SILENCE_TIMEOUT_MS;
    if (isOwnerCurrent) {
      tick.wakeAt(ownership.lastConfirmedUpdateAt + OWNER_SILENCE_TIMEOUT_MS);
      return;
    }
    if (state.self.phase === 'stopping' || state.self.address === '') return;
    if (tick.now < ownership.claimAt) {
      tick.wakeAt(ownership.claimAt);
      return;
    }
    ownership.claimAt = tick.now + STORE_CALL_TIMEOUT_MS;
    tick.wakeAt(ownership.claimAt);
    sendStoreCall(
      state,
      'probe',
      {
        op: 'transact',
        expected: [
          { key: STORE_KEYS.owner, version: 0 },
          { key: STORE_KEYS.epoch, version: ownership.epochKeyVersion },
          { key: STORE_KEYS.lastOwner, version: ownership.lastOwnerVersion },
        ],
        puts: [],
        deletes: [],
      },
      STORE_CALL_TIMEOUT_MS,
    );
  }

  private receiveProbe(state: SchedulerState, now: number): void {
    const { ownership } = state;
    for (const { reply, sentAt } of listStoreReplies(state, 'probe')) {
      if (ownership.role !== 'follower') continue;
      ownership.claimAt = now + CLAIM_INTERVAL_MS;
      if (reply.kind === 'mismatch') this.applyOwnerRecord(state, reply.entries, now, sentAt);
      else if (reply.kind === 'written') this.tryClaim(state, now);
    }
  }

  /** Updates the known owner and epoch from the entries of a failed comparison sent at `sentAt`. */
  private applyOwnerRecord(
    state: SchedulerState,
    entries: readonly StoreEntry[],
    now: number,
    sentAt: number,
  ): void {
    const { ownership } = state;
    this.applyEpochRecord(state, entries);
    applyLastOwner(state, entries, now);
    const entry = entries.find(({ key }) => key === STORE_KEYS.owner);
    const owner = parseValue(ownerRecordSchema, entry?.value).toMaybe().extract();
    if (entry === undefined) return;
    if (entry.version === 0 || owner === undefined) {
      // An unreadable record names no owner, and it has overwritten the previous owner's key.
      if (entry.version !== 0) recordUnreadableEntry(state, 'owner_unreadable', entry, {});
      if (entry.version === 0) this.tryClaim(state, now);
      else this.startClaim(state, entry.version);
      return;
    }
    ownership.vacantSince = Number.POSITIVE_INFINITY;
    ownership.epoch = Math.max(ownership.epoch, owner.epoch);
    if (owner.entryId === state.self.id) {
      // The latest claim of this process, whose reply was lost. An earlier claim, or one of a dead
      // process with the same id, is attached to a lease that nobody renews.
      if (owner.bootId === state.self.bootId && owner.leaseId === ownership.leaseId)
        this.acceptClaim(state, owner.epoch, entry.version, sentAt, now);
      else this.startClaim(state, entry.version);
      return;
    }
    if (ownership.claimableVersion === entry.version) {
      this.startClaim(state, entry.version);
      return;
    }
    // A successor that announced itself to the previous owner is known only by its address.
    if (ownership.ownerAddress === owner.address) ownership.ownerId = owner.entryId;
    if (ownership.ownerAddress === owner.address && ownership.ownerLink === 'opening') return;
    // The link to an owner that sends status updates stays open while the owner cannot reach the
    // store.
    if (ownership.ownerLink === 'open' && this.hasRecentStatusUpdate(state, now)) return;
    if (ownership.ownerLink !== 'closed') state.outbox.append({ kind: 'closeOwner' });
    ownership.ownerId = owner.entryId;
    ownership.ownerAddress = owner.address;
    ownership.ownerLink = 'opening';
    state.outbox.append({ kind: 'openOwner', address: owner.address });
  }

  private hasRecentStatusUpdate({ ownership }: SchedulerState, now: number): boolean {
    const hasReceivedUpdate = ownership.lastOwnerUpdateAt >= ownership.linkedAt;
    return hasReceivedUpdate
      ? now - ownership.lastOwnerUpdateAt < OWNER_SILENCE_TIMEOUT_MS
      : now - ownership.linkedAt < FIRST_STATUS_UPDATE_TIMEOUT_MS;
  }

  private applyEpochRecord(state: SchedulerState, entries: readonly StoreEntry[]): void {
    const entry = entries.find(({ key }) => key === STORE_KEYS.epoch);
    if (entry === undefined) return;
    state.ownership.epochKeyVersion = entry.version;
    if (entry.version === 0) return;
    parseValue(epochSchema, entry.value).caseOf({
      // The next claim replaces the value; the epochs of owners that are known to this entry count.
      Left: () => {
        recordUnreadableEntry(state, 'epoch_unreadable', entry, {});
      },
      Right: (epoch) => {
        state.ownership.epoch = Math.max(state.ownership.epoch, epoch);
      },
    });
  }

  /**
   * Claims a missing owner key; an entry much smaller than the previous owner lets larger ones
   * claim first.
   */
  private tryClaim(state: SchedulerState, now: number): void {
    const { ownership, self } = state;
    ownership.vacantSince = Math.min(ownership.vacantSince, now);
    const isMuchSmaller = self.cores * LARGER_ENTRY_FACTOR <= ownership.ownerCores;
    if (isMuchSmaller && now < ownership.vacantSince + SMALLER_ENTRY_DELAY_MS) return;
    this.startClaim(state, 0);
  }

  private startClaim(state: SchedulerState, ownerVersion: number): void {
    const { ownership } = state;
    ownership.role = 'claiming';
    ownership.keyVersion = ownerVersion;
    const ttlMs = state.bounds.storeLeaseMinMs + OWNER_LEASE_MARGIN_MS;
    sendStoreCall(state, 'lease', { op: 'grantLease', ttlMs }, STORE_CALL_TIMEOUT_MS);
  }

  private receiveLease(state: SchedulerState, now: number): void {
    const { ownership, self } = state;
    for (const { reply } of listStoreReplies(state, 'lease')) {
      if (ownership.role !== 'claiming') continue;
      if (reply.kind !== 'lease') {
        ownership.role = 'follower';
        ownership.claimAt = now + CLAIM_INTERVAL_MS;
        continue;
      }
      ownership.leaseId = reply.leaseId;
      const epoch = ownership.epoch + 1;
      ownership.claimedGrantsMs = computeEarlierGrantsMs(ownership, now);
      const value: OwnerRecord = {
        entryId: self.id,
        bootId: self.bootId,
        address: self.address,
        epoch,
        leaseId: reply.leaseId,
      };
      sendStoreCall(
        state,
        'claim',
        {
          op: 'transact',
          expected: [
            { key: STORE_KEYS.owner, version: ownership.keyVersion },
            { key: STORE_KEYS.epoch, version: ownership.epochKeyVersion },
            // The last owner may update its record until this claim replaces the owner key.
            { key: STORE_KEYS.lastOwner, version: ownership.lastOwnerVersion },
          ],
          puts: [
            { key: STORE_KEYS.owner, value, leaseId: reply.leaseId },
            { key: STORE_KEYS.epoch, value: epoch },
            buildLastOwner(state, epoch, ownership.claimedGrantsMs, false),
          ],
          deletes: [],
        },
        STORE_CALL_TIMEOUT_MS,
      );
    }
  }

  private receiveClaim(state: SchedulerState, tick: Tick): void {
    const { ownership } = state;
    for (const { reply, sentAt } of listStoreReplies(state, 'claim')) {
      if (ownership.role !== 'claiming') continue;
      if (reply.kind === 'written') {
        this.acceptClaim(state, ownership.epoch + 1, reply.version, sentAt, tick.now);
        continue;
      }
      ownership.role = 'follower';
      ownership.claimAt = tick.now + tick.random.takeInt(0, CLAIM_INTERVAL_MS);
      if (reply.kind === 'mismatch') this.applyEpochRecord(state, reply.entries);
    }
  }

  private acceptClaim(
    state: SchedulerState,
    epoch: number,
    keyVersion: number,
    confirmedAt: number,
    now: number,
  ): void {
    const { ownership } = state;
    ownership.role = 'loading';
    ownership.epoch = epoch;
    ownership.keyVersion = keyVersion;
    ownership.confirmedAt = Number.NEGATIVE_INFINITY;
    ownership.keyConfirmedAt = Number.NEGATIVE_INFINITY;
    confirmOwnerKey(ownership, confirmedAt);
    ownership.earlierGrantsEndAt = now + ownership.claimedGrantsMs;
    ownership.recordedGrantsMs = ownership.claimedGrantsMs;
    ownership.canGrantInOutage = false;
    // The claim has written the record in the same transaction as the owner key.
    ownership.recordVersion = keyVersion;
    ownership.recordUpdate.callId = '';
    ownership.claimedAt = now;
    state.followers.clear();
    ownership.renewAt = confirmedAt;
    ownership.checkAt = confirmedAt + OWNER_KEY_CHECK_INTERVAL_MS;
    ownership.checkCallId = '';
    ownership.ownerId = '';
    ownership.ownerAddress = '';
    if (ownership.ownerLink === 'open') {
      const message = { kind: 'successor' as const, address: state.self.address };
      state.outbox.append({ kind: 'hintOwner', message });
    }
    if (ownership.ownerLink !== 'closed') state.outbox.append({ kind: 'closeOwner' });
    ownership.ownerLink = 'closed';
    ownership.claimableVersion = 0;
    ownership.vacantSince = Number.POSITIVE_INFINITY;
    state.load.prefixes = [STORE_KEYS.intake, STORE_KEYS.progressPrefix];
    state.load.after = undefined;
    state.load.callId = '';
    state.load.entries.clear();
    state.counters.add('takeovers');
    logEvent(state, 'info', 'ownership_taken', {
      epoch,
      keyVersion,
      earlierGrantsMs: ownership.claimedGrantsMs,
    });
  }
}
