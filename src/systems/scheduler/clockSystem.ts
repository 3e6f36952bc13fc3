import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { logEvent } from './storeCalls.ts';
import { recordStoreHealth } from './storeHealth.ts';

/**
 * A larger jump of the wall clock relative to the monotonic clock means that the instance was
 * suspended.
 */
const SUSPENSION_THRESHOLD_MS = 500;

/**
 * Detects suspensions, which the monotonic clock does not count, and moves earlier confirmations
 * back by their length. Reads the wall clock's offset and store replies; writes `ownership`,
 * `operator` and the health of the store. Runs first.
 */
export class ClockSystem extends System<SchedulerState> {
  override readonly name = 'clock';

  private constructor() {
    super();
  }

  static create(): ClockSystem {
    return new ClockSystem();
  }

  override run(state: SchedulerState, tick: Tick): void {
    recordStoreHealth(state, tick.now);
    const jumpMs = state.wallOffsetMs - (state.timers.lastWallOffsetMs ?? state.wallOffsetMs);
    state.timers.lastWallOffsetMs = state.wallOffsetMs;
    if (jumpMs < SUSPENSION_THRESHOLD_MS) return;
    logEvent(state, 'warn', 'clock_jumped', { jumpMs: Math.round(jumpMs) });
    state.ownership.confirmedAt -= jumpMs;
    state.ownership.keyConfirmedAt -= jumpMs;
    const { followed, followedBefore } = state.ownership;
    state.ownership.followed = { ...followed, at: followed.at - jumpMs };
    state.ownership.followedBefore = { ...followedBefore, at: followedBefore.at - jumpMs };
    for (const { id, declinedAt } of state.followers.list())
      state.followers.update(id, { declinedAt: declinedAt - jumpMs });
    state.ownership.resumedAt = tick.now;
    state.ownership.lastConfirmedUpdateAt -= jumpMs;
    state.ownership.renewAt = tick.now;
    state.operator.verifiedAt -= jumpMs;
    state.operator.verifyAt = tick.now;
  }
}
