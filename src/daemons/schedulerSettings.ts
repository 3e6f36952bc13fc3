import * as z from 'zod/mini';
import { platformBoundsSchema } from '../model/scheduler/platformBounds.ts';

const addressSchema = z.string().check(z.regex(/^[^\s:]+:\d+$/, 'must be ip:port'));

const commonSettings = {
  id: z.string().check(z.minLength(1)),
  zone: z.string().check(z.minLength(1)),
  /** Address that this instance listens on for the system's other processes. */
  host: z.string().check(z.minLength(1)),
  linkPort: z.int().check(z.minimum(0), z.maximum(65_535)),
  storeAddress: addressSchema,
  /** HTTP address for metrics alone, at a port that does not change; empty for none. */
  metricsAddress: z._default(z.union([addressSchema, z.literal('')]), ''),
};

/** Settings of an entry of the scheduler. */
export const schedulerSettingsSchema = z.object({
  ...commonSettings,
  /** All availability zones of the deployment. */
  zones: z.array(z.string()),
  /** HTTP address for callers. */
  callerAddress: addressSchema,
  /** HTTP address for the balancer's readiness check and for metrics. */
  readyAddress: addressSchema,
  /** The adviser on placement; empty when no queue needs it. */
  adviserAddress: z._default(z.union([addressSchema, z.literal('')]), ''),
  /** The service that lists instances and takes orders for them; empty where there is none. */
  instancesAddress: z._default(z.union([addressSchema, z.literal('')]), ''),
  /** Part of a processor that the entry has, and the processor's speed against a plain core. */
  processor: z._default(z.object({ share: z.number(), speed: z.number() }), { share: 1, speed: 1 }),
  bounds: platformBoundsSchema,
});
export type SchedulerSettings = z.infer<typeof schedulerSettingsSchema>;

/** Settings of an agent beside a worker. */
export const runnerAgentSettingsSchema = z.object({
  ...commonSettings,
  /** HTTP address for the worker's beats and for metrics. */
  beatAddress: addressSchema,
});
export type RunnerAgentSettings = z.infer<typeof runnerAgentSettingsSchema>;

/** Splits `ip:port`. */
export function parseAddress(address: string): { readonly host: string; readonly port: number } {
  const at = address.lastIndexOf(':');
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}
