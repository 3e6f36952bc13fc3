import * as z from 'zod/mini';
import { addressSchema } from '../address.ts';
import { epochSchema, jobPhaseSchema, submittedJobSchema } from './jobRecord.ts';
import { queueAnswerSchema, queueCallSchema } from './queueCall.ts';

/** How a run ended, as its worker reports it. */
export const runEndSchema = z.enum(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']);
export type RunEnd = z.infer<typeof runEndSchema>;

/** A run that a worker lists as running. */
export const runningRunSchema = z.object({
  task: z.string(),
  run: z.int(),
  checkpoint: z.string(),
  /** Completed share of the work; 100 for a serving task that is serving. */
  percent: z.number(),
  /** Tail latency in ms of a task with a latency target, otherwise thousandths of a core in use. */
  load: z.number(),
});
export type RunningRun = z.infer<typeof runningRunSchema>;

export const endedRunSchema = z.object({
  /** Sequence number of the end within the worker's incarnation. */
  number: z.int(),
  task: z.string(),
  run: z.int(),
  how: runEndSchema,
  checkpoint: z.string(),
});
export type EndedRun = z.infer<typeof endedRunSchema>;

/** One incarnation of a worker with its properties, as its agent reports them. */
export const workerIdentitySchema = z.object({
  id: z.string(),
  /** Wall-clock time of the incarnation's start at the worker, ms; identifies the incarnation. */
  bornMs: z.number(),
  service: z.string(),
  address: addressSchema,
  zone: z.string(),
  labels: z.array(z.string()),
  cpuMillis: z.number(),
  memoryMb: z.number(),
  gpus: z.number(),
  isDraining: z.boolean(),
  /** Minimum time until a draining worker terminates, ms. */
  drainLeftMs: z.number(),
});
export type WorkerIdentity = z.infer<typeof workerIdentitySchema>;

/** A message of an agent to the owner. */
export const agentMessageSchema = z.discriminatedUnion('kind', [
  /** `epoch` is the owner epoch under which the lists were read; 0 when no list has been read. */
  z.object({
    kind: z.literal('report'),
    epoch: epochSchema,
    worker: z.optional(workerIdentitySchema),
    /** Whether the incarnation announced its end and has refused connections since; nothing runs there. */
    isGone: z.optional(z.boolean()),
    /**
     * Longest time, ms, that a lease of this instance's workers may still last, whoever granted it and
     * whichever process passed it on. At 0 all runs have ended that were executed before. Reports of
     * earlier builds lack it.
     */
    leaseLeftMs: z.optional(z.number().check(z.minimum(0))),
    /**
     * A later incarnation that a heartbeat names and that has not answered yet. It may have received
     * calls to the earlier one, but none that this process has sent in the last `knownForMs`. Reports of
     * earlier builds lack it, or that time.
     */
    unconfirmedWorker: z.optional(
      z.object({
        id: z.string(),
        bornMs: z.number(),
        knownForMs: z._default(z.number().check(z.minimum(0)), 0),
      }),
    ),
    /** Sample of the worker's monotonic clock, not younger than the lists. */
    clockMs: z.number(),
    running: z.array(runningRunSchema),
    ended: z.array(endedRunSchema),
    /** Whether the lists are complete, so that a run in neither list is not on the worker. */
    isComplete: z._default(z.boolean(), true),
  }),
  z.object({
    kind: z.literal('startResult'),
    task: z.string(),
    run: z.int(),
    bornMs: z.number(),
    /** Number of the start attempt that was answered; 0 when a stop and the lists prove the outcome for all attempts. */
    attempt: z._default(z.int(), 0),
    /**
     * Outcome of a start or a stop. `started`, or `listed` when the lists sent before contain the
     * run; any other value is the reason why the worker certainly does not run it.
     */
    outcome: z.string(),
  }),
]);
export type AgentMessage = z.infer<typeof agentMessageSchema>;

/** A message of the owner to an agent. */
export const ownerCommandSchema = z.discriminatedUnion('kind', [
  /** First message on a link. An epoch below the highest received one closes the link. */
  z.object({
    kind: z.literal('hello'),
    epoch: epochSchema,
    /** Agent that the owner means; another one has its address from an earlier instance. */
    agent: z.optional(z.string()),
    /** Longest lease that a worker accepts, ms; owners of earlier builds do not send it. */
    longestLeaseMs: z.optional(z.number()),
    /** The worker of this agent as the owner knows it, for an agent that has just started. */
    worker: z.optional(workerIdentitySchema),
  }),
  /** End of the lease on the worker's clock, and the number of the last end of a run that is stored. */
  z.object({
    kind: z.literal('grant'),
    bornMs: z.number(),
    leaseUntilMs: z.number(),
    lastSeen: z.int(),
  }),
  /** Sent when no grant can be sent, so that the agent detects a link that delivers nothing. */
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
    /** Number of the start attempt; an earlier attempt may have been executed. */
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

/** Status update of the owner to the other entries, with the phases of jobs. */
const ownerStatusUpdateSchema = z.object({
  kind: z.literal('news'),
  epoch: epochSchema,
  /** Whether the list contains every job; the receiver then removes the statuses of other jobs. */
  isComplete: z.boolean(),
  jobs: z.array(jobStatusSchema),
  /** Ids of jobs that have been deleted. */
  deleted: z.optional(z.array(z.string())),
  /** Milliseconds since the store last confirmed the ownership. */
  confirmedAgoMs: z.number(),
  /** Processor time that the owner has, in plain cores. */
  cores: z.optional(z.number()),
});
export type OwnerStatusUpdate = z.infer<typeof ownerStatusUpdateSchema>;

/** A question of the owner to its followers whether they can take over. */
const takeoverQuestionSchema = z.object({
  epoch: epochSchema,
  /** When the owner asked, owner's clock ms. */
  askedAt: z.number(),
});
export type TakeoverQuestion = z.infer<typeof takeoverQuestionSchema>;

/** A message of the owner to another entry. */
export const ownerMessageSchema = z.discriminatedUnion('kind', [
  ownerStatusUpdateSchema,
  z.object({ kind: z.literal('answer'), callId: z.string(), answer: queueAnswerSchema }),
  /**
   * The store does not serve the owner; an entry that the store serves may offer to take over. The
   * others return the question, with the owner's clock, ms; earlier builds do not send it.
   */
  z.object({ kind: z.literal('askTakeOver'), question: z.optional(takeoverQuestionSchema) }),
  /**
   * The owner of the epoch counts the entry among its followers. Until `earlierGrantsMs` after this
   * message, owners before it may grant leases. A late copy only makes the entry wait longer.
   */
  z.object({
    kind: z.literal('followed'),
    epoch: epochSchema,
    token: z.number(),
    earlierGrantsMs: z.number().check(z.minimum(0)),
  }),
  /** The owner has released its ownership; its key may be replaced while it has this version. */
  z.object({ kind: z.literal('handOver'), keyVersion: z.int() }),
]);
export type OwnerMessage = z.infer<typeof ownerMessageSchema>;

/** A message of an entry to the owner. Stored data is in the store too, so a lost message only causes a delay. */
export const entryMessageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('jobStored'),
    id: z.string(),
    version: z.int(),
    job: submittedJobSchema,
  }),
  z.object({ kind: z.literal('cancelStored'), id: z.string(), version: z.int() }),
  /** A call that the entry cannot execute because the store does not answer it. */
  z.object({
    kind: z.literal('call'),
    callId: z.string(),
    host: z.string(),
    path: z.string(),
    call: queueCallSchema,
    deadlineMs: z.number(),
  }),
  /** The store has just answered the entry, which could take over the ownership; with its processor time. */
  z.object({ kind: z.literal('canTakeOver'), cores: z._default(z.number(), 0) }),
  /** The store did not answer the entry after the owner's question, so it had not taken over then. */
  z.object({ kind: z.literal('cannotTakeOver'), question: takeoverQuestionSchema }),
  /**
   * The entry follows the owner of the epoch and may claim the ownership later; repeated on the open
   * link. `token` is the entry's clock, ms, which the owner returns. `previous` is the owner before,
   * if it counted the entry among its followers: for `earlierGrantsMs`, owners before that one may
   * grant leases.
   */
  z.object({
    kind: z.literal('follow'),
    entryId: z.string(),
    /** The process of the entry; another one than an earlier owner's at its address proves the end of that. */
    bootId: z.string(),
    address: addressSchema,
    token: z.number(),
    epoch: epochSchema,
    previous: z.optional(
      z.object({ epoch: epochSchema, earlierGrantsMs: z.number().check(z.minimum(0)) }),
    ),
  }),
  /** The entry has more processor time than the owner and could take over the ownership. */
  z.object({ kind: z.literal('offerTakeOver'), cores: z.number() }),
  /** The sender has taken over the ownership and listens at the address. */
  z.object({ kind: z.literal('successor'), address: addressSchema }),
]);
export type EntryMessage = z.infer<typeof entryMessageSchema>;
