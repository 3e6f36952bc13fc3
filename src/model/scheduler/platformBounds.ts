import * as z from 'zod/mini';

/** Time bounds that the platform guarantees or requires, read from the settings. */
export const platformBoundsSchema = z.object({
  /** Longest lease of runs on a worker, ms. */
  holdMaxMs: z.number(),
  /** Longest time from the stop of a run to its end, ms. */
  stopMs: z.number(),
  /** Shortest lease that the store grants, ms. */
  storeLeaseMinMs: z.number(),
  /** Time between SIGTERM and SIGKILL, s. */
  stopGraceSeconds: z.number(),
  /** Longest time that best-effort tasks may keep a serving task over its latency target, ms. */
  harmMs: z.number(),
  /** Time until a worker applies a new pace, ms. */
  paceMs: z.number(),
  /** Slowdown factor of a task that runs away from its data. */
  farFactor: z.number(),
  /** Time by which an occurrence may start early, ms. */
  earlyMs: z.number(),
  /** Time for which the state of a final job stays readable, s. */
  statusSeconds: z.number(),
  /** Time that an instance is down for maintenance, ms. */
  maintenanceMs: z._default(z.number(), 2_000),
  /** Time that a new owner waits before it sends commands for instances, ms; commands of the previous
   * owner can no longer be executed then. */
  holderLeaseMs: z._default(z.number(), 3_000),
});
export type PlatformBounds = z.infer<typeof platformBoundsSchema>;
