import * as z from 'zod/mini';
import { resourcesSchema } from './resources.ts';

/** State of one incarnation in the worker's report. */
export const runPhaseSchema = z.enum(['running', 'suspended', 'stopped', 'finished', 'failed']);
export type RunPhase = z.infer<typeof runPhaseSchema>;

export const runReportSchema = z.object({
  taskId: z.string(),
  incarnation: z.int(),
  phase: runPhaseSchema,
  /** Last complete checkpoint. */
  checkpoint: z.optional(z.string()),
  /** Share of full speed that the task may use. */
  throttle: z.number(),
  /** Why the run failed. */
  message: z.optional(z.string()),
});
export type RunReport = z.infer<typeof runReportSchema>;

/** A usage measurement of one run. It arrives late; `ageMs` is its age at sending. */
export const usageSampleSchema = z.object({
  taskId: z.string(),
  incarnation: z.int(),
  ageMs: z.number(),
  cores: z.number(),
  memoryMb: z.number(),
  /** Observed time per unit of work relative to running alone; 1 means no interference. */
  slowdown: z.number(),
});
export type UsageSample = z.infer<typeof usageSampleSchema>;

/** Report of an agent about its worker in each exchange with the owner of the shard. */
export const workerReportSchema = z.object({
  workerId: z.string(),
  /** Changes when the worker restarts, which loses its runs. */
  workerBootId: z.string(),
  region: z.string(),
  zone: z.string(),
  rack: z.string(),
  capacity: resourcesSchema,
  runs: z.array(runReportSchema),
  samples: z.array(usageSampleSchema),
  /** Start commands that the agent rejected since the last exchange. */
  rejectedStarts: z.array(
    z.object({
      taskId: z.string(),
      incarnation: z.int(),
      reason: z.enum(['stale_proof', 'stale_epoch', 'no_room', 'shutting_down']),
    }),
  ),
  /** The agent is leaving, so no task may start on the worker. */
  leaving: z.boolean(),
  /** The instance stops together with its agent, so every task is checkpointed and stopped. */
  stopsTasks: z._default(z.boolean(), false),
});
export type WorkerReport = z.infer<typeof workerReportSchema>;

/** State of a worker at the owner of its shard. */
export const workerRowSchema = z.object({
  id: z.string(),
  bootId: z.string(),
  region: z.string(),
  zone: z.string(),
  rack: z.string(),
  capacity: resourcesSchema,
  agentId: z.string(),
  /** Time of the last exchange on the owner's clock. */
  lastExchangeMs: z.number(),
  /** Agent boot and sequence number of the last accepted exchange; older exchanges are ignored. */
  agentBootId: z.optional(z.string()),
  lastSeq: z.optional(z.int()),
  /** Previous boot of the agent; its late exchanges are ignored. */
  retiredAgentBootId: z.optional(z.string()),
  leaving: z.boolean(),
  /** Consecutive failed starts of tasks that are not known to have failed on other workers. */
  failedStarts: z.int(),
  /** End of the worker's quarantine on the owner's clock; 0 without a quarantine. */
  setAsideUntilMs: z.number(),
});
export type WorkerRow = z.infer<typeof workerRowSchema>;

/**
 * Commands from the owner to the agent of a worker. Each is idempotent per task and incarnation.
 */
export const workerCommandSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('start'),
    taskId: z.string(),
    incarnation: z.int(),
    taskKind: z.string(),
    service: z.optional(z.string()),
    demand: resourcesSchema,
    command: z.array(z.string()),
    checkpoint: z.optional(z.string()),
    /** Age, at sending, of the proof that the zone is in service. */
    proofAgeMs: z.number(),
  }),
  z.object({
    kind: z.literal('stop'),
    taskId: z.string(),
    incarnation: z.int(),
    withCheckpoint: z.boolean(),
  }),
  z.object({
    kind: z.literal('throttle'),
    taskId: z.string(),
    incarnation: z.int(),
    share: z.number(),
  }),
  z.object({ kind: z.literal('checkpoint'), taskId: z.string(), incarnation: z.int() }),
  /** The ledger has recorded the end of the run, so the worker may delete its record. */
  z.object({ kind: z.literal('forget'), taskId: z.string(), incarnation: z.int() }),
]);
export type WorkerCommand = z.infer<typeof workerCommandSchema>;
