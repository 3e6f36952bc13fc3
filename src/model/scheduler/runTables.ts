import type { TableIndex } from '../../base/common/table.ts';
import { Table } from '../../base/common/table.ts';
import type { RunRow } from './rows.ts';
import { hasLongLease, hasPendingCommand, isPaceUnknown } from './rows.ts';

/** Key of {@link RunTables.runsWithCommand}. */
export const PENDING_COMMAND = 'open';

/** Key of {@link RunTables.runsWithUnknownPace}. */
export const PACE_UNKNOWN = 'unknown';

/** Key of {@link RunTables.runsWithLongLease}. */
export const LONG_LEASE = 'long';

/** The runs of tasks with their indexes. */
export interface RunTables {
  readonly runs: Table<RunRow>;
  readonly runsByTask: TableIndex<RunRow>;
  readonly runsByWorker: TableIndex<RunRow>;
  readonly runsByJob: TableIndex<RunRow>;
  /** Runs with a command that may have to be sent; all under {@link PENDING_COMMAND}. */
  readonly runsWithCommand: TableIndex<RunRow>;
  /** Runs whose pace the owner must set; all under {@link PACE_UNKNOWN}. */
  readonly runsWithUnknownPace: TableIndex<RunRow>;
  /** Runs whose stored records name a longer lease than the owner's; all under {@link LONG_LEASE}. */
  readonly runsWithLongLease: TableIndex<RunRow>;
}

export function createRunTables(): RunTables {
  const runs = Table.create<RunRow>('runs');
  return {
    runs,
    runsByTask: runs.addIndex((run) => run.taskId),
    runsByWorker: runs.addIndex((run) => run.workerKey),
    runsByJob: runs.addIndex((run) => run.jobId),
    runsWithCommand: runs.addIndex((run) => (hasPendingCommand(run) ? PENDING_COMMAND : undefined)),
    runsWithUnknownPace: runs.addIndex((run) => (isPaceUnknown(run) ? PACE_UNKNOWN : undefined)),
    runsWithLongLease: runs.addIndex((run) => (hasLongLease(run) ? LONG_LEASE : undefined)),
  };
}
