import * as z from 'zod/mini';
import type { Priority } from './configuration.ts';
import { prioritySchema } from './configuration.ts';

/** The admission queue of one route and priority at this entry. The requests are in an index. */
export const queueRowSchema = z.object({
  id: z.string(),
  route: z.string(),
  service: z.string(),
  priority: prioritySchema,
  weight: z.number(),
  maxQueue: z.int(),
  /** Configuration revision from which `weight` and `maxQueue` were taken. */
  revision: z.int(),
  /** Dispatches divided by the weight; the queue with the lowest value is served next. */
  virtualTime: z.number(),
  /** Smoothed time between dispatches while requests wait, in milliseconds. */
  intervalMs: z.number(),
  lastDispatchMs: z.number(),
  /** Whether requests were left waiting after the last dispatch. */
  isBacklogged: z.boolean(),
});
export type QueueRow = z.infer<typeof queueRowSchema>;

/** Load of one service as this entry sees it. */
export const serviceLoadRowSchema = z.object({
  id: z.string(),
  /** Smoothed time of successful attempts, link included, in milliseconds; 0 before the first. */
  roundTripMs: z.number(),
  /** Virtual time of the queue that was served last. */
  virtualTime: z.number(),
  /** Urgent dispatches in a row while ordinary requests waited. */
  urgentInRow: z.int(),
});
export type ServiceLoadRow = z.infer<typeof serviceLoadRowSchema>;

export function formatQueueId(route: string, priority: Priority): string {
  return `${route}/${priority}`;
}
