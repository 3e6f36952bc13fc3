import * as z from 'zod/mini';
import type { ValueFault } from '../../base/common/parse.ts';

/** Upper bound of every count in a job: tasks of a step, occurrences, step indexes. */
const MAX_COUNT = 100_000;
const countSchema = z.int().check(z.minimum(0), z.maximum(MAX_COUNT));
const amountSchema = z.number().check(z.minimum(0));

/** One step of a job: tasks of equal demand that may run in parallel. */
export const stepSpecSchema = z.object({
  /** Number of tasks. */
  count: z.int().check(z.minimum(1), z.maximum(MAX_COUNT)),
  /** Demand of one task in thousandths of a core. */
  cpuMillis: z._default(amountSchema, 0),
  memoryMb: z._default(amountSchema, 0),
  gpus: z._default(amountSchema, 0),
  /** The submitter's estimate of a task's run time in milliseconds; often wrong by half or more. */
  estimatedMs: z._default(amountSchema, 0),
  /** Indexes of earlier steps whose tasks must all be done first. */
  after: z._default(z.array(countSchema), []),
  /** Whether a stopped task can resume from a checkpoint. */
  savesProgress: z._default(z.boolean(), false),
  /** Whether the tasks of the step only run all together. */
  gang: z._default(z.boolean(), false),
  /** Whether the tasks slow down when they are spread over racks. */
  sameRack: z._default(z.boolean(), false),
  /** Label that a worker must carry; empty for none. */
  requiredLabel: z._default(z.string(), ''),
  /** Rack that holds the step's data; empty for none. */
  nearRack: z._default(z.string(), ''),
  /** Most tasks of the step on one worker; 0 for no limit. */
  maxPerWorker: z._default(countSchema, 0),
  /** Whether copies of a task may run in parallel; the first to finish counts. */
  speculative: z._default(z.boolean(), false),
  /** Whether the tasks run until the job is cancelled. */
  longRunning: z._default(z.boolean(), false),
  /** Image that the tasks run; tasks of one image behave alike. Empty when not specified. */
  image: z._default(z.string(), ''),
  /** Bound on the tail latency of a serving task in milliseconds; 0 for none. */
  targetMs: z._default(amountSchema, 0),
  /** Whether the tasks are best-effort: they use idle processor time, and their cpu is not reserved. */
  fills: z._default(z.boolean(), false),
  /** Most tasks of a long-running step that the scheduler may preempt at one time. */
  maxUnavailable: z._default(countSchema, 0),
});
export type StepSpec = z.infer<typeof stepSpecSchema>;

/** A job has at least one step; the upper bound limits the size of a stored job. */
export const STEP_COUNT_CHECKS = [z.minLength(1), z.maxLength(1_000)] as const;

/**
 * Most tasks of a job over all its occurrences. The owner keeps a row for each, and its progress, about
 * 100 bytes for each, is one value of the store, which holds 1 MB.
 */
export const MAX_JOB_TASKS = 10_000;

function hasBoundedTasks(spec: {
  readonly steps: readonly { readonly count: number }[];
  readonly occurrences: number;
}): boolean {
  const tasks = spec.steps.reduce((sum, { count }) => sum + count, 0);
  return tasks * Math.max(1, spec.occurrences) <= MAX_JOB_TASKS;
}

const unboundedJobSpecSchema = z.object({
  /** Opaque to the scheduler; passed to the worker. */
  payload: z._default(z.string().check(z.maxLength(4_000)), ''),
  steps: z.array(stepSpecSchema).check(...STEP_COUNT_CHECKS),
  /** Number of times that the steps run; 0 for once, immediately. */
  occurrences: z._default(countSchema, 0),
  /** Wall-clock time of the first occurrence, milliseconds since 1970. */
  startAtMs: z._default(z.number(), 0),
  intervalMs: z._default(z.number(), 0),
});

export const jobSpecSchema = unboundedJobSpecSchema.check(
  z.refine(hasBoundedTasks, {
    error: `a job may have at most ${MAX_JOB_TASKS} tasks over all its occurrences`,
    path: ['steps'],
  }),
);
export type JobSpec = z.infer<typeof jobSpecSchema>;

/** Lists dependencies on steps that do not precede the dependent step. */
export function listDependencyFaults(spec: JobSpec): ValueFault[] {
  return spec.steps.flatMap((step, index) =>
    step.after.flatMap((earlier, position) =>
      earlier < index
        ? []
        : [
            {
              path: `steps[${index}].after[${position}]`,
              message: 'must be the index of an earlier step',
            },
          ],
    ),
  );
}

/** Whether every step depends only on steps that precede it. */
export function hasValidDependencies(spec: JobSpec): boolean {
  return listDependencyFaults(spec).length === 0;
}
