import * as z from 'zod/mini';

/** An operator's request for the maintenance of instances. */
export const maintenanceWaveSchema = z.object({
  number: z.int(),
  instances: z.array(z.string()),
  /** Time from the request until the last instance should have begun its maintenance, ms. */
  withinMs: z.number(),
  /** Most instances of the wave that may be down for maintenance at one time. */
  maxDown: z.int().check(z.minimum(1)),
});
export type MaintenanceWave = z.infer<typeof maintenanceWaveSchema>;

/** The state of a wave that the operator can read. */
export const waveStatusSchema = z.object({ state: z.enum(['running', 'completed']) });
export type WaveStatus = z.infer<typeof waveStatusSchema>;

/**
 * Progress of a wave as the owner stores it. An instance is stored as `ordered` before its command may be
 * sent, so that a later owner repeats the command and counts the instance as down.
 */
export const waveProgressSchema = z.object({
  change: z.int(),
  /** Wall-clock time at which an owner first saw the wave, milliseconds since 1970. */
  startedAtMs: z.number(),
  isCompleted: z.boolean(),
  instances: z.record(z.string(), z.enum(['ordered', 'begun', 'gone'])),
});
export type WaveProgress = z.infer<typeof waveProgressSchema>;
