import * as z from 'zod/mini';
import { agentSettingsSchema, entrySettingsSchema } from '../src/daemons/settings.ts';
import { poolSchema, routeSchema, tablesSchema } from '../src/model/configuration.ts';

const SCHEMAS: Readonly<Record<string, z.ZodMiniType>> = {
  'routes.schema.json': z.array(routeSchema),
  'pools.schema.json': z.array(poolSchema),
  'tables.schema.json': tablesSchema,
  'entry-settings.schema.json': entrySettingsSchema,
  'agent-settings.schema.json': agentSettingsSchema,
};

/** JSON Schemas of what operators write, by file name. Fields with a default are optional. */
export function createJsonSchemas(): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(SCHEMAS).map(([name, schema]) => [
      name,
      z.toJSONSchema(schema, { io: 'input' }),
    ]),
  );
}
