import type { Failure } from '../../base/common/errors.ts';
import { createFailure } from '../../base/common/errors.ts';
import type { QueueRow, ServiceLoadRow } from '../../model/admission.ts';
import type { RequestRow } from '../../model/request.ts';

/** A queue with waiting requests. */
export interface WaitingQueue {
  readonly queue: QueueRow;
  /** First request of the queue, which has waited longest. */
  readonly oldestRequest: RequestRow;
  readonly length: number;
}

/** Input of the admission decision for one request. */
export interface AdmissionQuery {
  readonly queue: QueueRow;
  /** Number of requests that already wait in the queue. */
  readonly length: number;
  readonly request: RequestRow;
  readonly load: ServiceLoadRow;
  readonly now: number;
}

/** Decides which requests are queued or refused, and in which order queues are served. */
export abstract class AdmissionPolicy {
  /** Finds the reason to refuse a new request; undefined when the request is to be queued. */
  abstract findRefusal(query: AdmissionQuery): Failure | undefined;

  /** Chooses the queue to serve next; `queues` is not empty. */
  abstract chooseQueue(
    queues: readonly WaitingQueue[],
    load: ServiceLoadRow,
  ): WaitingQueue | undefined;

  /** Whether a queued request can no longer be answered before its deadline. */
  abstract isTooLate(request: RequestRow, load: ServiceLoadRow, now: number): boolean;
}

/** Returns the refusal of a new request when its queue has reached its maximum length. */
export function findQueueFullFailure({ queue, length }: AdmissionQuery): Failure | undefined {
  if (length < queue.maxQueue) return undefined;
  return createFailure('queue_full', `${length} requests fill the queue of route ${queue.route}`);
}

/** Baseline: a maximum length per queue, oldest request first. */
export class FifoAdmission extends AdmissionPolicy {
  private constructor() {
    super();
  }

  static create(): FifoAdmission {
    return new FifoAdmission();
  }

  override findRefusal(query: AdmissionQuery): Failure | undefined {
    return findQueueFullFailure(query);
  }

  override chooseQueue(queues: readonly WaitingQueue[]): WaitingQueue | undefined {
    let oldest = queues[0];
    for (const queue of queues) {
      if (oldest === undefined || queue.oldestRequest.receivedMs < oldest.oldestRequest.receivedMs)
        oldest = queue;
    }
    return oldest;
  }

  override isTooLate(request: RequestRow, _load: ServiceLoadRow, now: number): boolean {
    return request.deadlineMs <= now;
  }
}
