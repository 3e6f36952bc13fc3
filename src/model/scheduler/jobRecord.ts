import * as z from 'zod/mini';
import { addressSchema } from '../address.ts';
import { jobSpecSchema } from './jobSpec.ts';
import { queueTermsSchema } from './queueConfiguration.ts';

export const jobPhaseSchema = z.enum(['pending', 'running', 'completed', 'failed', 'cancelled']);
export type JobPhase = z.infer<typeof jobPhaseSchema>;

export function isFinalPhase(phase: JobPhase): boolean {
  return phase === 'completed' || phase === 'failed' || phase === 'cancelled';
}

/** Callers choose the id of a job; the names of its tasks begin with it. */
export const jobIdSchema = z.string().check(z.regex(/^[0-9a-f]{16}$/i, 'must be 16 hex digits'));

/** A job as the accepting entry stores it; immutable. */
export const submittedJobSchema = z.object({
  queue: z.string(),
  service: z.string(),
  spec: jobSpecSchema,
  /** Wall-clock time of acceptance at the entry, milliseconds since 1970. */
  acceptedAtMs: z.number(),
  /** Parameters of the queue at acceptance; absent in jobs that an earlier build accepted. */
  terms: z.optional(queueTermsSchema),
});
export type SubmittedJob = z.infer<typeof submittedJobSchema>;

/** A run that may be on a worker. */
export const openRunSchema = z.object({
  run: z.int(),
  worker: z.string(),
  /**
   * Longest time after the write that the worker may hold a lease, ms, where that is longer than the
   * leases of the owner: a call to its previous incarnation may have granted one on the clock of that.
   */
  leaseMs: z.optional(z.number().check(z.minimum(0))),
});
export type OpenRun = z.infer<typeof openRunSchema>;

/** Progress of one task that has been assigned at least once. */
export const taskRecordSchema = z.object({
  lastRun: z.int(),
  failures: z.optional(z.int()),
  /** Latest failed run of a gang, on its first member. */
  failedRun: z.optional(z.int()),
  done: z.optional(z.boolean()),
  checkpoint: z.optional(z.string()),
  /** Ids of the latest few workers on which a run of the task failed or stalled. */
  avoided: z.optional(z.array(z.string())),
  open: z.optional(z.array(openRunSchema)),
});
export type TaskRecord = z.infer<typeof taskRecordSchema>;

/**
 * Version of the stored progress. Format 1, of records without the field, has the failed runs of a
 * gang on each member that failed. Format 2 has them on the first member, once for each run; an
 * owner that knows only format 1 adds up the members and gets the same number.
 */
export const PROGRESS_FORMAT = 2;

/** Progress of a job as its owner stores it. Task names are relative to the job: `K.STEP.INDEX`. */
export const jobProgressSchema = z.object({
  format: z.optional(z.int()),
  phase: jobPhaseSchema,
  /** Parameters of the queue in the last configuration with it, if they differ from the accepted ones. */
  terms: z.optional(queueTermsSchema),
  /** Epoch of the owner that wrote the record, and the number of its change; they identify the owner's own writes. */
  epoch: z.int(),
  change: z.int(),
  /** Wall-clock time at which the job became final, milliseconds since 1970. */
  endedAtMs: z.optional(z.number()),
  tasks: z.record(z.string(), taskRecordSchema),
});
export type JobProgress = z.infer<typeof jobProgressSchema>;

/** Largest epoch: fences have 20 bits for it, which last for years of takeovers. */
export const MAX_EPOCH = 2 ** 20 - 1;
export const epochSchema = z.int().check(z.minimum(0), z.maximum(MAX_EPOCH));

/** The entry that owns the scheduling of all jobs. */
export const ownerRecordSchema = z.object({
  entryId: z.string(),
  bootId: z.string(),
  address: addressSchema,
  epoch: epochSchema,
  /** Store lease that the record is attached to. */
  leaseId: z.optional(z.string()),
});
export type OwnerRecord = z.infer<typeof ownerRecordSchema>;

/** The process that claimed the ownership last; unlike the owner record it is not attached to a lease. */
export const lastOwnerSchema = z.object({
  epoch: epochSchema,
  entryId: z.string(),
  bootId: z.string(),
  address: addressSchema,
  /** How long after this record was written the owners before it may grant leases, ms. */
  earlierGrantsMs: z.number().check(z.minimum(0)),
  /**
   * Whether the owner may grant leases while the store does not answer it. Earlier builds leave it
   * out and always may.
   */
  grantsInOutage: z._default(z.boolean(), true),
});
export type LastOwner = z.infer<typeof lastOwnerSchema>;

/** Ids of agents become part of worker keys, `AGENT|WORKER|BORN`, and of the store's keys. */
export const agentIdSchema = z
  .string()
  .check(z.regex(/^[\x21-\x7b\x7d\x7e]{1,150}$/, 'must be printable ASCII without "|"'));

/** Address of an agent, and the incarnation of its worker that has certainly ended. */
export const agentRecordSchema = z.object({
  address: addressSchema,
  zone: z.string(),
  /** Stored because the agent may stop with its instance before the owner has stored the release of the runs. */
  goneWorker: z.optional(z.object({ id: z.string(), bornMs: z.number() })),
});
export type AgentRecord = z.infer<typeof agentRecordSchema>;

/** Keys in the platform's store. */
export const STORE_KEYS = {
  owner: 'owner/current',
  epoch: 'owner-epoch',
  /** Written with each claim; earlier builds do not write it. */
  lastOwner: 'owner-last',
  intake: 'in/',
  jobPrefix: 'in/j/',
  job: (id: string): string => `in/j/${id}`,
  cancelPrefix: 'in/c/',
  cancel: (id: string): string => `in/c/${id}`,
  agentPrefix: 'in/a/',
  progressPrefix: 'state/',
  progress: (id: string): string => `state/${id}`,
  agent: (id: string): string => `in/a/${id}`,
  transferPrefix: 'transfer/',
  transfer: (instance: string): string => `transfer/${instance}`,
  waveProgress: (wave: string): string => `wave/${wave}`,
  /** What the operator reads of a wave. */
  waveStatusPrefix: 'wave-status/',
  waveStatus: (wave: string): string => `wave-status/${wave}`,
} as const;
