import { SOAK_BOUNDS } from '../bounds.ts';
import type { SoakHistory } from '../history.ts';
import { isEndNoted } from '../history.ts';
import { hasFailed, hasLastingTasks, hasReachedLastingState, listTasks } from '../jobTasks.ts';
import type { JobRow, RunRow } from '../rows.ts';
import { PromiseCheck } from './promiseCheck.ts';

/** BUDGET: no task starts after as many runs as its queue allows ended `failed` and were acknowledged. */
export class BudgetCheck extends PromiseCheck {
  readonly promise = 'BUDGET';

  static create(): BudgetCheck {
    return new BudgetCheck();
  }

  override listBroken(history: SoakHistory): string[] {
    const broken: string[] = [];
    for (const [task, runs] of history.listRunsByTask())
      for (const run of runs) {
        const job = history.jobs.get(run.job);
        // Lasting tasks start again however often they failed.
        if (job?.steps[run.step]?.isLongRunning === true) continue;
        const failed = runs.filter(
          (other) =>
            other.how === 'failed' &&
            (other.endedAt ?? Infinity) <= run.startedAt &&
            isEndNoted(history, other),
        );
        if (failed.length >= (job?.attempts ?? Infinity))
          broken.push(`${task} run ${run.run} started after ${failed.length} failed runs`);
      }
    return broken;
  }
}

/** MIXED: a job is shown as completed only once all of its tasks ended `done`, and only if it was submitted. */
export class CompletionCheck extends PromiseCheck {
  readonly promise = 'MIXED';

  static create(): CompletionCheck {
    return new CompletionCheck();
  }

  override listBroken(history: SoakHistory): string[] {
    const done = new Map<string, number>();
    for (const run of history.runs.values())
      if (run.how === 'done' && run.endedAt !== undefined)
        done.set(run.task, Math.min(run.endedAt, done.get(run.task) ?? Infinity));
    const broken: string[] = [];
    for (const job of history.jobs.values()) {
      const shown = job.looks.find(({ state }) => state === 'completed');
      const isUnknown = job.submissions.length === 0 && job.looks.some(({ state }) => state !== '');
      if (isUnknown) broken.push(`${job.id} is shown, and nobody submitted it`);
      const until = shown?.endedAt;
      if (until === undefined) continue;
      const missing = listTasks(job).filter((task) => (done.get(task) ?? Infinity) > until);
      if (missing.length > 0)
        broken.push(`${job.id} was shown as completed while ${missing[0] ?? ''} was not done`);
    }
    return broken;
  }
}

/** LOST: an accepted job is known, ends, and is failed or cancelled only for a cause. */
export class AcceptedJobCheck extends PromiseCheck {
  readonly promise = 'LOST';

  static create(): AcceptedJobCheck {
    return new AcceptedJobCheck();
  }

  override listBroken(history: SoakHistory): string[] {
    const runs = history.listRunsByTask();
    const broken: string[] = [];
    for (const job of history.jobs.values()) {
      const { acceptedAt } = job;
      if (acceptedAt === undefined) continue;
      for (const { process, sentAt, status, state } of job.looks) {
        const isGone = status === 410 && job.cancelSentAt === undefined;
        if (isGone && sentAt > acceptedAt + SOAK_BOUNDS.visibleMs)
          if (history.isInTouch(process, sentAt))
            broken.push(`${job.id} was accepted and is not known at ${process}`);
        if (state === 'cancelled' && job.cancelSentAt === undefined)
          broken.push(`${job.id} is shown as cancelled, and nobody cancelled it`);
        if (state === 'failed' && !hasFailed(job, runs))
          broken.push(`${job.id} is shown as failed, and no task failed often enough`);
      }
      const isOwed = job.cancelSentAt === undefined && !hasEnded(job);
      if (!isOwed || !isOverdue(history, acceptedAt)) continue;
      if (!hasLastingTasks(job)) {
        if (!isRunning(job, runs)) broken.push(`${job.id} was accepted and has not ended`);
      } else if (!hasReachedLastingState(job, runs, history.now))
        broken.push(`${job.id} was accepted, and not all of its lasting tasks run`);
    }
    return broken;
  }
}

/** RECOVER: of the jobs submitted after the recovery, a quarter or more is accepted. */
export class RecoveryCheck extends PromiseCheck {
  readonly promise = 'RECOVER';

  static create(): RecoveryCheck {
    return new RecoveryCheck();
  }

  override listBroken(history: SoakHistory): string[] {
    const late = history.jobs.list().filter(({ submissions: [first] }) => {
      const recoveredAt = (history.calmSince ?? Infinity) + SOAK_BOUNDS.recoverMs;
      return first !== undefined && first.sentAt > recoveredAt;
    });
    const isOver = isOverdue(history, 0);
    const served = late.filter((job) => job.acceptedAt !== undefined);
    return isOver && late.length > 0 && served.length * 4 < late.length
      ? [`only ${served.length} of ${late.length} jobs were accepted after the faults`]
      : [];
  }
}

/** Whether the time for a job that was accepted before the recovery is over. */
function isOverdue({ calmSince, now }: SoakHistory, acceptedAt: number): boolean {
  if (calmSince === undefined) return false;
  const recoveredAt = calmSince + SOAK_BOUNDS.recoverMs;
  return acceptedAt < recoveredAt && now > recoveredAt + SOAK_BOUNDS.finishMs;
}

function isRunning(job: JobRow, runs: ReadonlyMap<string, readonly RunRow[]>): boolean {
  return listTasks(job).some((task) =>
    runs.get(task)?.some(({ endedAt }) => endedAt === undefined),
  );
}

function hasEnded(job: JobRow): boolean {
  return job.looks.some(({ state }) => ['completed', 'failed', 'cancelled'].includes(state));
}
