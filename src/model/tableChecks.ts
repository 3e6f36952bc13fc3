import type { Either } from 'purify-ts/Either';
import { Left, Right } from 'purify-ts/Either';
import * as z from 'zod/mini';
import type { ValueFault } from '../base/common/parse.ts';
import { parseValue } from '../base/common/parse.ts';
import type { PoolConfig, RouteConfig, Tables } from './configuration.ts';
import { poolSchema, routeSchema, tablesSchema } from './configuration.ts';

/** A valid row and its index in the operator's table. */
interface IndexedRow<Row> {
  readonly index: number;
  readonly row: Row;
}

function listValidRows<Schema extends z.ZodMiniType>(
  schema: Schema,
  value: unknown,
): IndexedRow<z.output<Schema>>[] {
  if (!Array.isArray(value)) return [];
  return value.flatMap((item: unknown, index) => {
    const result = z.safeParse(schema, item);
    return result.success ? [{ index, row: result.data }] : [];
  });
}

function listDuplicateFaults(names: readonly { path: string; name: string }[]): ValueFault[] {
  const firstPaths = new Map<string, string>();
  return names.flatMap(({ path, name }) => {
    const first = firstPaths.get(name);
    if (first === undefined) firstPaths.set(name, path);
    return first === undefined
      ? []
      : [{ path, message: `${name} is already used at ${first}; names must be unique` }];
  });
}

function hasCommonItem(a: readonly string[], b: readonly string[]): boolean {
  if (a.length === 0 || b.length === 0) return a.length === b.length;
  return a.some((item) => b.includes(item));
}

function hasOverlappingMatch(a: RouteConfig, b: RouteConfig): boolean {
  return (
    a.pathPrefix === b.pathPrefix &&
    hasCommonItem(a.hosts, b.hosts) &&
    hasCommonItem(a.methods, b.methods)
  );
}

function listRouteFaults(
  routes: readonly IndexedRow<RouteConfig>[],
  pools: readonly IndexedRow<PoolConfig>[],
): ValueFault[] {
  return routes.flatMap(({ index, row }, position) => {
    const faults: ValueFault[] = [];
    const path = `routes[${index}]`;
    const pool = pools.find((candidate) => candidate.row.name === row.pool);
    if (pool !== undefined && !pool.row.services.some((service) => service.name === row.service))
      faults.push({
        path: `${path}.service`,
        message: `service ${row.service} is not in pool ${row.pool}`,
      });
    const duplicate = routes
      .slice(0, position)
      .find((other) => hasOverlappingMatch(other.row, row));
    if (duplicate !== undefined)
      faults.push({
        path: `${path}.pathPrefix`,
        message: `routes[${duplicate.index}] (${duplicate.row.name}) matches the same requests`,
      });
    return faults;
  });
}

function listPoolFaults({ index, row }: IndexedRow<PoolConfig>): ValueFault[] {
  const path = `pools[${index}]`;
  const demandFaults = row.services.flatMap((service, position) =>
    service.replicas > 0 && service.demand === undefined
      ? [
          {
            path: `${path}.services[${position}].demand`,
            message: `service ${service.name} has replicas, so it requires a demand`,
          },
        ]
      : [],
  );
  const duplicates = [
    row.services.map((service, i) => ({ path: `${path}.services[${i}].name`, name: service.name })),
    row.quotas.map((quota, i) => ({ path: `${path}.quotas[${i}].team`, name: quota.team })),
    row.zones.map((zone, i) => ({ path: `${path}.zones[${i}]`, name: zone })),
  ];
  return [...demandFaults, ...duplicates.flatMap(listDuplicateFaults)];
}

/** Lists zones that pools of different regions share; a zone belongs to one region. */
function listZoneFaults(pools: readonly IndexedRow<PoolConfig>[]): ValueFault[] {
  const regions = new Map<string, string>();
  return pools.flatMap(({ index, row }) =>
    row.zones.flatMap((zone, position) => {
      const region = regions.get(zone) ?? row.region;
      regions.set(zone, region);
      return region === row.region
        ? []
        : [
            {
              path: `pools[${index}].zones[${position}]`,
              message: `zone ${zone} is in region ${region}, but the pool is in region ${row.region}`,
            },
          ];
    }),
  );
}

/** Fields that rows refer to each other by; also parsed from rows that have other faults. */
const referenceSchema = z.object({
  name: z.optional(z.string()),
  pool: z.optional(z.string()),
});

function listReferences(value: unknown): IndexedRow<z.infer<typeof referenceSchema>>[] {
  return listValidRows(referenceSchema, value);
}

function listNameFaults(table: string, value: unknown): ValueFault[] {
  const names = listReferences(value).flatMap(({ index, row }) =>
    row.name === undefined ? [] : [{ path: `${table}[${index}].name`, name: row.name }],
  );
  return listDuplicateFaults(names);
}

function listUnknownPoolFaults(routes: unknown, pools: unknown): ValueFault[] {
  const names = new Set(listReferences(pools).map(({ row }) => row.name));
  return listReferences(routes).flatMap(({ index, row }) =>
    row.pool === undefined || names.has(row.pool)
      ? []
      : [{ path: `routes[${index}].pool`, message: `pool ${row.pool} is not in the pools table` }],
  );
}

function listCrossRowFaults(value: unknown): ValueFault[] {
  if (typeof value !== 'object' || value === null) return [];
  const tables = value as { routes?: unknown; pools?: unknown };
  const routes = listValidRows(routeSchema, tables.routes);
  const pools = listValidRows(poolSchema, tables.pools);
  return [
    ...listNameFaults('routes', tables.routes),
    ...listNameFaults('pools', tables.pools),
    ...listUnknownPoolFaults(tables.routes, tables.pools),
    ...listRouteFaults(routes, pools),
    ...pools.flatMap(listPoolFaults),
    ...listZoneFaults(pools),
  ];
}

/** Validates the fields of both tables and the references between them, and returns all faults. */
export function checkTables(value: unknown): Either<ValueFault[], Tables> {
  const crossFaults = listCrossRowFaults(value);
  return parseValue(tablesSchema, value).caseOf<Either<ValueFault[], Tables>>({
    Left: (faults) => Left([...faults, ...crossFaults]),
    Right: (tables) => (crossFaults.length === 0 ? Right(tables) : Left(crossFaults)),
  });
}

/** Lists the zones of all pools without duplicates. */
export function listZones(tables: Pick<Tables, 'pools'>): string[] {
  return [...new Set(tables.pools.flatMap((pool) => pool.zones))].sort();
}
