import { SOAK_BOUNDS } from './bounds.ts';
import type { JobRow, RunRow, SoakStep } from './rows.ts';

type RunsByTask = ReadonlyMap<string, readonly RunRow[]>;

/** Names of the tasks of a job, or of those of the wanted steps. */
export function listTasks(
  { id, steps }: JobRow,
  isWanted: (step: SoakStep) => boolean = () => true,
): string[] {
  return steps.flatMap((step, index) =>
    isWanted(step)
      ? Array.from({ length: step.count }, (_, number) => `${id}.0.${index}.${number}`)
      : [],
  );
}

/** Whether a job has tasks that run until it is cancelled, so that it never completes. */
export function hasLastingTasks({ steps }: JobRow): boolean {
  return steps.some(isLasting);
}

/** Whether a task of a job has used up its attempts; lasting tasks may fail any number of times. */
export function hasFailed(job: JobRow, runs: RunsByTask): boolean {
  return listTasks(job, (step) => !isLasting(step)).some((task) => {
    const failed = runs.get(task)?.filter(({ how }) => how === 'failed') ?? [];
    return failed.length >= job.attempts;
  });
}

/**
 * Whether all lasting tasks of a job run and its other tasks run or are done. A lasting task whose last
 * run ended a short time ago counts as running, because it may fail at any moment.
 */
export function hasReachedLastingState(job: JobRow, runs: RunsByTask, now: number): boolean {
  const isAtWork = ({ endedAt }: RunRow): boolean => endedAt === undefined;
  const isDone = ({ how }: RunRow): boolean => how === 'done';
  const hasJustEnded = ({ endedAt = now }: RunRow): boolean =>
    now - endedAt < SOAK_BOUNDS.lastingAfterRunMs;
  return (
    listTasks(job, isLasting).every((task) => runs.get(task)?.some(hasJustEnded) === true) &&
    listTasks(job, (step) => !isLasting(step)).every(
      (task) => runs.get(task)?.some((run) => isAtWork(run) || isDone(run)) === true,
    )
  );
}

function isLasting({ isLongRunning }: SoakStep): boolean {
  return isLongRunning;
}
