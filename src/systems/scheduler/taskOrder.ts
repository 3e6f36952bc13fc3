import type { JobRow, TaskRow } from '../../model/scheduler/rows.ts';

/** A ready task with the job that its position depends on. */
export interface ReadyTask {
  readonly task: TaskRow;
  readonly job: JobRow;
}

/** The order in which ready tasks get capacity. */
export abstract class TaskOrder {
  abstract sort(ready: ReadyTask[], now: number): ReadyTask[];
}

/** Baseline: by priority, then by age. */
export class AgeOrder extends TaskOrder {
  private constructor() {
    super();
  }

  static create(): AgeOrder {
    return new AgeOrder();
  }

  override sort(ready: ReadyTask[]): ReadyTask[] {
    return ready.sort(
      (left, right) =>
        getPriority(left) - getPriority(right) || left.job.acceptedAt - right.job.acceptedAt,
    );
  }
}

/** A job older than this multiple of its objective gains nothing from an earlier completion. */
const OVERDUE_FACTOR = 3;

/**
 * By priority, then by the least remaining work; overdue jobs come last. In a burst of large jobs
 * this completes the most of them in time. Long-running jobs have no end that could be late, but
 * they are unavailable while a task waits, so they come first in their priority.
 */
export class LeastWorkOrder extends TaskOrder {
  private constructor() {
    super();
  }

  static create(): LeastWorkOrder {
    return new LeastWorkOrder();
  }

  override sort(ready: ReadyTask[], now: number): ReadyTask[] {
    const keys = new Map<JobRow, number>();
    const getKey = ({ job }: ReadyTask): number => {
      let key = keys.get(job);
      if (key === undefined) {
        const isLongRunning = job.job.spec.steps.some((step) => step.longRunning);
        const isOverdue = now > job.acceptedAt + OVERDUE_FACTOR * estimateObjectiveMs(job);
        key = isLongRunning ? 0 : isOverdue ? Number.MAX_SAFE_INTEGER : estimateRemainingWork(job);
        keys.set(job, key);
      }
      return key;
    };
    return ready.sort(
      (left, right) => getPriority(left) - getPriority(right) || getKey(left) - getKey(right),
    );
  }
}

/**
 * Estimates the remaining work of a job by the submitter's figures, thousandths of a core times ms.
 */
function estimateRemainingWork({ job, openTaskCount }: JobRow): number {
  let tasks = 0;
  let work = 0;
  for (const step of job.spec.steps) {
    tasks += step.count;
    work += step.count * step.cpuMillis * step.estimatedMs;
  }
  return (work * openTaskCount) / Math.max(1, tasks);
}

/** A job whose queue is unknown must not go ahead of others. */
function getPriority({ job }: ReadyTask): number {
  return job.terms?.priority ?? Number.MAX_SAFE_INTEGER;
}

/**
 * Estimates the time that a job may take by its queue's objective and the submitter's figures, ms.
 */
export function estimateObjectiveMs({ job, terms }: JobRow): number {
  const chains: number[] = [];
  for (const step of job.spec.steps)
    chains.push(
      step.estimatedMs + Math.max(0, ...step.after.map((earlier) => chains[earlier] ?? 0)),
    );
  return Math.max(0, ...chains) * (terms?.stretch ?? 1) + (terms?.latencyObjectiveMs ?? 0);
}
