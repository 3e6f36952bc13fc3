import type { TableIndex } from '../../base/common/table.ts';
import { Table } from '../../base/common/table.ts';
import type { RunRow } from './rows.ts';
import { hasOpenOrder, isPaceUnknown } from './rows.ts';

/** Key of {@link RunTables.runsWithOrder}. */
export const OPEN_ORDER = 'open';

/** Key of {@link RunTables.runsWithoutPace}. */
export const PACE_UNKNOWN = 'unknown';

/** Runs of tasks with the indexes over them. */
export interface RunTables {
  readonly runs: Table<RunRow>;
  readonly runsByTask: TableIndex<RunRow>;
  readonly runsByWorker: TableIndex<RunRow>;
  readonly runsByJob: TableIndex<RunRow>;
  /** Runs with an order that may have to be sent; all under {@link OPEN_ORDER}. */
  readonly runsWithOrder: TableIndex<RunRow>;
  /** Runs whose pace the owner has to set; all under {@link PACE_UNKNOWN}. */
  readonly runsWithoutPace: TableIndex<RunRow>;
}

export function createRunTables(): RunTables {
  const runs = Table.create<RunRow>('runs');
  return {
    runs,
    runsByTask: runs.addIndex((run) => run.taskId),
    runsByWorker: runs.addIndex((run) => run.workerKey),
    runsByJob: runs.addIndex((run) => run.jobId),
    runsWithOrder: runs.addIndex((run) => (hasOpenOrder(run) ? OPEN_ORDER : undefined)),
    runsWithoutPace: runs.addIndex((run) => (isPaceUnknown(run) ? PACE_UNKNOWN : undefined)),
  };
}
