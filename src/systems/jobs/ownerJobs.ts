import type { Either } from 'purify-ts/Either';
import { Left, Right } from 'purify-ts/Either';
import type { Failure } from '../../base/common/errors.ts';
import { createFailure } from '../../base/common/errors.ts';
import { formatFaults, parseValue } from '../../base/common/parse.ts';
import { getShardName } from '../../model/configuration.ts';
import type { JsonAnswer } from '../../model/effects.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { JobCallRow } from '../../model/ledger.ts';
import { formatRunId } from '../../model/run.ts';
import type { JobSubmission, TaskRow } from '../../model/task.ts';
import { isTaskOpen, jobSubmissionSchema } from '../../model/task.ts';
import { hasPendingChange, queueTaskChange } from '../ledger/ledgerChanges.ts';
import { estimateTaskBytes, MAX_TASK_BYTES } from '../ledger/ledgerSizes.ts';
import { formatJobId } from './jobId.ts';

/** Job id and shard of a valid submission. */
export interface JobTarget {
  readonly shard: string;
  readonly jobId: string;
  readonly submission: JobSubmission;
}

/** Validates a submission and resolves the shard of its pool. */
export function parseSubmission(state: EntryState, value: unknown): Either<Failure, JobTarget> {
  return parseValue(jobSubmissionSchema, value)
    .mapLeft((faults) => createFailure('bad_request', formatFaults(faults)))
    .chain((submission): Either<Failure, JobTarget> => {
      const { pools } = state.configuration.current;
      const pool = pools.find((candidate) => candidate.name === submission.pool);
      if (pool?.workClass !== 'batch') {
        const reason = pool === undefined ? 'does not exist' : 'is not a batch pool';
        return Left(createFailure('bad_request', `pool: ${submission.pool} ${reason}`));
      }
      const shard = getShardName(pool);
      const jobId = formatJobId(shard, submission.team, submission.idempotencyKey);
      if (estimateTaskBytes(buildTask(jobId, submission, 0)) > MAX_TASK_BYTES)
        return Left(createFailure('body_too_large', `the job exceeds ${MAX_TASK_BYTES} bytes`));
      return Right({ shard, jobId, submission });
    });
}

function buildTask(id: string, submission: JobSubmission, sequence: number): TaskRow {
  const { deadlineSeconds } = submission;
  return {
    pool: submission.pool,
    team: submission.team,
    taskKind: submission.taskKind,
    demand: submission.demand,
    command: submission.command,
    expectedSeconds: submission.expectedSeconds,
    value: submission.value,
    ...(deadlineSeconds === undefined ? {} : { deadlineSeconds }),
    id,
    workClass: submission.priority,
    phase: 'queued',
    incarnation: 0,
    failedWorkers: [],
    sequence,
  };
}

/** Builds the answer to a caller from the state of a job. */
export function renderJob(state: EntryState, task: TaskRow): JsonAnswer {
  const run = state.runs.get(formatRunId(task.id, task.incarnation));
  const checkpoint = run?.checkpoint ?? task.checkpoint;
  return {
    kind: 'value',
    value: {
      jobId: task.id,
      phase: task.phase,
      attempts: task.incarnation,
      ...(task.workerId === undefined ? {} : { workerId: task.workerId, zone: task.zone }),
      ...(run === undefined ? {} : { run: run.phase }),
      ...(checkpoint === undefined ? {} : { checkpoint }),
      ...(task.stopReason === undefined ? {} : { stopReason: task.stopReason }),
      ...(task.failure === undefined ? {} : { failure: task.failure }),
    },
  };
}

/**
 * Executes a call at the owner. Returns undefined until the ledger has confirmed the change; the
 * function is called again each tick until then.
 */
export function answerOwnedCall(
  state: EntryState,
  row: JobCallRow,
  nowMs: number,
): JsonAnswer | undefined {
  const task = state.tasks.get(row.jobId);
  switch (row.call.kind) {
    case 'submit':
      return task === undefined ? queueJob(state, row, nowMs) : renderJob(state, task);
    case 'status':
      return task === undefined ? createUnknownJobAnswer(row.jobId) : renderJob(state, task);
    case 'cancel':
      return task === undefined
        ? createUnknownJobAnswer(row.jobId)
        : queueCancel(state, row, task, nowMs);
  }
}

function createUnknownJobAnswer(jobId: string): JsonAnswer {
  return { kind: 'failure', failure: createFailure('job_unknown', `unknown job ${jobId}`) };
}

function queueJob(state: EntryState, row: JobCallRow, nowMs: number): JsonAnswer | undefined {
  if (row.call.kind !== 'submit' || hasPendingChange(state, row.jobId)) return undefined;
  return parseSubmission(state, row.call.submission).caseOf<JsonAnswer | undefined>({
    Left: (failure) => ({ kind: 'failure', failure }),
    Right: ({ submission }) => {
      const sequence = state.ledgers.get(row.shard)?.nextTaskSequence ?? 1;
      state.ledgers.update(row.shard, { nextTaskSequence: sequence + 1 });
      const task = buildTask(row.jobId, submission, sequence);
      queueTaskChange(state, row.shard, task, nowMs, submission.priority === 'urgent');
      state.counters.add('jobs_submitted');
      return undefined;
    },
  });
}

function queueCancel(
  state: EntryState,
  row: JobCallRow,
  task: TaskRow,
  nowMs: number,
): JsonAnswer | undefined {
  if (!isTaskOpen(task) || task.stopReason === 'cancelled') return renderJob(state, task);
  if (hasPendingChange(state, task.id)) return undefined;
  const next: TaskRow =
    task.phase === 'queued'
      ? { ...task, phase: 'cancelled' }
      : { ...task, stopReason: 'cancelled' };
  queueTaskChange(state, row.shard, next, nowMs, task.workClass !== 'ordinary');
  state.counters.add('jobs_cancelled');
  return undefined;
}
