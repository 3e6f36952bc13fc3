import type { SchedulerArrival } from '../../model/scheduler/entryMessages.ts';
import type { InstanceCall, OrderAuthority } from '../../model/scheduler/instanceCall.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';

type InstanceReplyArrival = Extract<SchedulerArrival, { kind: 'instanceReply' }>;

/**
 * Age of the store's word on the ownership beyond which no order is sent. The owner's key outlives
 * it, and a successor's pause outlives the time-out of an order, so orders of two owners never cross.
 */
const ORDER_CONFIRMATION_MAX_AGE_MS = 700;
/** An order is answered in milliseconds; shorter than the pause of a new owner. */
export const ORDER_TIMEOUT_MS = 2_000;
/** The platform may carry an order without an answer out up to 12 s after it was sent. */
export const LATE_ORDER_MS = 15_000;

/** Queues a call to the service that knows the instances, and returns the id of its reply. */
export function sendInstanceCall(
  state: SchedulerState,
  purpose: string,
  call: InstanceCall,
  timeoutMs: number,
): string {
  const callId = `${purpose}#${state.nextCall}`;
  state.nextCall += 1;
  state.outbox.append({ kind: 'callInstances', callId, call, timeoutMs });
  state.counters.add('instance_calls', { op: call.op });
  return callId;
}

/** Replies to the calls of one purpose that arrived in this turn. */
export function listInstanceReplies(
  state: SchedulerState,
  purpose: string,
): InstanceReplyArrival[] {
  return state.inbox
    .list('instanceReply')
    .filter((arrival) => arrival.callId.startsWith(`${purpose}#`));
}

/**
 * When this entry may order instances: as the owner that the store has just confirmed, and once the
 * orders of the owner before are over. Infinite while it waits for the store's word.
 */
export function computeOrdersAllowedFrom(state: SchedulerState, now: number): number {
  const { fleet, ownership, self } = state;
  if (self.phase === 'stopping') return Number.POSITIVE_INFINITY;
  if (now < fleet.ordersFrom) return fleet.ordersFrom;
  return now - ownership.confirmedAt <= ORDER_CONFIRMATION_MAX_AGE_MS
    ? now
    : Number.POSITIVE_INFINITY;
}

/** The owner's epoch is the token: it grows with every takeover and never has two holders. */
export function getOrderAuthority(state: SchedulerState): OrderAuthority {
  return { holder: state.self.id, fence: state.ownership.epoch };
}
