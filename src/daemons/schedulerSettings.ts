import * as z from 'zod/mini';
import { addressSchema, listenAddressSchema } from '../model/address.ts';
import { platformBoundsSchema } from '../model/scheduler/platformBounds.ts';

const commonSettings = {
  id: z.string().check(z.minLength(1)),
  zone: z.string().check(z.minLength(1)),
  /** Address on which this process accepts connections of the system's other processes. */
  host: z.string().check(z.minLength(1)),
  linkPort: z.int().check(z.minimum(0), z.maximum(65_535)),
  storeAddress: addressSchema,
  /** Separate HTTP address for metrics with a fixed port; empty for none. */
  metricsAddress: z._default(z.union([listenAddressSchema, z.literal('')]), ''),
};

/** Settings of an entry of the scheduler. */
export const schedulerSettingsSchema = z.object({
  ...commonSettings,
  /** All availability zones of the deployment. */
  zones: z.array(z.string()),
  /** HTTP address for callers. */
  callerAddress: listenAddressSchema,
  /** HTTP address for the balancer's readiness check and for metrics. */
  readyAddress: listenAddressSchema,
  /** Address of the placement adviser; empty when no queue requires it. */
  adviserAddress: z._default(z.union([addressSchema, z.literal('')]), ''),
  /** Address of the service that lists instances and accepts commands for them; empty for none. */
  instancesAddress: z._default(z.union([addressSchema, z.literal('')]), ''),
  /** Share of a processor that the entry has, and its speed relative to a standard core. */
  processor: z._default(z.object({ share: z.number(), speed: z.number() }), { share: 1, speed: 1 }),
  bounds: platformBoundsSchema,
});
export type SchedulerSettings = z.infer<typeof schedulerSettingsSchema>;

/** Settings of an agent beside a worker. */
export const runnerAgentSettingsSchema = z.object({
  ...commonSettings,
  /** HTTP address for the worker's heartbeats and for metrics. */
  beatAddress: listenAddressSchema,
  /** Address of the worker on this instance; heartbeats with another one are ignored. Empty for any. */
  workerAddress: z._default(z.union([addressSchema, z.literal('')]), ''),
});
export type RunnerAgentSettings = z.infer<typeof runnerAgentSettingsSchema>;
