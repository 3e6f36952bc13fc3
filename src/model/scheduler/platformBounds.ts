import * as z from 'zod/mini';

/** Times that the platform promises or asks for; from the settings. */
export const platformBoundsSchema = z.object({
  /** Longest lease of runs on a worker, ms. */
  holdMaxMs: z.number(),
  /** Longest time a stopped run takes to end, ms. */
  stopMs: z.number(),
  /** Shortest lease that the store grants, ms. */
  storeLeaseMinMs: z.number(),
  /** Time between SIGTERM and SIGKILL, s. */
  stopGraceSeconds: z.number(),
  /** Longest time a serving task may be harmed by tasks that fill, ms. */
  harmMs: z.number(),
  /** Time until a new pace is in force at a worker, ms. */
  paceMs: z.number(),
  /** Slowdown of a task away from its data, a factor. */
  farFactor: z.number(),
  /** How early an occurrence may start, ms. */
  earlyMs: z.number(),
  /** How long the state of a final job stays readable, s. */
  statusSeconds: z.number(),
  /** Time that an instance is down for maintenance, ms. */
  maintenanceMs: z._default(z.number(), 2_000),
  /** Time that a new owner waits before it orders instances, ms; orders of the one before are over then. */
  holderLeaseMs: z._default(z.number(), 3_000),
});
export type PlatformBounds = z.infer<typeof platformBoundsSchema>;
