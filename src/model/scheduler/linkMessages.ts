import * as z from 'zod/mini';
import { jobPhaseSchema, submittedJobSchema } from './jobRecord.ts';
import { queueAnswerSchema, queueCallSchema } from './queueCall.ts';

/** Why a run is over, as its worker reports it. */
export const runEndSchema = z.enum(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']);
export type RunEnd = z.infer<typeof runEndSchema>;

/** A run on a worker. */
export const runningRunSchema = z.object({
  task: z.string(),
  run: z.int(),
  checkpoint: z.string(),
  /** Share of the work that is done; 100 for a serving task at work. */
  percent: z.number(),
  /** Tail latency in ms of a task with a latency target, otherwise thousandths of a core in use. */
  load: z.number(),
});
export type RunningRun = z.infer<typeof runningRunSchema>;

export const endedRunSchema = z.object({
  /** Number of the end in the worker's incarnation. */
  number: z.int(),
  task: z.string(),
  run: z.int(),
  how: runEndSchema,
  checkpoint: z.string(),
});
export type EndedRun = z.infer<typeof endedRunSchema>;

/** One incarnation of a worker, as its agent knows it. */
export const workerIdentitySchema = z.object({
  id: z.string(),
  /** Wall-clock time of the incarnation's start at the worker, ms; tells incarnations apart. */
  bornMs: z.number(),
  service: z.string(),
  address: z.string(),
  zone: z.string(),
  labels: z.array(z.string()),
  cpuMillis: z.number(),
  memoryMb: z.number(),
  gpus: z.number(),
  isDraining: z.boolean(),
  /** Least time until the worker ends while it drains, ms. */
  drainLeftMs: z.number(),
});
export type WorkerIdentity = z.infer<typeof workerIdentitySchema>;

/** What an agent tells the owner. */
export const agentMessageSchema = z.discriminatedUnion('kind', [
  /** `epoch` is the fence under which the lists were read; 0 when none was read yet. */
  z.object({
    kind: z.literal('report'),
    epoch: z.int(),
    worker: z.optional(workerIdentitySchema),
    /** Whether the incarnation said that it ends and refuses connections since; nothing runs there. */
    isGone: z.optional(z.boolean()),
    /** Worker's monotonic clock, a sample not younger than the lists. */
    clockMs: z.number(),
    running: z.array(runningRunSchema),
    ended: z.array(endedRunSchema),
    /** Whether a run that is in neither list is not on the worker. */
    isComplete: z._default(z.boolean(), true),
  }),
  z.object({
    kind: z.literal('startResult'),
    task: z.string(),
    run: z.int(),
    bornMs: z.number(),
    /** Number of the start that was answered; 0 when a stop and the lists prove it for all of them. */
    attempt: z._default(z.int(), 0),
    /**
     * What became of a start or a stop. `started`, or `listed` when the lists sent before name the
     * run; anything else is the reason why the worker certainly does not run it.
     */
    outcome: z.string(),
  }),
]);
export type AgentMessage = z.infer<typeof agentMessageSchema>;

/** What the owner tells an agent. */
export const ownerCommandSchema = z.discriminatedUnion('kind', [
  /** First message on a link. A lower epoch than the highest seen closes the link. */
  z.object({
    kind: z.literal('hello'),
    epoch: z.int(),
    /** The worker that the owner knows beside this agent, for an agent that has just started. */
    worker: z.optional(workerIdentitySchema),
  }),
  /** Lease end on the worker's clock, and the last end that is stored. */
  z.object({
    kind: z.literal('grant'),
    bornMs: z.number(),
    leaseUntilMs: z.number(),
    lastSeen: z.int(),
  }),
  /** Sent when no grant can be sent, so that the agent notices a link that carries nothing to it. */
  z.object({ kind: z.literal('heartbeat') }),
  z.object({
    kind: z.literal('start'),
    bornMs: z.number(),
    task: z.string(),
    run: z.int(),
    payload: z.string(),
    checkpoint: z.string(),
    ticket: z.string(),
    leaseUntilMs: z.number(),
    /** Number of the sending; an earlier one may have been carried out. */
    attempt: z._default(z.int(), 1),
  }),
  z.object({ kind: z.literal('stop'), bornMs: z.number(), task: z.string(), run: z.int() }),
  z.object({
    kind: z.literal('pace'),
    bornMs: z.number(),
    task: z.string(),
    run: z.int(),
    percent: z.number(),
  }),
]);
export type OwnerCommand = z.infer<typeof ownerCommandSchema>;

const jobStatusSchema = z.object({ id: z.string(), queue: z.string(), phase: jobPhaseSchema });
export type JobStatus = z.infer<typeof jobStatusSchema>;

/** Phases of jobs, from the owner to the other entries. */
const ownerStatusUpdateSchema = z.object({
  kind: z.literal('news'),
  epoch: z.int(),
  /** Whether the list holds every job; the receiver then drops the ones it does not name. */
  isComplete: z.boolean(),
  jobs: z.array(jobStatusSchema),
  /** Milliseconds since the store last confirmed the ownership. */
  confirmedAgoMs: z.number(),
  /** Processor time that the owner has, in plain cores. */
  cores: z.optional(z.number()),
});
export type OwnerStatusUpdate = z.infer<typeof ownerStatusUpdateSchema>;

/** What the owner tells the other entries. */
export const ownerMessageSchema = z.discriminatedUnion('kind', [
  ownerStatusUpdateSchema,
  z.object({ kind: z.literal('answer'), callId: z.string(), answer: queueAnswerSchema }),
  /** The store turns the owner away; an entry whom it serves may answer that. */
  z.object({ kind: z.literal('askTakeOver') }),
  /** The owner has given its duty up; its key may be replaced while it has this version. */
  z.object({ kind: z.literal('handOver'), keyVersion: z.int() }),
]);
export type OwnerMessage = z.infer<typeof ownerMessageSchema>;

/** What an entry tells the owner. What was stored is in the store too; a lost message costs only time. */
export const entryMessageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('jobStored'),
    id: z.string(),
    version: z.int(),
    job: submittedJobSchema,
  }),
  z.object({ kind: z.literal('cancelStored'), id: z.string(), version: z.int() }),
  /** A call that the entry cannot carry out because the store does not answer it. */
  z.object({
    kind: z.literal('call'),
    callId: z.string(),
    host: z.string(),
    path: z.string(),
    call: queueCallSchema,
    deadlineMs: z.number(),
  }),
  /** The store has just answered the entry; it could take the duty over with its processor time. */
  z.object({ kind: z.literal('canTakeOver'), cores: z._default(z.number(), 0) }),
  /** The entry has a larger processor than the owner and could take the duty over. */
  z.object({ kind: z.literal('offerTakeOver'), cores: z.number() }),
  /** The sender has taken the duty over and listens at the address. */
  z.object({ kind: z.literal('successor'), address: z.string() }),
]);
export type EntryMessage = z.infer<typeof entryMessageSchema>;
