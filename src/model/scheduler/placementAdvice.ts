/** Asks the adviser which of these workers may run the step. */
export interface AdviceRequest {
  /** `JOB.K.STEP`. */
  readonly stepKey: string;
  readonly workerIds: readonly string[];
}

/** Answer of the adviser, as its client decodes it. */
export type AdviceReply =
  | {
      readonly kind: 'advice';
      /** Workers that may run the step, each with the ticket for its starts. */
      readonly tickets: readonly { readonly workerId: string; readonly ticket: string }[];
    }
  /** The adviser's request queue is full. */
  | { readonly kind: 'busy' }
  | { readonly kind: 'unavailable'; readonly message: string };

/** Advice about a step on one incarnation of a worker. */
export interface AdviceRow {
  /** `JOB.K.STEP|` and the worker's key. */
  readonly id: string;
  readonly jobId: string;
  /** Empty when the worker may not run the step; this answer is final. */
  readonly ticket: string;
  /** End of the ticket's validity, owner's clock ms. */
  readonly validUntil: number;
}

/** A step about which the adviser has been asked. */
export interface AdvisedStepRow {
  /** `JOB.K.STEP`. */
  readonly id: string;
  readonly jobId: string;
  /** When the latest request about the step was sent, owner's clock ms. */
  readonly askedAt: number;
}

/**
 * Why the adviser is asked: `first` about a step with capacity that no request has named, `repeat`
 * about another step with capacity, and `upkeep` about a step that waits for capacity, whose tickets
 * are kept valid as far as the adviser has nothing else to decide.
 */
export type AdvicePurpose = 'first' | 'repeat' | 'upkeep';

/** A pending request; at most one for each queue. */
export interface AdviceCallRow {
  /** Call id of the request. */
  readonly id: string;
  readonly queue: string;
  readonly stepKey: string;
  readonly jobId: string;
  readonly purpose: AdvicePurpose;
  /** Validity of the tickets, ms. */
  readonly validMs: number;
  readonly sentAt: number;
  /** Time that the adviser takes to decide, ms, and when its answer is expected, owner's clock ms. */
  readonly answerMs: number;
  readonly expectedAt: number;
  /** Keys of the workers in the request by their ids. */
  readonly workerKeys: ReadonlyMap<string, string>;
}

/** State of the exchange with the adviser, which handles the requests of one instance in turn. */
export interface AdviserState {
  /** Time from which the next request may be sent after a failed one. */
  retryAt: number;
  failures: number;
  /** Number of `first` requests since the latest one of another purpose. */
  firstsInRow: number;
  /** Time from which a request for upkeep may be sent. */
  upkeepAt: number;
}

export function formatAdviceId(stepKey: string, workerKey: string): string {
  return `${stepKey}|${workerKey}`;
}
