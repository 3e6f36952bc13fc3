import type { ExchangeReply } from './exchange.ts';
import type { WorkerReport } from './worker.ts';

/** An exchange whose answer is held back until there is something to report (long polling). */
export interface HeldExchangeRow {
  readonly id: string;
  readonly agentId: string;
  /** Region of the agent, from which the shard of its worker is derived. */
  readonly region: string;
  readonly zone: string;
  readonly answerDeadlineMs: number;
  readonly configRevision: number;
  readonly entriesDigest: number;
  readonly seq: number;
  /** Worker of the agent; undefined until it is known. */
  readonly workerId: string | undefined;
  /** Present on the link of a worker to the owner of its shard. */
  readonly worker: WorkerReport | undefined;
}

/** The owner's part of the answer to an exchange. */
export interface OwnerAnswerRow {
  /** Call id of the exchange. */
  readonly id: string;
  /** Shard whose owner built the answer. The answer is stale when the epoch of the ownership differs. */
  readonly shard: string;
  /** Whether the answer is sent now instead of at the deadline of the long poll. */
  readonly isDue: boolean;
  readonly owner: NonNullable<ExchangeReply['owner']>;
}

/** Inputs that decide whether all held exchanges have to be checked again. */
export interface ExchangeScan {
  /** Revision of the configuration at the last check. */
  revision: number;
  /** Digest of the entry list at the last check. */
  entriesDigest: number;
  /** Earliest deadline of all held exchanges. */
  nextAnswerDeadlineMs: number;
}
