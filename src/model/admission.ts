import * as z from 'zod/mini';
import type { Priority } from './configuration.ts';
import { prioritySchema } from './configuration.ts';

/**
 * Admission queue of one route and priority at this entry. Its requests are found by the index
 * `queuedRequests`.
 */
export const queueRowSchema = z.object({
  id: z.string(),
  route: z.string(),
  service: z.string(),
  priority: prioritySchema,
  weight: z.number(),
  maxQueue: z.int(),
  /** Configuration revision of `weight` and `maxQueue`. */
  revision: z.int(),
  /** Dispatches divided by the weight; the queue with the lowest value is served next. */
  virtualTime: z.number(),
  /** Smoothed interval between dispatches while requests wait, in milliseconds. */
  intervalMs: z.number(),
  lastDispatchMs: z.number(),
  /** Whether requests were still waiting after the last dispatch. */
  isBacklogged: z.boolean(),
});
export type QueueRow = z.infer<typeof queueRowSchema>;

/** Load of one service as measured by this entry. */
export const serviceLoadRowSchema = z.object({
  id: z.string(),
  /** Smoothed round-trip time of successful attempts, in milliseconds; 0 before the first. */
  roundTripMs: z.number(),
  /** Highest virtual time at which a queue of the service was served. */
  virtualTime: z.number(),
  /** Consecutive urgent dispatches while ordinary requests waited. */
  urgentInRow: z.int(),
});
export type ServiceLoadRow = z.infer<typeof serviceLoadRowSchema>;

export function formatQueueId(route: string, priority: Priority): string {
  return `${route}/${priority}`;
}
