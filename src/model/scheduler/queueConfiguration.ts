import * as z from 'zod/mini';
import { maintenanceWaveSchema } from './maintenanceWave.ts';

/** Timing of the adviser that decides which workers may run the steps of a queue. */
export const advicePolicySchema = z.object({
  /** Base time of one answer, and the additional time for each worker in the request, ms. */
  decideMs: z.number(),
  perWorkerMs: z.number(),
  /** Validity of a ticket, ms. */
  validMs: z.number(),
});
export type AdvicePolicy = z.infer<typeof advicePolicySchema>;

/** Scheduling parameters of a queue, which its jobs keep when the queue is removed. */
export const queueTermsSchema = z.object({
  service: z.string(),
  /** 0 is the highest priority. */
  priority: z.number(),
  /** Number of failed runs of a task after which its job fails. */
  attempts: z.number(),
  /** Objective of a job's duration: this factor times its critical path, plus the latency objective. */
  stretch: z.number(),
  latencyObjectiveMs: z.number(),
  /** Set when starts need a ticket of the adviser. */
  advice: z.optional(advicePolicySchema),
});
export type QueueTerms = z.infer<typeof queueTermsSchema>;

/** A queue: the route of its jobs and their scheduling parameters. */
export const queueSchema = z.extend(queueTermsSchema, {
  name: z.string(),
  host: z.string(),
  /** Path prefix that ends before the job id. */
  prefix: z.string(),
});
export type Queue = z.infer<typeof queueSchema>;

/** A pool of instances that runs the workers of one service. */
export const poolSchema = z.object({
  name: z.string(),
  /** Whether its instances stay off until they are moved to another pool. */
  isSpare: z.boolean(),
});
export type Pool = z.infer<typeof poolSchema>;

/** The operator's configuration as the scheduler uses it. */
export const queueConfigurationSchema = z.object({
  version: z.number(),
  queues: z.array(queueSchema),
  pools: z._default(z.array(poolSchema), []),
  maxBodyBytes: z.number(),
  /** Number of queues and pools that could not be read and are left aside. */
  unreadableItems: z._default(z.int(), 0),
});
export type QueueConfiguration = z.infer<typeof queueConfigurationSchema>;

/** A value of an operator's key, as the store client decodes it. */
export const operatorKeySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('configuration'), configuration: queueConfigurationSchema }),
  z.object({ kind: z.literal('zoneOut'), zone: z.string() }),
  z.object({ kind: z.literal('wave'), wave: maintenanceWaveSchema }),
]);
export type OperatorKey = z.infer<typeof operatorKeySchema>;

/** Keys that the operator writes. */
export const OPERATOR_KEYS = {
  prefix: 'operator/',
  configuration: 'operator/configuration',
  zoneOut: (zone: string): string => `operator/zones-out/${zone}`,
  wavePrefix: 'operator/waves/',
  wave: (id: string): string => `operator/waves/${id}`,
} as const;

/** The queue with the longest prefix that the path begins with, or undefined. */
export function findQueue(
  configuration: QueueConfiguration,
  host: string,
  path: string,
): Queue | undefined {
  let found: Queue | undefined;
  for (const queue of configuration.queues) {
    if (queue.host !== host || !path.startsWith(queue.prefix)) continue;
    if (found === undefined || queue.prefix.length > found.prefix.length) found = queue;
  }
  return found;
}
