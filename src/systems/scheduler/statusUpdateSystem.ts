import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { JobStatus, OwnerStatusUpdate } from '../../model/scheduler/linkMessages.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { OWNER_HANDSHAKE_TIMEOUT_MS } from './ownershipTimes.ts';
import { logEvent } from './storeCalls.ts';

const STATUS_UPDATE_INTERVAL_MS = 300;
/** An owner whose ownership the store confirmed longer ago may have been replaced. */
const MAX_CONFIRMATION_AGE_MS = 1_500;
/** A link that takes longer to open is closed; exceeds the daemon's own handshake timeout. */
const LINK_OPEN_TIMEOUT_MS = OWNER_HANDSHAKE_TIMEOUT_MS + 200;

/**
 * Sends job phases from the owner to the other entries, and applies them there. Reads links and
 * status updates; writes `statuses` and the owner's state in `ownership`. Runs after the commit.
 */
export class StatusUpdateSystem extends System<SchedulerState> {
  override readonly name = 'news';

  private constructor() {
    super();
  }

  static create(): StatusUpdateSystem {
    return new StatusUpdateSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    for (const { peerId, isOpen } of state.inbox.list('peerLink')) {
      if (isOpen) {
        state.peers.add(peerId);
        state.newPeers.add(peerId);
      } else {
        state.peers.delete(peerId);
        state.newPeers.delete(peerId);
      }
    }
    this.receiveOwnerEvents(state, tick);
    if (state.ownership.role === 'owner') this.sendStatusUpdates(state, tick);
  }

  private receiveOwnerEvents(state: SchedulerState, tick: Tick): void {
    const { ownership } = state;
    for (const { isOpen } of state.inbox.list('ownerLink')) {
      const previousLink = ownership.ownerLink;
      ownership.ownerLink = isOpen ? 'open' : 'closed';
      if (isOpen) ownership.linkedAt = tick.now;
      if (isOpen) logEvent(state, 'info', 'owner_linked', { owner: ownership.ownerId });
      else if (previousLink === 'open')
        logEvent(state, 'warn', 'owner_unlinked', { owner: ownership.ownerId });
      if (!isOpen) ownership.lastConfirmedUpdateAt = Number.NEGATIVE_INFINITY;
      tick.wakeAt(tick.now);
    }
    if (ownership.ownerLink === 'opening') {
      if (state.timers.ownerLinkOpeningSince === Number.NEGATIVE_INFINITY)
        state.timers.ownerLinkOpeningSince = tick.now;
      if (tick.now - state.timers.ownerLinkOpeningSince > LINK_OPEN_TIMEOUT_MS) {
        ownership.ownerLink = 'closed';
        state.outbox.append({ kind: 'closeOwner' });
      }
      tick.wakeAt(state.timers.ownerLinkOpeningSince + LINK_OPEN_TIMEOUT_MS + 1);
    } else {
      state.timers.ownerLinkOpeningSince = Number.NEGATIVE_INFINITY;
    }
    for (const { message } of state.inbox.list('ownerMessage'))
      if (message.kind === 'news') this.applyStatusUpdate(state, message, tick.now);
  }

  private applyStatusUpdate(state: SchedulerState, update: OwnerStatusUpdate, now: number): void {
    const { ownership } = state;
    if (ownership.role === 'owner' || ownership.role === 'loading') return;
    if (update.epoch < ownership.epoch) return;
    ownership.epoch = update.epoch;
    ownership.lastOwnerUpdateAt = now;
    ownership.ownerCores = update.cores ?? ownership.ownerCores;
    if (update.confirmedAgoMs < MAX_CONFIRMATION_AGE_MS) {
      ownership.lastConfirmedUpdateAt = now;
      ownership.statusesCurrentAt = now;
    }
    if (update.isComplete) {
      const listedIds = new Set(update.jobs.map(({ id }) => id));
      for (const status of state.statuses.list())
        if (!listedIds.has(status.id) && status.phase !== 'pending')
          state.statuses.remove(status.id);
    }
    for (const status of update.jobs) state.statuses.set(status);
    for (const id of update.deleted ?? []) state.statuses.remove(id);
  }

  private sendStatusUpdates(state: SchedulerState, tick: Tick): void {
    const { ownership, peers, newPeers, changedStatuses } = state;
    const confirmedAgoMs = Math.max(0, Math.round(tick.now - ownership.confirmedAt));
    const { cores } = state.self;
    const header = { kind: 'news' as const, epoch: ownership.epoch, confirmedAgoMs, cores };
    for (const peerId of newPeers)
      this.sendToPeer(state, peerId, { ...header, isComplete: true, jobs: state.statuses.list() });
    const isDue = tick.now - state.timers.statusUpdateSentAt >= STATUS_UPDATE_INTERVAL_MS;
    if (changedStatuses.size > 0 || isDue) {
      const jobs: JobStatus[] = [];
      const deleted: string[] = [];
      for (const id of changedStatuses) {
        const status = state.statuses.get(id);
        if (status === undefined) deleted.push(id);
        else jobs.push(status);
      }
      const update = { ...header, isComplete: false, jobs };
      for (const peerId of peers)
        if (!newPeers.has(peerId))
          this.sendToPeer(state, peerId, deleted.length === 0 ? update : { ...update, deleted });
      changedStatuses.clear();
      state.timers.statusUpdateSentAt = tick.now;
    }
    newPeers.clear();
    tick.wakeAt(state.timers.statusUpdateSentAt + STATUS_UPDATE_INTERVAL_MS);
  }

  private sendToPeer(state: SchedulerState, peerId: string, update: OwnerStatusUpdate): void {
    state.outbox.append({ kind: 'sendPeer', peerId, message: update });
  }
}
