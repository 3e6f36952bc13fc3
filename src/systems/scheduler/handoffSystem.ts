import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import { STORE_KEYS } from '../../model/scheduler/jobRecord.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import {
  LARGER_ENTRY_FACTOR,
  OWNER_LEASE_MARGIN_MS,
  SMALLER_ENTRY_DELAY_MS,
} from './ownershipTimes.ts';
import { resetToFollower } from './resetToFollower.ts';
import { listStoreReplies, sendStoreCall } from './storeCalls.ts';

/** How long the store fails before the owner seeks a successor; single failures are common. */
const SUCCESSOR_SEARCH_DELAY_MS = 350;
const SUCCESSOR_QUERY_INTERVAL_MS = 300;
const STORE_PROBE_TIMEOUT_MS = 500;
/** Shortest time that an owner keeps ownership before a handoff to a larger entry. */
const MIN_OWNERSHIP_MS = 2_000;
const OFFER_INTERVAL_MS = 1_000;

/**
 * Hands ownership off from an owner that the store refuses to an entry that the store serves, and
 * from an owner with little processor time to an entry with much more. When the store is down for
 * all entries, no entry answers and the owner keeps ownership. Reads messages between entries and
 * the health of the store; writes `ownership`. Runs before the ownership system.
 */
export class HandoffSystem extends System<SchedulerState> {
  override readonly name = 'handOver';

  private constructor() {
    super();
  }

  static create(): HandoffSystem {
    return new HandoffSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    this.answerOwner(state, tick.now);
    this.openSuccessorLink(state);
    this.sendOffer(state, tick.now);
    this.acceptOffer(state, tick.now);
    const { ownership, storeHealth, peers } = state;
    const isFailing = tick.now - storeHealth.failingSince >= SUCCESSOR_SEARCH_DELAY_MS;
    if (ownership.role !== 'owner' || !isFailing) {
      ownership.bestCandidate = undefined;
      return;
    }
    const successor = this.chooseSuccessor(state, tick);
    if (successor !== undefined) {
      this.releaseOwnershipTo(state, successor, 'the store turns this entry away', tick.now);
      return;
    }
    if (tick.now >= ownership.takeoverRequestedAt + SUCCESSOR_QUERY_INTERVAL_MS) {
      ownership.takeoverRequestedAt = tick.now;
      const question = { epoch: ownership.epoch, askedAt: tick.now };
      const message = { kind: 'askTakeOver' as const, question };
      for (const peerId of peers) state.outbox.append({ kind: 'sendPeer', peerId, message });
    }
    tick.wakeAt(ownership.takeoverRequestedAt + SUCCESSOR_QUERY_INTERVAL_MS);
  }

  /**
   * Returns the first peer that is not much smaller than this entry, or the largest that answers in
   * time.
   */
  private chooseSuccessor(state: SchedulerState, tick: Tick): string | undefined {
    const { ownership, self, peers } = state;
    for (const { peerId, message } of state.inbox.list('peerHint')) {
      if (message.kind !== 'canTakeOver') continue;
      if (ownership.bestCandidate === undefined) ownership.firstCandidateAt = tick.now;
      if (message.cores > (ownership.bestCandidate?.cores ?? -1))
        ownership.bestCandidate = { id: peerId, cores: message.cores };
    }
    const { bestCandidate } = ownership;
    if (bestCandidate === undefined) return undefined;
    const decideAt = ownership.firstCandidateAt + SMALLER_ENTRY_DELAY_MS;
    if (bestCandidate.cores * LARGER_ENTRY_FACTOR > self.cores || tick.now >= decideAt) {
      ownership.bestCandidate = undefined;
      return peers.has(bestCandidate.id) ? bestCandidate.id : undefined;
    }
    tick.wakeAt(decideAt);
    return undefined;
  }

  private sendOffer(state: SchedulerState, now: number): void {
    const { ownership, self, storeHealth } = state;
    if (ownership.role !== 'follower' || self.phase !== 'serving') return;
    if (storeHealth.failingSince !== Number.POSITIVE_INFINITY) return;
    for (const { message } of state.inbox.list('ownerMessage')) {
      if (message.kind !== 'news' || message.cores === undefined) continue;
      if (self.cores < LARGER_ENTRY_FACTOR * message.cores) continue;
      if (now - ownership.takeoverOfferedAt < OFFER_INTERVAL_MS) continue;
      ownership.takeoverOfferedAt = now;
      state.outbox.append({
        kind: 'hintOwner',
        message: { kind: 'offerTakeOver', cores: self.cores },
      });
    }
  }

  private acceptOffer(state: SchedulerState, now: number): void {
    const { ownership, self } = state;
    for (const { peerId, message } of state.inbox.list('peerHint')) {
      if (message.kind !== 'offerTakeOver' || ownership.role !== 'owner') continue;
      if (now - ownership.loadedAt < MIN_OWNERSHIP_MS) continue;
      if (message.cores >= LARGER_ENTRY_FACTOR * self.cores)
        this.releaseOwnershipTo(state, peerId, 'a peer has a larger processor', now);
    }
  }

  private releaseOwnershipTo(
    state: SchedulerState,
    peerId: string,
    reason: string,
    now: number,
  ): void {
    const { ownership } = state;
    const { keyVersion } = ownership;
    state.counters.add('hand_overs');
    resetToFollower(state, reason, now);
    // Until the lease of the owner key expires, only the chosen peer may replace the key.
    ownership.claimAt = now + state.bounds.storeLeaseMinMs + OWNER_LEASE_MARGIN_MS;
    state.outbox.append({ kind: 'sendPeer', peerId, message: { kind: 'handOver', keyVersion } });
  }

  /** Answers the owner's query for a successor once the store replies, and accepts a handoff. */
  private answerOwner(state: SchedulerState, now: number): void {
    const { ownership } = state;
    for (const { message } of state.inbox.list('ownerMessage')) {
      if (ownership.role !== 'follower') continue;
      if (message.kind === 'askTakeOver') {
        const expected = [{ key: STORE_KEYS.owner, version: 0 }];
        const call = { op: 'transact' as const, expected, puts: [], deletes: [] };
        const callId = sendStoreCall(state, 'canTakeOver', call, STORE_PROBE_TIMEOUT_MS);
        if (message.question !== undefined) state.takeoverQuestions.set(callId, message.question);
      } else if (message.kind === 'handOver') {
        ownership.claimableVersion = message.keyVersion;
        ownership.lastConfirmedUpdateAt = Number.NEGATIVE_INFINITY;
        ownership.claimAt = now;
      }
    }
    for (const { callId, reply } of listStoreReplies(state, 'canTakeOver')) {
      const question = state.takeoverQuestions.get(callId);
      state.takeoverQuestions.delete(callId);
      if (reply.kind !== 'refused' && reply.kind !== 'unavailable')
        state.outbox.append({
          kind: 'hintOwner',
          message: { kind: 'canTakeOver', cores: state.self.cores },
        });
      // A later owner may rely on it that this entry no longer answers the one before.
      else if (question?.epoch === ownership.epoch && ownership.role === 'follower')
        state.outbox.append({ kind: 'hintOwner', message: { kind: 'cannotTakeOver', question } });
    }
  }

  private openSuccessorLink(state: SchedulerState): void {
    const { ownership } = state;
    for (const { message } of state.inbox.list('peerHint')) {
      if (message.kind !== 'successor' || ownership.role !== 'follower') continue;
      ownership.ownerId = '';
      ownership.ownerAddress = message.address;
      ownership.ownerLink = 'opening';
      state.outbox.append({ kind: 'openOwner', address: message.address });
    }
  }
}
