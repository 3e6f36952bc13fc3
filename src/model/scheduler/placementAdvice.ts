/** A question to the adviser: which of these workers may run the step. */
export interface AdviceRequest {
  /** `JOB.K.STEP`. */
  readonly stepKey: string;
  readonly workerIds: readonly string[];
}

/** Answer of the adviser, as its client decodes it. */
export type AdviceReply =
  | {
      readonly kind: 'advice';
      /** Workers that may run the step, each with the ticket that its starts carry. */
      readonly tickets: readonly { readonly workerId: string; readonly ticket: string }[];
    }
  /** The adviser has too many questions waiting. */
  | { readonly kind: 'busy' }
  | { readonly kind: 'unavailable'; readonly message: string };

/** What the adviser said about a step on one incarnation of a worker. */
export interface AdviceRow {
  /** `JOB.K.STEP|` and the worker's key. */
  readonly id: string;
  readonly jobId: string;
  /** Empty when the worker may not run the step; that does not change. */
  readonly ticket: string;
  /** End of the ticket's validity, owner's clock ms. */
  readonly validUntil: number;
}

/** The question that is on its way. The adviser handles one at a time for each asking instance. */
export interface AdviceCallState {
  callId: string;
  stepKey: string;
  jobId: string;
  validMs: number;
  /** Keys of the asked workers by their ids. */
  readonly workerKeys: Map<string, string>;
  retryAt: number;
  failures: number;
}

export function formatAdviceId(stepKey: string, workerKey: string): string {
  return `${stepKey}|${workerKey}`;
}
