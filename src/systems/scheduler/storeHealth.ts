import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { logEvent } from './storeCalls.ts';

/**
 * The store counts as unavailable for this entry when calls fail for this long without an answer in
 * between.
 */
const UNAVAILABLE_AFTER_MS = 500;
/**
 * Retry delay returned to callers while the store is unavailable; most outages end within a few
 * seconds.
 */
export const STORE_RETRY_AFTER_MS = 2_000;

/** Updates the health of the store from the replies of this tick. */
export function recordStoreHealth(state: SchedulerState, now: number): void {
  const { storeHealth } = state;
  for (const { callId, reply } of state.inbox.list('storeReply')) {
    if (reply.kind !== 'refused' && reply.kind !== 'unavailable') {
      if (storeHealth.failingSince + UNAVAILABLE_AFTER_MS < now)
        logEvent(state, 'info', 'store_regained', {
          awayMs: Math.round(now - storeHealth.failingSince),
        });
      storeHealth.failingSince = Number.POSITIVE_INFINITY;
      continue;
    }
    // The failure of a watch does not mean that other calls fail.
    if (/watch/i.test(callId)) continue;
    if (storeHealth.failingSince === Number.POSITIVE_INFINITY) {
      storeHealth.failingSince = now;
      logEvent(state, 'warn', 'store_failing', { call: callId, message: reply.message });
    }
    state.counters.add('store_failures', { kind: reply.kind });
  }
}

export function isStoreUnavailable(state: SchedulerState, now: number): boolean {
  return now - state.storeHealth.failingSince > UNAVAILABLE_AFTER_MS;
}
