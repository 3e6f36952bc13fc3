import type { Failure } from '../../base/common/errors.ts';
import { createFailure } from '../../base/common/errors.ts';
import type { ServiceLoadRow } from '../../model/admission.ts';
import type { RequestRow } from '../../model/request.ts';
import type { AdmissionQuery, WaitingQueue } from './admissionPolicy.ts';
import { AdmissionPolicy, findQueueFull } from './admissionPolicy.ts';

/** Urgent dispatches in a row before a waiting ordinary request gets one. */
const MAX_CONSECUTIVE_URGENT_DISPATCHES = 4;
/** Time kept for the attempt itself: an average attempt and its usual spread. */
const SERVICE_TIME_RESERVE_FACTOR = 2;

export interface DeadlineAdmissionOptions {
  /**
   * Share of a request's time that it may be expected to wait. A queue that holds more only adds
   * latency: the same number of requests is answered.
   */
  readonly maxWaitShare: number;
}

/**
 * Refuses a request as soon as its expected wait passes its deadline, serves urgent queues first
 * without starving ordinary ones, and shares between routes of one class by weight.
 */
export class DeadlineAdmission extends AdmissionPolicy {
  private constructor(private readonly options: DeadlineAdmissionOptions) {
    super();
  }

  static create(options: DeadlineAdmissionOptions = { maxWaitShare: 0.5 }): DeadlineAdmission {
    return new DeadlineAdmission(options);
  }

  override findRefusal(query: AdmissionQuery): Failure | undefined {
    const full = findQueueFull(query);
    // An empty queue always admits: its dispatches are what corrects an outdated estimate.
    if (full !== undefined || query.length === 0) return full;
    const waitMs = query.length * query.queue.intervalMs;
    const wait = `expected wait of ${Math.round(waitMs)} ms on route ${query.queue.route}`;
    if (this.isTooLate(query.request, query.load, query.now + waitMs))
      return createFailure('deadline_exceeded_before_run', `${wait} passes the deadline`);
    const timeMs = query.request.deadlineMs - query.request.receivedMs;
    if (waitMs <= this.options.maxWaitShare * timeMs) return undefined;
    return createFailure('queue_full', `${wait} takes too much of the time until the deadline`);
  }

  override chooseQueue(
    views: readonly WaitingQueue[],
    load: ServiceLoadRow,
  ): WaitingQueue | undefined {
    const urgent = views.filter((view) => view.queue.priority === 'urgent');
    const ordinary = views.filter((view) => view.queue.priority === 'ordinary');
    const isOrdinaryDue =
      load.urgentInRow >= MAX_CONSECUTIVE_URGENT_DISPATCHES && ordinary.length > 0;
    return findLeastServedQueue(urgent.length === 0 || isOrdinaryDue ? ordinary : urgent);
  }

  override isTooLate(request: RequestRow, load: ServiceLoadRow, now: number): boolean {
    if (request.deadlineMs <= now) return true;
    // The reserve is at most half of the request's own time, so that slow answers of the service
    // never make every request too late.
    const reserveMs = Math.min(
      SERVICE_TIME_RESERVE_FACTOR * load.roundTripMs,
      (request.deadlineMs - request.receivedMs) / 2,
    );
    return now + reserveMs >= request.deadlineMs;
  }
}

function findLeastServedQueue(views: readonly WaitingQueue[]): WaitingQueue | undefined {
  let least = views[0];
  for (const view of views) {
    if (least === undefined || view.queue.virtualTime < least.queue.virtualTime) least = view;
  }
  return least;
}
