import type { JobRow, TaskRow } from '../../model/scheduler/rows.ts';
import type { Queue } from '../../model/scheduler/queueConfiguration.ts';

/** A task that is ready, with what its place in the order depends on. */
export interface ReadyTask {
  readonly task: TaskRow;
  readonly job: JobRow;
  readonly queue: Queue | undefined;
}

/** Order in which ready tasks get room. */
export abstract class TaskOrder {
  abstract sort(ready: ReadyTask[], now: number): ReadyTask[];
}

/** The baseline: by priority, then by age. */
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

/** A job that is this many times its objective late earns nothing more by haste. */
const OVERDUE_FACTOR = 3;

/**
 * By priority, then by the least work left; jobs past any credit come last. In a burst of large jobs
 * this brings the most of them to their end in time. Jobs that last have no end to be late for: they
 * are unavailable while a task of theirs waits, so they come first in their priority.
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
    const getKey = ({ job, queue }: ReadyTask): number => {
      let key = keys.get(job);
      if (key === undefined) {
        const isLongRunning = job.job.spec.steps.some((step) => step.longRunning);
        const isOverdue = now > job.acceptedAt + OVERDUE_FACTOR * estimateObjectiveMs(job, queue);
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

/** Work that a job has left, from the submitter's estimates, thousandths of a core times ms. */
function estimateRemainingWork({ job, openTasks }: JobRow): number {
  let tasks = 0;
  let work = 0;
  for (const step of job.spec.steps) {
    tasks += step.count;
    work += step.count * step.cpuMillis * step.estimatedMs;
  }
  return (work * openTasks) / Math.max(1, tasks);
}

function getPriority({ queue }: ReadyTask): number {
  return queue?.priority ?? 0;
}

/** Time that a job may take by its queue's objective, from the submitter's estimates, ms. */
export function estimateObjectiveMs(job: JobRow, queue: Queue | undefined): number {
  const chains: number[] = [];
  for (const step of job.job.spec.steps)
    chains.push(
      step.estimatedMs + Math.max(0, ...step.after.map((earlier) => chains[earlier] ?? 0)),
    );
  return Math.max(0, ...chains) * (queue?.stretch ?? 1) + (queue?.latencyObjectiveMs ?? 0);
}
