import type {
  JobExplanation,
  RunExplanation,
  StepExplanation,
} from '../../model/scheduler/jobExplanation.ts';
import { isFinalPhase } from '../../model/scheduler/jobRecord.ts';
import type { LeaseWaitRow } from '../../model/scheduler/leaseWait.ts';
import type { JobRow, RunRow, TaskRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { explainFailedJob } from './attemptLimit.ts';
import { computeDueAt, countOccurrences } from './jobTables.ts';
import type { WorkerCapacity } from './taskPlacementPolicy.ts';
import { explainReadyTask } from './waitReasons.ts';
import { collectCapacities } from './workerCapacities.ts';

/** Maximum rows of each list of an answer, to keep it readable; a job may have 100,000 tasks. */
const MAX_ROWS = 100;
const FULL_PACE_PERCENT = 100;

/**
 * Explains a job from the owner's tables. Reads `jobs`, `tasks`, `runs`, `moves`, `workers`,
 * `leaseWaits` and the operator's keys, on a follower `statuses`; writes nothing. Runs on request only, between ticks.
 */
export function buildJobExplanation(
  state: SchedulerState,
  jobId: string,
  now: number,
): JobExplanation {
  const { ownership } = state;
  const identity = { job: jobId, entry: state.self.id };
  if (ownership.role !== 'owner') {
    const phase = state.statuses.get(jobId)?.phase;
    return {
      kind: 'elsewhere',
      ...identity,
      role: ownership.role,
      owner: ownership.ownerId,
      ownerAddress: ownership.ownerAddress,
      ...(phase === undefined ? {} : { phase }),
    };
  }
  const job = state.jobs.get(jobId);
  if (job === undefined) return { kind: 'unknown', ...identity };
  const steps = explainSteps(state, job, now);
  const runs = state.runsByJob.list(jobId);
  const moves = state.movesByJob.list(jobId);
  // Completed steps explain the least, so a truncated list omits them.
  const isTruncated = steps.length > MAX_ROWS;
  const shownSteps = isTruncated ? steps.filter((step) => !isDone(step)) : steps;
  return {
    kind: 'job',
    ...identity,
    queue: job.job.queue,
    phase: job.phase,
    ageMs: Math.round(now - job.acceptedAt),
    why: explainJob(state, job, now),
    steps: shownSteps.slice(0, MAX_ROWS),
    runs: runs.slice(0, MAX_ROWS).map((run) => explainRun(state, run, now)),
    moves: moves.slice(-MAX_ROWS).map(({ id, workerId, reason, movedAt }) => ({
      id,
      worker: workerId,
      why: reason,
      ageMs: Math.round(now - movedAt),
    })),
    leftOut: {
      steps: steps.length - Math.min(shownSteps.length, MAX_ROWS),
      runs: Math.max(0, runs.length - MAX_ROWS),
      moves: Math.max(0, moves.length - MAX_ROWS),
    },
  };
}

function isDone({ waiting, ready, active }: StepExplanation): boolean {
  return waiting + ready + active === 0;
}

function explainJob(state: SchedulerState, job: JobRow, now: number): string[] {
  const why: string[] = [];
  if (job.change > job.storedChange) why.push('the latest change is not stored yet');
  if (isFinalPhase(job.phase)) {
    const openRuns = state.runsByJob.count(job.id);
    if (job.phase === 'failed') why.push(...explainFailedJob(state, job.id));
    if (openRuns > 0) why.push(`${openRuns} runs have not ended yet`);
    return why;
  }
  if (job.addedOccurrences < countOccurrences(job.job)) {
    const dueMs = Math.round(computeDueAt(state, job.job, job.addedOccurrences) - now);
    why.push(`occurrence ${job.addedOccurrences} is due in ${Math.max(0, dueMs)} ms`);
  }
  return why;
}

function explainSteps(state: SchedulerState, job: JobRow, now: number): StepExplanation[] {
  const tasksByStep = new Map<string, TaskRow[]>();
  for (const task of state.tasksByJob.values(job.id)) {
    const id = formatStepId(task.occurrence, task.stepIndex);
    const tasks = tasksByStep.get(id);
    if (tasks === undefined) tasksByStep.set(id, [task]);
    else tasks.push(task);
  }
  const capacities = collectCapacities(state, now);
  return [...tasksByStep].map(([id, tasks]) => ({
    id,
    waiting: countPhase(tasks, 'waiting'),
    ready: countPhase(tasks, 'ready'),
    active: countPhase(tasks, 'active'),
    done: countPhase(tasks, 'done'),
    why: isFinalPhase(job.phase) ? '' : explainStep(state, tasks, tasksByStep, capacities, now),
  }));
}

function countPhase(tasks: readonly TaskRow[], phase: TaskRow['phase']): number {
  return tasks.filter((task) => task.phase === phase).length;
}

/** Tasks of a step have equal demand, so the first ready one represents all of them. */
function explainStep(
  state: SchedulerState,
  tasks: readonly TaskRow[],
  tasksByStep: ReadonlyMap<string, readonly TaskRow[]>,
  capacities: readonly WorkerCapacity[],
  now: number,
): string {
  const ready = tasks.find(({ phase }) => phase === 'ready');
  if (ready !== undefined) {
    const waitedMs = Math.round(now - ready.readyAt);
    return `${explainReadyTask(state, ready, capacities, now)} (ready for ${waitedMs} ms)`;
  }
  const waiting = tasks.find(({ phase }) => phase === 'waiting');
  if (waiting === undefined) return '';
  const open = waiting.step.after.flatMap((index) => {
    const predecessors = tasksByStep.get(formatStepId(waiting.occurrence, index)) ?? [];
    const done = countPhase(predecessors, 'done');
    return done < predecessors.length
      ? [`step ${index} (${done} of ${predecessors.length} done)`]
      : [];
  });
  return `waits for ${open.join(', ')}`;
}

function explainRun(state: SchedulerState, run: RunRow, now: number): RunExplanation {
  return {
    id: run.id,
    worker: run.workerKey.split('|')[1] ?? '',
    phase: run.phase,
    percent: run.percent,
    pacePercent: run.pacePercent,
    ageMs: Math.round(now - run.placedAt),
    why: explainRunState(state, run, now),
  };
}

function explainRunState(state: SchedulerState, run: RunRow, now: number): string {
  const wait = state.leaseWaits.get(run.workerKey);
  if (wait !== undefined) return explainLeaseWait(wait, now);
  if (run.stopReason !== undefined) return `being stopped: ${run.stopReason}`;
  if (run.phase === 'placed') return 'starts when its placement is stored';
  if (run.phase === 'unknown') return "an earlier owner's run; the worker has not listed it yet";
  return run.pacePercent < FULL_PACE_PERCENT ? 'slowed for a serving task' : '';
}

function explainLeaseWait(
  { silentSince, endsAt, grantedBy, agentLink }: LeaseWaitRow,
  now: number,
): string {
  const silentMs = Math.round(now - silentSince);
  const leftMs = Math.max(0, Math.round(endsAt - now));
  const granter = grantedBy === 'thisOwner' ? 'this owner' : 'an earlier owner';
  const agent = agentLink === 'open' ? '' : ', and its agent is out of reach';
  return `its worker is silent for ${silentMs} ms${agent}; a lease of ${granter} may last for ${leftMs} ms`;
}

function formatStepId(occurrence: number, stepIndex: number): string {
  return `${occurrence}.${stepIndex}`;
}
