import type { TableIndex } from '../base/common/table.ts';
import { Table } from '../base/common/table.ts';
import type {
  OwnershipClaimRow,
  ShardOwnershipRow,
  JobCallRow,
  LedgerRow,
  PendingChangeRow,
  LedgerTaskRow,
} from './ledger.ts';
import type { RunRow, ThrottleRow } from './run.ts';
import type { TaskRow } from './task.ts';
import type { UsageSample, WorkerRow } from './worker.ts';

/** A usage sample that the owner has received and not processed yet. */
export interface UsageSampleRow extends UsageSample {
  readonly id: string;
  readonly workerId: string;
  /** Time of the measurement on the owner's clock: the receipt minus the sample's age. */
  readonly takenMs: number;
}

/** Tables of the ledger, the workers and their runs. */
export interface TaskTables {
  /** Ownership of each shard. Metrics and operators see the table as `duties`. */
  readonly duties: Table<ShardOwnershipRow>;
  /** Tasks of the ledger; every row is confirmed by the store. */
  readonly tasks: Table<TaskRow>;
  /** Assigned tasks by worker id. */
  readonly tasksByWorker: TableIndex<TaskRow>;
  /** Ids of tasks that have changed since the replies to pending long polls were built. */
  readonly changedTasks: Set<string>;
  readonly ownershipClaims: Table<OwnershipClaimRow>;
  readonly ledgers: Table<LedgerRow>;
  readonly ledgerTasks: Table<LedgerTaskRow>;
  /** Ledger tasks by shard and hash bucket, `shard/17`. */
  readonly ledgerTasksByBucket: TableIndex<LedgerTaskRow>;
  readonly jobCalls: Table<JobCallRow>;
  readonly pendingChanges: Table<PendingChangeRow>;
  readonly workers: Table<WorkerRow>;
  readonly runs: Table<RunRow>;
  readonly runsByWorker: TableIndex<RunRow>;
  readonly throttles: Table<ThrottleRow>;
  readonly usageSamples: Table<UsageSampleRow>;
}

export function createTaskTables(): TaskTables {
  const tasks = Table.create<TaskRow>('tasks');
  const runs = Table.create<RunRow>('runs');
  const ledgerTasks = Table.create<LedgerTaskRow>('taskHomes');
  return {
    duties: Table.create('duties'),
    tasks,
    changedTasks: tasks.addChangeSet(),
    tasksByWorker: tasks.addIndex((task) =>
      task.phase === 'assigned' ? task.workerId : undefined,
    ),
    ownershipClaims: Table.create('dutyClaims'),
    ledgers: Table.create('ledgers'),
    ledgerTasks,
    ledgerTasksByBucket: ledgerTasks.addIndex((row) => `${row.shard}/${row.bucket}`),
    jobCalls: Table.create('jobCalls'),
    pendingChanges: Table.create('pendingChanges'),
    workers: Table.create('workers'),
    runs,
    runsByWorker: runs.addIndex((run) => run.workerId),
    throttles: Table.create('throttles'),
    usageSamples: Table.create('usageSamples'),
  };
}
