import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { logEvent } from './storeCalls.ts';

/** Failures for this long, with no answer between them, mean that the store is away for this entry. */
const UNAVAILABLE_AFTER_MS = 500;
/** What callers are told to wait when the store is away; most outages end within a few seconds. */
export const STORE_RETRY_AFTER_MS = 2_000;

/** Notes from the replies of this turn whether the store answers. */
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
    // A watch that is cut says nothing about other calls.
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
