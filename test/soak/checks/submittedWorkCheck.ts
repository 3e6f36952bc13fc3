import { SOAK_BOUNDS } from '../bounds.ts';
import type { SoakHistory } from '../history.ts';
import type { JobRow, RunRow } from '../rows.ts';
import { PromiseCheck } from './promiseCheck.ts';

/** UNASKED: only what a caller submitted runs, as it was submitted, and not after its cancellation. */
export class SubmittedWorkCheck extends PromiseCheck {
  readonly promise = 'UNASKED';

  static create(): SubmittedWorkCheck {
    return new SubmittedWorkCheck();
  }

  override listBroken(history: SoakHistory): string[] {
    const broken: string[] = [];
    for (const run of history.runs.values()) {
      const name = `${run.task} run ${run.run}`;
      const job = history.jobs.get(run.job);
      if (job === undefined || job.submissions.length === 0) {
        broken.push(`${name} started, and nobody submitted it`);
        continue;
      }
      if (run.payload !== job.payload) broken.push(`${name} started with another specification`);
      if (run.checkpoint !== '' && !run.checkpoint.startsWith(`${run.task}:`))
        broken.push(`${name} started with the checkpoint ${run.checkpoint}`);
      if (job.cancelledAt !== undefined && !run.isLate)
        broken.push(...listAfterCancel(history, run, job.cancelledAt));
    }
    return broken;
  }
}

function listAfterCancel(history: SoakHistory, run: RunRow, cancelledAt: number): string[] {
  const name = `${run.task} run ${run.run}`;
  const agent = history.workers.get(run.worker)?.agent ?? '';
  const startUntil = cancelledAt + SOAK_BOUNDS.cancelMs;
  if (run.startedAt > startUntil && history.isInTouch(agent, run.startedAt))
    return [`${name} started ${Math.round(run.startedAt - cancelledAt)} ms after its cancellation`];
  const goneBy = startUntil + SOAK_BOUNDS.stopMs;
  if ((run.endedAt ?? Infinity) > goneBy && isOver(history, goneBy))
    if (run.startedAt <= goneBy && history.isCalm(cancelledAt, goneBy))
      return [`${name} was at work more than ${goneBy - cancelledAt} ms after its cancellation`];
  return [];
}

/** Whether the history reaches beyond a moment; a run that is open at its end may still end in time. */
function isOver(history: SoakHistory, moment: number): boolean {
  return history.now > moment;
}

/** REFUSED: a job whose submissions were all rejected never runs. */
export class RejectedWorkCheck extends PromiseCheck {
  readonly promise = 'REFUSED';

  static create(): RejectedWorkCheck {
    return new RejectedWorkCheck();
  }

  override listBroken(history: SoakHistory): string[] {
    const broken: string[] = [];
    for (const run of history.runs.values()) {
      const job = history.jobs.get(run.job);
      if (job !== undefined && job.submissions.length > 0 && isRejected(job))
        broken.push(`${run.task} run ${run.run} started, and its job was rejected`);
    }
    return broken;
  }
}

const REJECTIONS = [404, 429, 503];

function isRejected(job: JobRow): boolean {
  return job.submissions.every(
    ({ endedAt, status }) => endedAt !== undefined && REJECTIONS.includes(status ?? 0),
  );
}
