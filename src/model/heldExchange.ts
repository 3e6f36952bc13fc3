import type { ExchangeReply } from './exchange.ts';
import type { WorkerReport } from './worker.ts';

/** An exchange that waits for something to tell. */
export interface HeldExchangeRow {
  readonly id: string;
  readonly agentId: string;
  /** Region of the agent; the shard of its worker follows from it. */
  readonly region: string;
  readonly zone: string;
  readonly answerDeadlineMs: number;
  readonly configRevision: number;
  readonly entriesDigest: number;
  readonly seq: number;
  /** Worker beside the agent, once it is known. */
  readonly workerId: string | undefined;
  /** Present on the link of a worker to the owner of its shard. */
  readonly worker: WorkerReport | undefined;
}

/** The owner's part of the answer to a held exchange. */
export interface OwnerAnswerRow {
  /** Call id of the held exchange. */
  readonly id: string;
  /** Shard whose owner gives the answer; the epoch tells whether it still is. */
  readonly shard: string;
  /** Whether the answer should go out now instead of at the end of the hold. */
  readonly isDue: boolean;
  readonly owner: NonNullable<ExchangeReply['owner']>;
}

/** What decides whether held exchanges have to be looked at again. */
export interface ExchangeScan {
  /** Revision and digest of the entry list at the last look at all of them. */
  revision: number;
  digest: number;
  /** No held exchange has to be answered before this time. */
  nextAnswerDeadlineMs: number;
}
