import * as z from 'zod/mini';
import { resourcesSchema } from './resources.ts';

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;

/** A name by which the tables refer to each other: lower case, digits, dot, dash and underscore. */
export const nameSchema = z.string().check(z.regex(NAME_PATTERN, 'must be a lower-case name'));

export const HTTP_METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const;
export const httpMethodSchema = z.enum(HTTP_METHODS);
export type HttpMethod = z.infer<typeof httpMethodSchema>;

export const prioritySchema = z.enum(['urgent', 'ordinary']);
export type Priority = z.infer<typeof prioritySchema>;

/** A row of the routes table, which maps requests to a service. */
export const routeSchema = z.strictObject({
  name: nameSchema,
  /** Host names that match; an empty list matches every host. */
  hosts: z._default(z.array(z.string().check(z.minLength(1))), []),
  pathPrefix: z.string().check(z.regex(/^\//, 'must begin with /')),
  /** Methods that match; an empty list matches every method. */
  methods: z._default(z.array(httpMethodSchema), []),
  service: nameSchema,
  /** Pool that runs the service. */
  pool: nameSchema,
  /** Whether a request can safely run more than once. */
  idempotent: z.boolean(),
  priority: z._default(prioritySchema, 'ordinary'),
  /** Time limit of the whole request at the entry, in milliseconds. */
  deadlineMs: z._default(z.int().check(z.minimum(10), z.maximum(600_000)), 10_000),
  maxAttempts: z._default(z.int().check(z.minimum(1), z.maximum(10)), 3),
  maxRequestBytes: z._default(z.int().check(z.minimum(0), z.maximum(8_388_608)), 1_048_576),
  maxResponseBytes: z._default(z.int().check(z.minimum(0), z.maximum(8_388_608)), 1_048_576),
  /** Maximum number of waiting requests per entry. */
  maxQueue: z._default(z.int().check(z.minimum(0), z.maximum(100_000)), 256),
  /** Relative share of an entry's capacity that the route receives under contention. */
  weight: z._default(z.number().check(z.positive()), 1),
});
export type RouteConfig = z.infer<typeof routeSchema>;

export const poolServiceSchema = z.strictObject({
  name: nameSchema,
  /** Target number of runners; 0 when runners are started outside the scheduler. */
  replicas: z._default(z.int().check(z.minimum(0), z.maximum(10_000)), 0),
  demand: z.optional(resourcesSchema),
  /** Key of the interference model, which treats tasks of the same kind alike. */
  taskKind: z.optional(nameSchema),
  /** Command that the worker runs; passed through without interpretation. */
  command: z._default(z.array(z.string()), []),
});
export type PoolServiceConfig = z.infer<typeof poolServiceSchema>;

export const quotaSchema = z.strictObject({ team: nameSchema, limit: resourcesSchema });
export type QuotaConfig = z.infer<typeof quotaSchema>;

/** A row of the pools table, which defines where and how work can run. */
export const poolSchema = z.strictObject({
  name: nameSchema,
  region: nameSchema,
  /** Availability zones in which the pool's work can run. */
  zones: z.array(nameSchema).check(z.minLength(1)),
  /** Pools with the same shard share one ledger and one owner. Defaults to the region. */
  shard: z.optional(nameSchema),
  workClass: z.enum(['latency-critical', 'batch']),
  services: z._default(z.array(poolServiceSchema), []),
  quotas: z._default(z.array(quotaSchema), []),
  /** Failure domain across which replicas and the tasks of a job are spread. */
  spread: z._default(z.enum(['none', 'rack', 'zone']), 'none'),
  /** Maximum share of a worker's cores that the pool's tasks can use together. */
  maxWorkerShare: z._default(z.number().check(z.positive(), z.maximum(1)), 1),
});
export type PoolConfig = z.infer<typeof poolSchema>;

/** Both tables as operators write them. */
export const tablesSchema = z.strictObject({
  routes: z.array(routeSchema),
  pools: z.array(poolSchema),
});
export type Tables = z.infer<typeof tablesSchema>;

/** The whole configuration, stored under one key. */
export const configurationSchema = z.strictObject({
  /** Increases by one with each accepted change. */
  revision: z.int().check(z.nonnegative()),
  /** Identifies the write, so that its author can recognize it after a lost reply. */
  token: z.string(),
  routes: z.array(routeSchema),
  pools: z.array(poolSchema),
  /** Availability zones that operators have taken out of service. */
  zonesOut: z.array(nameSchema),
});
export type Configuration = z.infer<typeof configurationSchema>;

export const EMPTY_CONFIGURATION: Configuration = {
  revision: 0,
  token: '',
  routes: [],
  pools: [],
  zonesOut: [],
};

/** Returns the shard that the work of a pool belongs to. */
export function getShardName(pool: PoolConfig): string {
  return pool.shard ?? pool.region;
}
