import type { QueueRow } from '../../model/admission.ts';
import { formatQueueId } from '../../model/admission.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { RequestRow } from '../../model/request.ts';
import type { WaitingQueue } from './admissionPolicy.ts';
import { getServiceLoad } from './serviceLoad.ts';

const INTERVAL_SMOOTHING_FACTOR = 0.05;
/** A dispatch that leaves no request waiting shows that the wait is shorter than estimated. */
const IDLE_INTERVAL_FACTOR = 0.8;

/** The queue of a request, with weight and bound of the configuration in force. */
export function getQueue(state: EntryState, request: RequestRow): QueueRow {
  const id = formatQueueId(request.route, request.priority);
  const known = state.queues.get(id);
  const { revision, routes } = state.configuration.current;
  if (known?.revision === revision) return known;
  removeStaleQueues(state);
  const route = routes.find((candidate) => candidate.name === request.route);
  const queue: QueueRow = {
    id,
    route: request.route,
    service: request.service,
    priority: request.priority,
    weight: route?.weight ?? known?.weight ?? 1,
    maxQueue: route?.maxQueue ?? known?.maxQueue ?? 0,
    revision,
    virtualTime: known?.virtualTime ?? 0,
    intervalMs: known?.intervalMs ?? 0,
    lastDispatchMs: known?.lastDispatchMs ?? 0,
    isBacklogged: known?.isBacklogged ?? false,
  };
  state.queues.set(queue);
  return queue;
}

/** Puts a request into its queue. A queue that was empty starts level with the one served last. */
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

/** Queues with waiting requests, by service. */
export function collectWaitingQueues(state: EntryState): Map<string, WaitingQueue[]> {
  const waiting = new Map<string, WaitingQueue[]>();
  for (const queue of state.queues.values()) {
    const view = findWaitingQueue(state, queue);
    if (view === undefined) continue;
    const views = waiting.get(queue.service);
    if (views === undefined) waiting.set(queue.service, [view]);
    else views.push(view);
  }
  return waiting;
}

/** The view of a queue after its head has left, or undefined when the queue is empty. */
export function findWaitingQueue(state: EntryState, queue: QueueRow): WaitingQueue | undefined {
  const head = state.queuedRequests.getFirst(queue.id);
  if (head === undefined) return undefined;
  return { queue, oldestRequest: head, length: state.queuedRequests.count(queue.id) };
}

/** Records that the queue was served: its share, its rate, and the turn of its class. */
export function recordDispatch(
  state: EntryState,
  view: WaitingQueue,
  isOrdinaryWaiting: boolean,
  nowMs: number,
): void {
  const { queue } = view;
  const isBacklogged = view.length > 1;
  const gapMs = nowMs - queue.lastDispatchMs;
  let { intervalMs } = queue;
  if (queue.isBacklogged) intervalMs += INTERVAL_SMOOTHING_FACTOR * (gapMs - intervalMs);
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

/** Removes empty queues of routes that are no longer configured. Runs when a revision is new. */
export function removeStaleQueues(state: EntryState): void {
  const names = new Set(state.configuration.current.routes.map((route) => route.name));
  for (const queue of state.queues.list()) {
    if (!names.has(queue.route) && state.queuedRequests.count(queue.id) === 0)
      state.queues.remove(queue.id);
  }
}
