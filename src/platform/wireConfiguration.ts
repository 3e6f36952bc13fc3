import * as z from 'zod/mini';
import type { OperatorKey } from '../model/scheduler/queueConfiguration.ts';

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Path up to the job id. */
  prefix: z.string(),
  service: z.string(),
  priority: z._default(z.number(), 0),
  attempts: z._default(z.number(), 1),
  stretch: z._default(z.number(), 1),
  /** The latency objective, which a job may take beyond its stretched chain of work. */
  slo_ms: z._default(z.number(), 0),
  advice: z.optional(
    z.object({
      decide_ms: z._default(z.number(), 0),
      /** Time more for each worker in the question. */
      each_ms: z._default(z.number(), 0),
      valid_ms: z.number(),
    }),
  ),
});

/** A service is a pool of machines. */
const serviceSchema = z.object({ name: z.string(), spare: z._default(z.boolean(), false) });

const configurationSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  services: z._default(z.array(serviceSchema), []),
  limits: z._default(z.object({ max_body_bytes: z._default(z.number(), 262_144) }), {
    max_body_bytes: 262_144,
  }),
});

/** Decodes the operator's configuration; undefined when it is none. */
export function decodeConfiguration(value: unknown): OperatorKey | undefined {
  const parsed = z.safeParse(configurationSchema, value);
  if (!parsed.success) return undefined;
  const { version, routes, services, limits } = parsed.data;
  return {
    kind: 'configuration',
    configuration: {
      version,
      maxBodyBytes: limits.max_body_bytes,
      pools: services.map(({ name, spare }) => ({ name, isSpare: spare })),
      queues: routes.map((route) => ({
        name: route.name,
        host: route.host,
        prefix: route.prefix,
        service: route.service,
        priority: route.priority,
        attempts: route.attempts,
        stretch: route.stretch,
        latencyObjectiveMs: route.slo_ms,
        ...(route.advice === undefined
          ? {}
          : {
              advice: {
                decideMs: route.advice.decide_ms,
                perWorkerMs: route.advice.each_ms,
                validMs: route.advice.valid_ms,
              },
            }),
      })),
    },
  };
}

const waveSchema = z.object({
  /** Number of the wave; orders name it. */
  wave: z.int(),
  machines: z.array(z.string()),
  within_s: z.number(),
  /** Most machines that may be down for it at one time. */
  cap: z.int(),
});

/** Decodes the operator's request for a wave of upkeep; undefined when it is none. */
export function decodeWave(value: unknown): OperatorKey | undefined {
  const parsed = z.safeParse(waveSchema, value);
  if (!parsed.success) return undefined;
  const { wave, machines, within_s: withinSeconds, cap } = parsed.data;
  return {
    kind: 'wave',
    wave: {
      number: wave,
      instances: machines,
      withinMs: withinSeconds * 1_000,
      maxDown: cap,
    },
  };
}
