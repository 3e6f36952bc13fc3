import type { Failure } from '../../base/common/errors.ts';
import { createFailure } from '../../base/common/errors.ts';
import type { ServiceLoadRow } from '../../model/admission.ts';
import type { RequestRow } from '../../model/request.ts';
import type { AdmissionQuery, WaitingQueue } from './admissionPolicy.ts';
import { AdmissionPolicy, findQueueFullFailure } from './admissionPolicy.ts';

/** Consecutive urgent dispatches after which a waiting ordinary request is dispatched. */
const MAX_CONSECUTIVE_URGENT_DISPATCHES = 4;
/**
 * Reserve for running the attempt, in average round trips: covers the average and its usual spread.
 */
const SERVICE_TIME_RESERVE_FACTOR = 2;

export interface DeadlineAdmissionOptions {
  /**
   * Maximum expected wait as a share of the time between arrival and deadline of a request. A
   * longer queue adds latency but answers no more requests.
   */
  readonly maxWaitShare: number;
}

/**
 * Refuses a request on arrival when its expected wait exceeds its deadline, serves urgent queues
 * first without starving ordinary ones, and shares capacity between routes of equal priority by
 * weight.
 */
export class DeadlineAdmission extends AdmissionPolicy {
  private constructor(private readonly options: DeadlineAdmissionOptions) {
    super();
  }

  static create(options: DeadlineAdmissionOptions = { maxWaitShare: 0.5 }): DeadlineAdmission {
    return new DeadlineAdmission(options);
  }

  override findRefusal(query: AdmissionQuery): Failure | undefined {
    const queueFullFailure = findQueueFullFailure(query);
    // An empty queue always admits, because only its dispatches correct an outdated estimate.
    if (queueFullFailure !== undefined || query.length === 0) return queueFullFailure;
    const waitMs = query.length * query.queue.intervalMs;
    const wait = `expected wait of ${Math.round(waitMs)} ms on route ${query.queue.route}`;
    if (this.isTooLate(query.request, query.load, query.now + waitMs))
      return createFailure('deadline_exceeded_before_run', `${wait} exceeds the deadline`);
    const timeoutMs = query.request.deadlineMs - query.request.receivedMs;
    if (waitMs <= this.options.maxWaitShare * timeoutMs) return undefined;
    return createFailure(
      'queue_full',
      `${wait} exceeds the maximum share of the time until the deadline`,
    );
  }

  override chooseQueue(
    queues: readonly WaitingQueue[],
    load: ServiceLoadRow,
  ): WaitingQueue | undefined {
    const urgent = queues.filter((waiting) => waiting.queue.priority === 'urgent');
    const ordinary = queues.filter((waiting) => waiting.queue.priority === 'ordinary');
    const isOrdinaryDue =
      load.urgentInRow >= MAX_CONSECUTIVE_URGENT_DISPATCHES && ordinary.length > 0;
    return findLeastServedQueue(urgent.length === 0 || isOrdinaryDue ? ordinary : urgent);
  }

  override isTooLate(request: RequestRow, load: ServiceLoadRow, now: number): boolean {
    if (request.deadlineMs <= now) return true;
    // The reserve is at most half of the request's timeout. Otherwise slow responses of the service
    // would make every request too late.
    const reserveMs = Math.min(
      SERVICE_TIME_RESERVE_FACTOR * load.roundTripMs,
      (request.deadlineMs - request.receivedMs) / 2,
    );
    return now + reserveMs >= request.deadlineMs;
  }
}

function findLeastServedQueue(queues: readonly WaitingQueue[]): WaitingQueue | undefined {
  let least = queues[0];
  for (const waiting of queues) {
    if (least === undefined || waiting.queue.virtualTime < least.queue.virtualTime) least = waiting;
  }
  return least;
}
