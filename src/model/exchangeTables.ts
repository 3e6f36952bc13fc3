import type { TableIndex } from '../base/common/table.ts';
import { Table } from '../base/common/table.ts';
import type { ExchangeScan, HeldExchangeRow, OwnerAnswerRow } from './heldExchange.ts';

/** Tables of exchanges whose answers are pending. */
export interface ExchangeTables {
  readonly heldExchanges: Table<HeldExchangeRow>;
  readonly heldExchangesByAgent: TableIndex<HeldExchangeRow>;
  readonly heldExchangesByWorker: TableIndex<HeldExchangeRow>;
  readonly exchangeScan: ExchangeScan;
  readonly ownerAnswers: Table<OwnerAnswerRow>;
  /** Answers to send now, under the key `due`. */
  readonly dueAnswers: TableIndex<OwnerAnswerRow>;
}

export function createExchangeTables(): ExchangeTables {
  const heldExchanges = Table.create<HeldExchangeRow>('heldExchanges');
  const ownerAnswers = Table.create<OwnerAnswerRow>('ownerAnswers');
  return {
    heldExchanges,
    heldExchangesByAgent: heldExchanges.addIndex((row) => row.agentId),
    heldExchangesByWorker: heldExchanges.addIndex((row) => row.worker?.workerId),
    exchangeScan: { revision: 0, entriesDigest: 0, nextAnswerDeadlineMs: Number.POSITIVE_INFINITY },
    ownerAnswers,
    dueAnswers: ownerAnswers.addIndex((row) => (row.isDue ? 'due' : undefined)),
  };
}
