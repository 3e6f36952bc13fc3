import * as z from 'zod/mini';
import { jobPhaseSchema } from './jobRecord.ts';

/** One step of one occurrence of a job, with the number of its tasks by phase. */
export const stepExplanationSchema = z.object({
  /** `K.STEP`. */
  id: z.string(),
  waiting: z.int(),
  ready: z.int(),
  active: z.int(),
  done: z.int(),
  /** Why tasks of the step do not run; empty when none waits. */
  why: z.string(),
});
export type StepExplanation = z.infer<typeof stepExplanationSchema>;

/** A run that holds capacity of a worker. */
export const runExplanationSchema = z.object({
  /** `TASK#RUN`. */
  id: z.string(),
  worker: z.string(),
  phase: z.string(),
  percent: z.number(),
  pacePercent: z.number(),
  ageMs: z.int(),
  /** Why the run is not at full pace; empty when it is. */
  why: z.string(),
});
export type RunExplanation = z.infer<typeof runExplanationSchema>;

/** A run that was moved, lost or copied. */
export const moveExplanationSchema = z.object({
  /** `TASK#RUN`. */
  id: z.string(),
  worker: z.string(),
  why: z.string(),
  ageMs: z.int(),
});
export type MoveExplanation = z.infer<typeof moveExplanationSchema>;

/** Explains the present state of a job to the operator. */
export const jobExplanationSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('job'),
    job: z.string(),
    entry: z.string(),
    queue: z.string(),
    phase: jobPhaseSchema,
    ageMs: z.int(),
    /** What the job as a whole waits for. */
    why: z.array(z.string()),
    steps: z.array(stepExplanationSchema),
    runs: z.array(runExplanationSchema),
    /** Oldest first. */
    moves: z.array(moveExplanationSchema),
    /** Rows beyond the bound of each list. */
    leftOut: z.object({ steps: z.int(), runs: z.int(), moves: z.int() }),
  }),
  /** The entry that was asked is not the owner. */
  z.object({
    kind: z.literal('elsewhere'),
    job: z.string(),
    entry: z.string(),
    role: z.string(),
    /** Id and link address of the owner; empty when not known. */
    owner: z.string(),
    ownerAddress: z.string(),
    phase: z.optional(jobPhaseSchema),
  }),
  z.object({ kind: z.literal('unknown'), job: z.string(), entry: z.string() }),
]);
export type JobExplanation = z.infer<typeof jobExplanationSchema>;
