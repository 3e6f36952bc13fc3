import * as z from 'zod/mini';
import { resourcesSchema } from './resources.ts';

/** State of one incarnation as its worker reports it. */
export const runPhaseSchema = z.enum(['running', 'suspended', 'stopped', 'finished', 'failed']);
export type RunPhase = z.infer<typeof runPhaseSchema>;

export const runReportSchema = z.object({
  taskId: z.string(),
  incarnation: z.int(),
  phase: runPhaseSchema,
  /** Last checkpoint that is complete. */
  checkpoint: z.optional(z.string()),
  /** Share of full speed that the task is allowed to use. */
  throttle: z.number(),
  /** Why the run failed. */
  message: z.optional(z.string()),
});
export type RunReport = z.infer<typeof runReportSchema>;

/** A usage measurement of one run. It arrives late: `ageMs` is its age at sending. */
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

/** What an agent reports of its worker in each exchange with the shard's owner. */
export const workerReportSchema = z.object({
  workerId: z.string(),
  /** Changes when the worker restarts; its runs are lost then. */
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
  /** The agent is leaving; nothing may start on the worker. */
  leaving: z.boolean(),
  /** The instance stops with its agent; every task has to be checkpointed and stopped. */
  stopsTasks: z._default(z.boolean(), false),
});
export type WorkerReport = z.infer<typeof workerReportSchema>;

/** A worker as the owner of its shard sees it. */
export const workerRowSchema = z.object({
  id: z.string(),
  bootId: z.string(),
  region: z.string(),
  zone: z.string(),
  rack: z.string(),
  capacity: resourcesSchema,
  agentId: z.string(),
  /** Owner's time of the last exchange. */
  lastExchangeMs: z.number(),
  /** Boot and number of the last exchange that was taken; older ones change nothing. */
  agentBootId: z.optional(z.string()),
  lastSeq: z.optional(z.int()),
  /** Boot of the agent before; its late exchanges change nothing. */
  retiredAgentBootId: z.optional(z.string()),
  leaving: z.boolean(),
  /** Consecutive starts that failed here while the same tasks were not known to fail elsewhere. */
  failedStarts: z.int(),
  /** Owner's time until which the worker is set aside; 0 when it is in use. */
  setAsideUntilMs: z.number(),
});
export type WorkerRow = z.infer<typeof workerRowSchema>;

/** Commands from the owner to the agent of a worker. All are idempotent per task and incarnation. */
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
    /** Age of the proof, at sending, that the zone is in service. */
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
  /** The ledger holds the end of the run; the worker may drop its record. */
  z.object({ kind: z.literal('forget'), taskId: z.string(), incarnation: z.int() }),
]);
export type WorkerCommand = z.infer<typeof workerCommandSchema>;
