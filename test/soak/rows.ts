import * as z from 'zod/mini';
import { runEndSchema } from '../../src/model/scheduler/linkMessages.ts';

/** All times are ms on the monotonic clock of the soak. */
const time = z.number();

const stepSchema = z.object({
  count: z.int(),
  cpuMillis: z.int(),
  memoryMb: z.int(),
  after: z.array(z.int()),
  requiredLabel: z.string(),
  /** Whether the tasks run until the job is cancelled and start again however they end. */
  isLongRunning: z.boolean(),
});
export type SoakStep = z.infer<typeof stepSchema>;

/** One call of a caller; `status` is 0 when no answer came. */
const attemptSchema = z.object({
  process: z.string(),
  sentAt: time,
  endedAt: z.optional(time),
  status: z.optional(z.int()),
});
export type Attempt = z.infer<typeof attemptSchema>;

export const jobRowSchema = z.object({
  id: z.string(),
  payload: z.string(),
  /** Runs of a task that may end `failed`. */
  attempts: z.int(),
  steps: z.array(stepSchema),
  submissions: z.array(attemptSchema),
  acceptedAt: z.optional(time),
  cancelSentAt: z.optional(time),
  cancelledAt: z.optional(time),
  /** Answers to questions for its state; `state` is empty with another status than 200. */
  looks: z.array(z.extend(attemptSchema, { state: z.string() })),
});
export type JobRow = z.infer<typeof jobRowSchema>;

/** A run that a worker started. The id is worker incarnation, task and run. */
export const runRowSchema = z.object({
  id: z.string(),
  task: z.string(),
  job: z.string(),
  step: z.int(),
  run: z.int(),
  worker: z.string(),
  payload: z.string(),
  checkpoint: z.string(),
  startedAt: time,
  /** Whether the worker carried the order out seconds after it was sent. */
  isLate: z.boolean(),
  endedAt: z.optional(time),
  how: z.optional(runEndSchema),
  /** When the end was acknowledged to the worker. */
  notedAt: z.optional(time),
});
export type RunRow = z.infer<typeof runRowSchema>;

/** One incarnation of a worker. */
export const workerRowSchema = z.object({
  id: z.string(),
  agent: z.string(),
  zone: z.string(),
  cpuMillis: z.int(),
  memoryMb: z.int(),
  labels: z.array(z.string()),
  upAt: time,
  drainingAckedAt: z.optional(time),
  /** When its lease was over, so that it ended what it ran. */
  lapses: z.array(time),
  downAt: z.optional(time),
});
export type WorkerRow = z.infer<typeof workerRowSchema>;

export const zoneOutRowSchema = z.object({
  id: z.string(),
  zone: z.string(),
  ackedAt: time,
  backAt: z.optional(time),
});

/** A version of the configuration; each has one route that no other version has. */
export const configurationRowSchema = z.object({
  id: z.string(),
  version: z.int(),
  ackedAt: time,
  replacedAt: z.optional(time),
});

/** A call on the route that only one version has. */
export const probeRowSchema = z.extend(attemptSchema, {
  id: z.string(),
  /** Process and its start, so that restarts are told apart. */
  incarnation: z.string(),
  version: z.int(),
});
export type ProbeRow = z.infer<typeof probeRowSchema>;

/** A caller's call, with its deadline; only calls without an answer are kept. */
export const brokenCallRowSchema = z.object({
  id: z.string(),
  process: z.string(),
  sentAt: time,
  endedAt: time,
  deadlineAt: time,
  message: z.string(),
});

/** A fault while it acts on a process, on its links, or on the store (`store`). */
export const disruptionRowSchema = z.object({
  id: z.string(),
  process: z.string(),
  kind: z.string(),
  isPlanned: z.boolean(),
  from: time,
  to: z.optional(time),
});
export type DisruptionRow = z.infer<typeof disruptionRowSchema>;

/**
 * A fault while it acts on what a worker does. It disturbs no process, so the bounds of the agent hold
 * meanwhile.
 */
export const workerTroubleRowSchema = z.object({
  id: z.string(),
  worker: z.string(),
  kind: z.string(),
  from: time,
  to: z.optional(time),
});

export const exitRowSchema = z.object({
  id: z.string(),
  process: z.string(),
  at: time,
  code: z.string(),
  /** Whether a signal of the soak ended it. */
  isAsked: z.boolean(),
});
