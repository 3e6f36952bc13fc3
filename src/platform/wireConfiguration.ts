import * as z from 'zod/mini';
import type { OperatorKey } from '../model/scheduler/queueConfiguration.ts';

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  /** Path before the job id. */
  prefix: z.string(),
  service: z.string(),
  priority: z._default(z.number(), 0),
  attempts: z._default(z.number(), 1),
  stretch: z._default(z.number(), 1),
  /** Latency objective: time allowed to a job beyond its critical path times `stretch`. */
  slo_ms: z._default(z.number(), 0),
  advice: z.optional(
    z.object({
      decide_ms: z._default(z.number(), 0),
      /** Additional time for each worker in the request. */
      each_ms: z._default(z.number(), 0),
      valid_ms: z.number(),
    }),
  ),
});

/** A service names a pool of machines. */
const serviceSchema = z.object({ name: z.string(), spare: z._default(z.boolean(), false) });

const configurationSchema = z.object({
  version: z.number(),
  routes: z.array(z.unknown()),
  services: z._default(z.array(z.unknown()), []),
  limits: z._default(z.object({ max_body_bytes: z._default(z.number(), 262_144) }), {
    max_body_bytes: 262_144,
  }),
});

/** Reads the items that match the schema; others are left aside and change nothing for these. */
function decodeItems<Schema extends z.ZodMiniType>(
  schema: Schema,
  items: readonly unknown[],
): z.output<Schema>[] {
  return items.flatMap((item) => {
    const parsed = z.safeParse(schema, item);
    return parsed.success ? [parsed.data] : [];
  });
}

/** Decodes the operator's configuration; returns undefined if it is invalid. */
export function decodeConfiguration(value: unknown): OperatorKey | undefined {
  const parsed = z.safeParse(configurationSchema, value);
  if (!parsed.success) return undefined;
  const { version, limits } = parsed.data;
  const routes = decodeItems(routeSchema, parsed.data.routes);
  const services = decodeItems(serviceSchema, parsed.data.services);
  const itemCount = parsed.data.routes.length + parsed.data.services.length;
  return {
    kind: 'configuration',
    configuration: {
      version,
      maxBodyBytes: limits.max_body_bytes,
      unreadableItems: itemCount - routes.length - services.length,
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
  /** Number of the wave, which the maintenance commands carry. */
  wave: z.int(),
  machines: z.array(z.string()),
  within_s: z.number(),
  /** Maximum number of machines that may be down for the wave at the same time. */
  cap: z.int(),
});

/** Decodes the operator's request for a maintenance wave; returns undefined if it is invalid. */
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
