import type { TableIndex } from '../base/common/table.ts';
import { Table } from '../base/common/table.ts';
import type {
  DutyClaimRow,
  DutyRow,
  JobCallRow,
  LedgerRow,
  PendingChangeRow,
  TaskHomeRow,
} from './ledger.ts';
import type { RunRow, ThrottleRow } from './run.ts';
import type { TaskRow } from './task.ts';
import type { UsageSample, WorkerRow } from './worker.ts';

/** A usage sample that the owner has received and not yet used. */
export interface UsageSampleRow extends UsageSample {
  readonly id: string;
  readonly workerId: string;
  /** Owner's time to which the sample refers, corrected by its age. */
  readonly takenMs: number;
}

/** Tables of the ledger, the workers and their runs. */
export interface TaskTables {
  readonly duties: Table<DutyRow>;
  /** Tasks as the ledger has them: every row is known to be in the store. */
  readonly tasks: Table<TaskRow>;
  /** Assigned tasks by worker id. */
  readonly tasksByWorker: TableIndex<TaskRow>;
  /** Ids of tasks that have changed since the answers to held exchanges were built. */
  readonly tasksToAnswer: Set<string>;
  readonly dutyClaims: Table<DutyClaimRow>;
  readonly ledgers: Table<LedgerRow>;
  readonly taskHomes: Table<TaskHomeRow>;
  /** Task homes by shard and hash bucket, `shard/17`. */
  readonly taskHomesByBucket: TableIndex<TaskHomeRow>;
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
  const taskHomes = Table.create<TaskHomeRow>('taskHomes');
  return {
    duties: Table.create('duties'),
    tasks,
    tasksToAnswer: tasks.addChangeSet(),
    tasksByWorker: tasks.addIndex((task) =>
      task.phase === 'assigned' ? task.workerId : undefined,
    ),
    dutyClaims: Table.create('dutyClaims'),
    ledgers: Table.create('ledgers'),
    taskHomes,
    taskHomesByBucket: taskHomes.addIndex((home) => `${home.shard}/${home.bucket}`),
    jobCalls: Table.create('jobCalls'),
    pendingChanges: Table.create('pendingChanges'),
    workers: Table.create('workers'),
    runs,
    runsByWorker: runs.addIndex((run) => run.workerId),
    throttles: Table.create('throttles'),
    usageSamples: Table.create('usageSamples'),
  };
}
