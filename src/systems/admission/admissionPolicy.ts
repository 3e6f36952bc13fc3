import type { Failure } from '../../base/common/errors.ts';
import { createFailure } from '../../base/common/errors.ts';
import type { QueueRow, ServiceLoadRow } from '../../model/admission.ts';
import type { RequestRow } from '../../model/request.ts';

/** A queue with waiting requests. */
export interface WaitingQueue {
  readonly queue: QueueRow;
  /** The request that has waited longest. */
  readonly oldestRequest: RequestRow;
  readonly length: number;
}

/** What is known when a request arrives at its queue. */
export interface AdmissionQuery {
  readonly queue: QueueRow;
  /** Requests that wait in the queue already. */
  readonly length: number;
  readonly request: RequestRow;
  readonly load: ServiceLoadRow;
  readonly now: number;
}

/** Decides which requests wait, in which order they are served, and which are refused. */
export abstract class AdmissionPolicy {
  /** The reason to refuse an arrived request instead of queueing it. */
  abstract findRefusal(query: AdmissionQuery): Failure | undefined;

  /** The queue to serve next; `views` is not empty. */
  abstract chooseQueue(
    views: readonly WaitingQueue[],
    load: ServiceLoadRow,
  ): WaitingQueue | undefined;

  /** Whether a queued request can no longer be answered in time. */
  abstract isTooLate(request: RequestRow, load: ServiceLoadRow, now: number): boolean;
}

/** The refusal of a request that arrives at a queue at its bound. */
export function findQueueFull({ queue, length }: AdmissionQuery): Failure | undefined {
  if (length < queue.maxQueue) return undefined;
  return createFailure('queue_full', `${length} requests wait on route ${queue.route}`);
}

/** Baseline: one bound per route, oldest request first. */
export class FifoAdmission extends AdmissionPolicy {
  private constructor() {
    super();
  }

  static create(): FifoAdmission {
    return new FifoAdmission();
  }

  override findRefusal(query: AdmissionQuery): Failure | undefined {
    return findQueueFull(query);
  }

  override chooseQueue(views: readonly WaitingQueue[]): WaitingQueue | undefined {
    let oldest = views[0];
    for (const view of views) {
      if (oldest === undefined || view.oldestRequest.receivedMs < oldest.oldestRequest.receivedMs)
        oldest = view;
    }
    return oldest;
  }

  override isTooLate(request: RequestRow, _load: ServiceLoadRow, now: number): boolean {
    return request.deadlineMs <= now;
  }
}
