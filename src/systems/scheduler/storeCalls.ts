import type { LogEffect } from '../../model/effects.ts';
import type { SchedulerArrival } from '../../model/scheduler/schedulerMessages.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import type { StoreCall } from '../../model/store.ts';

type StoreReplyArrival = Extract<SchedulerArrival, { kind: 'storeReply' }>;

/** Queues a store call and returns its id, `PURPOSE#NUMBER`, which its reply carries. */
export function sendStoreCall(
  state: SchedulerState,
  purpose: string,
  call: StoreCall,
  timeoutMs: number,
): string {
  const callId = `${purpose}#${state.nextCall}`;
  state.nextCall += 1;
  state.outbox.append({ kind: 'callStore', callId, call, timeoutMs });
  state.counters.add('store_calls', { op: call.op });
  return callId;
}

/** Lists the replies to calls of one purpose that arrived in this tick. */
export function listStoreReplies(state: SchedulerState, purpose: string): StoreReplyArrival[] {
  return state.inbox
    .list('storeReply')
    .filter((arrival) => arrival.callId.startsWith(`${purpose}#`));
}

/** Queues one log line. */
export function logEvent(
  state: SchedulerState,
  level: LogEffect['level'],
  event: string,
  fields: LogEffect['fields'],
): void {
  state.outbox.append({ kind: 'log', level, event, fields });
}

/** Queues a duration for the metrics. */
export function recordDuration(
  state: SchedulerState,
  name: string,
  durationMs: number,
  labels: Readonly<Record<string, string>> = {},
): void {
  state.outbox.append({ kind: 'duration', name, labels, durationMs });
}
