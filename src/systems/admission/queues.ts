import type { QueueRow } from '../../model/admission.ts';
import { formatQueueId } from '../../model/admission.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { RequestRow } from '../../model/request.ts';
import type { WaitingQueue } from './admissionPolicy.ts';
import { getServiceLoad } from './serviceLoad.ts';

const INTERVAL_SMOOTHING_FACTOR = 0.05;
/**
 * Reduces the estimated interval when a dispatch empties the queue, because the wait is then
 * shorter than estimated.
 */
const IDLE_INTERVAL_FACTOR = 0.8;

/** Returns the queue of a request, with weight and maximum length of the current configuration. */
export function getQueue(state: EntryState, request: RequestRow): QueueRow {
  const id = formatQueueId(request.route, request.priority);
  const existing = state.queues.get(id);
  const { revision, routes } = state.configuration.current;
  if (existing?.revision === revision) return existing;
  removeStaleQueues(state);
  const route = routes.find((candidate) => candidate.name === request.route);
  const queue: QueueRow = {
    id,
    route: request.route,
    service: request.service,
    priority: request.priority,
    weight: route?.weight ?? existing?.weight ?? 1,
    maxQueue: route?.maxQueue ?? existing?.maxQueue ?? 0,
    revision,
    virtualTime: existing?.virtualTime ?? 0,
    intervalMs: existing?.intervalMs ?? 0,
    lastDispatchMs: existing?.lastDispatchMs ?? 0,
    isBacklogged: existing?.isBacklogged ?? false,
  };
  state.queues.set(queue);
  return queue;
}

/**
 * Adds a request to its queue. The virtual time of an empty queue advances to that of the service,
 * so that an idle period earns no credit.
 */
export function queueRequest(
  state: EntryState,
  queue: QueueRow,
  request: RequestRow,
  nowMs: number,
): void {
  if (state.queuedRequests.count(queue.id) === 0) {
    const { virtualTime } = getServiceLoad(state, queue.service);
    if (queue.virtualTime < virtualTime) state.queues.update(queue.id, { virtualTime });
  }
  state.requests.update(request.id, { admittedMs: nowMs });
}

/** Lists the queues with waiting requests by service. */
export function collectWaitingQueues(state: EntryState): Map<string, WaitingQueue[]> {
  const waiting = new Map<string, WaitingQueue[]>();
  for (const queue of state.queues.values()) {
    const waitingQueue = findWaitingQueue(state, queue);
    if (waitingQueue === undefined) continue;
    const queues = waiting.get(queue.service);
    if (queues === undefined) waiting.set(queue.service, [waitingQueue]);
    else queues.push(waitingQueue);
  }
  return waiting;
}

/** Returns a queue with its oldest request and length, or undefined when the queue is empty. */
export function findWaitingQueue(state: EntryState, queue: QueueRow): WaitingQueue | undefined {
  const oldestRequest = state.queuedRequests.getFirst(queue.id);
  if (oldestRequest === undefined) return undefined;
  return { queue, oldestRequest, length: state.queuedRequests.count(queue.id) };
}

/** Updates the virtual time, the dispatch interval and the urgent count after a dispatch. */
export function recordDispatch(
  state: EntryState,
  served: WaitingQueue,
  isOrdinaryWaiting: boolean,
  nowMs: number,
): void {
  const { queue } = served;
  const isBacklogged = served.length > 1;
  const sinceLastDispatchMs = nowMs - queue.lastDispatchMs;
  let { intervalMs } = queue;
  if (queue.isBacklogged)
    intervalMs += INTERVAL_SMOOTHING_FACTOR * (sinceLastDispatchMs - intervalMs);
  if (!isBacklogged) intervalMs *= IDLE_INTERVAL_FACTOR;
  const load = getServiceLoad(state, queue.service);
  const isUrgent = queue.priority === 'urgent';
  state.serviceLoads.set({
    ...load,
    virtualTime: Math.max(load.virtualTime, queue.virtualTime),
    urgentInRow: isUrgent && isOrdinaryWaiting ? load.urgentInRow + 1 : 0,
  });
  state.queues.set({
    ...queue,
    virtualTime: queue.virtualTime + 1 / queue.weight,
    intervalMs,
    lastDispatchMs: nowMs,
    isBacklogged,
  });
}

/** Removes empty queues of routes that are no longer configured. */
export function removeStaleQueues(state: EntryState): void {
  const routeNames = new Set(state.configuration.current.routes.map((route) => route.name));
  for (const queue of state.queues.list()) {
    if (!routeNames.has(queue.route) && state.queuedRequests.count(queue.id) === 0)
      state.queues.remove(queue.id);
  }
}
