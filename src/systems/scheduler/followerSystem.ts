import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryMessage, TakeoverQuestion } from '../../model/scheduler/linkMessages.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import {
  applyFollowerKnowledge,
  applyReplacedOwner,
  findFollowedOwner,
  FOLLOWER_TIMEOUT_MS,
  recordFollowedOwner,
} from './earlierGrants.ts';

type FollowMessage = Extract<EntryMessage, { kind: 'follow' }>;

const FOLLOW_INTERVAL_MS = 5_000;

/**
 * Tells the owner which entries may claim the ownership, and these how long earlier owners may grant
 * leases. Reads links and messages between entries; writes `followers`, and at a follower what it
 * knows of the owners. Runs after the status updates.
 */
export class FollowerSystem extends System<SchedulerState> {
  override readonly name = 'followers';

  private constructor() {
    super();
  }

  static create(): FollowerSystem {
    return new FollowerSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    const { role } = state.ownership;
    if (role === 'owner' || role === 'loading') {
      this.receiveFollowers(state, tick.now);
      return;
    }
    this.receiveAnswers(state, tick.now);
    this.followOwner(state, tick);
  }

  private receiveFollowers(state: SchedulerState, now: number): void {
    for (const { peerId, message } of state.inbox.list('peerHint')) {
      if (message.kind === 'follow') this.addFollower(state, peerId, message, now);
      else if (message.kind === 'cannotTakeOver')
        this.recordDecline(state, peerId, message.question, now);
    }
    for (const { id, heardAt } of state.followers.list())
      if (now - heardAt > FOLLOWER_TIMEOUT_MS) state.followers.remove(id);
  }

  private addFollower(
    state: SchedulerState,
    peerId: string,
    { entryId, bootId, address, token, epoch, previous }: FollowMessage,
    now: number,
  ): void {
    const { ownership } = state;
    const known = state.followers.get(entryId);
    state.followers.set({
      id: entryId,
      peerId,
      followsSince: known?.followsSince ?? now,
      heardAt: now,
      declinedAt: known?.declinedAt ?? Number.NEGATIVE_INFINITY,
    });
    applyReplacedOwner(ownership, { entryId, bootId, address }, now);
    if (epoch === ownership.epoch && previous !== undefined)
      applyFollowerKnowledge(ownership, previous, now);
    const earlierGrantsMs = Math.max(0, Math.ceil(ownership.earlierGrantsEndAt - now));
    const message = { kind: 'followed' as const, epoch: ownership.epoch, token, earlierGrantsMs };
    state.outbox.append({ kind: 'sendPeer', peerId, message });
  }

  /** Records that a follower had no answer of the store, and no claim, when it was asked. */
  private recordDecline(
    { ownership, followers }: SchedulerState,
    peerId: string,
    { epoch, askedAt }: TakeoverQuestion,
    now: number,
  ): void {
    // A question from before a suspension is older than the monotonic clock tells.
    if (epoch !== ownership.epoch || askedAt <= ownership.resumedAt || askedAt > now) return;
    for (const follower of followers.list())
      if (follower.peerId === peerId && askedAt > follower.declinedAt)
        followers.update(follower.id, { declinedAt: askedAt });
  }

  private receiveAnswers({ ownership, inbox }: SchedulerState, now: number): void {
    for (const { message } of inbox.list('ownerMessage')) {
      if (message.kind !== 'followed' || message.token <= ownership.resumedAt) continue;
      const { epoch, token, earlierGrantsMs } = message;
      recordFollowedOwner(ownership, { epoch, at: token, grantsEndAt: now + earlierGrantsMs });
    }
  }

  private followOwner(state: SchedulerState, tick: Tick): void {
    const { ownership, timers } = state;
    if (ownership.ownerLink !== 'open') {
      timers.followAt = tick.now;
      return;
    }
    if (tick.now >= timers.followAt || timers.followEpoch !== ownership.epoch)
      this.sendFollow(state, tick.now);
    tick.wakeAt(timers.followAt);
  }

  private sendFollow({ ownership, self, timers, outbox }: SchedulerState, now: number): void {
    const { epoch } = ownership;
    timers.followAt = now + FOLLOW_INTERVAL_MS;
    timers.followEpoch = epoch;
    const previous = findFollowedOwner(ownership, epoch - 1, now);
    const { id: entryId, bootId, address } = self;
    const message: FollowMessage = { kind: 'follow', entryId, bootId, address, token: now, epoch };
    if (previous !== undefined)
      message.previous = {
        epoch: previous.epoch,
        earlierGrantsMs: Math.max(0, Math.ceil(previous.grantsEndAt - now)),
      };
    outbox.append({ kind: 'hintOwner', message });
  }
}
