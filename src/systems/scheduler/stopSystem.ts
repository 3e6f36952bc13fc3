import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import { STORE_KEYS } from '../../model/scheduler/jobRecord.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { resetToFollower } from './resetToFollower.ts';
import { listStoreReplies, logEvent, sendStoreCall } from './storeCalls.ts';

const RELEASE_TIMEOUT_MS = 700;
/** The balancer checks every second and needs two failed checks; it sends callers until then. */
const LINGER_MS = 3_200;
/** Time reserved before the platform's SIGKILL. */
const KILL_MARGIN_MS = 700;

/**
 * Stops an entry gracefully: releases the ownership at once, answers open calls, and exits when the
 * balancer has stopped sending callers. Reads calls; writes `self.phase`. Runs last.
 */
export class StopSystem extends System<SchedulerState> {
  override readonly name = 'stop';

  private constructor() {
    super();
  }

  static create(): StopSystem {
    return new StopSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    const { self, operator } = state;
    if (self.phase === 'starting' && operator.isListed) {
      self.phase = 'serving';
      logEvent(state, 'info', 'entry_serving', {
        configuration: operator.configuration?.version ?? 0,
      });
    }
    if (state.inbox.list('stopRequested').length > 0 && self.phase !== 'stopping')
      this.startStop(state, tick);
    for (const { reply } of listStoreReplies(state, 'release'))
      logEvent(state, 'info', 'ownership_released', { answer: reply.kind });
    if (self.phase === 'stopping') this.advanceStop(state, tick);
  }

  private startStop(state: SchedulerState, tick: Tick): void {
    const { self, ownership } = state;
    self.phase = 'stopping';
    state.timers.shutdownStartedAt = tick.now;
    self.stopAt = tick.now + state.bounds.stopGraceSeconds * 1_000 - KILL_MARGIN_MS;
    logEvent(state, 'info', 'entry_stopping', { role: ownership.role });
    if (ownership.role !== 'owner' && ownership.role !== 'loading') return;
    sendStoreCall(
      state,
      'release',
      {
        op: 'transact',
        expected: [{ key: STORE_KEYS.owner, version: ownership.keyVersion }],
        puts: [],
        deletes: [STORE_KEYS.owner],
      },
      RELEASE_TIMEOUT_MS,
    );
    resetToFollower(state, 'the entry stops', tick.now);
    for (const peerId of state.peers) state.outbox.append({ kind: 'closePeer', peerId });
  }

  private advanceStop(state: SchedulerState, tick: Tick): void {
    const { self } = state;
    const isQuiet =
      state.calls.size === 0 && tick.now >= state.timers.shutdownStartedAt + LINGER_MS;
    if (isQuiet || tick.now >= self.stopAt) {
      state.outbox.append({ kind: 'exit' });
      return;
    }
    tick.wakeAt(
      Math.min(self.stopAt, Math.max(tick.now + 50, state.timers.shutdownStartedAt + LINGER_MS)),
    );
  }
}
