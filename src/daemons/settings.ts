import { readFileSync } from 'node:fs';
import { Either } from 'purify-ts/Either';
import * as z from 'zod/mini';
import { formatFaults, parseValue } from '../base/common/parse.ts';
import { addressSchema } from '../model/address.ts';
import { nameSchema } from '../model/configuration.ts';

const portSchema = z.int().check(z.minimum(0), z.maximum(65_535));
const hostSchema = z.string().check(z.minLength(1));
const originSchema = z.string().check(z.regex(/^http:\/\//, 'must be an http origin'));

/** Settings of an entry. Port 0 selects any free port. */
export const entrySettingsSchema = z.strictObject({
  id: nameSchema,
  region: nameSchema,
  zone: nameSchema,
  /** Address that this instance listens on. */
  host: hostSchema,
  /** HTTP port for callers. */
  callerPort: portSchema,
  /** HTTP port for operators, metrics and health. */
  operatorPort: portSchema,
  /** gRPC port for agents and other entries. */
  linkPort: portSchema,
  storeOrigin: originSchema,
  /** `ip:port` of entries that supply the configuration if the store is down at start. */
  peers: z._default(z.array(addressSchema), []),
  /** Maximum duration of a graceful shutdown, in seconds. */
  stopSeconds: z._default(z.number().check(z.positive(), z.maximum(600)), 30),
});
export type EntrySettings = z.infer<typeof entrySettingsSchema>;

/** Settings of an agent. */
export const agentSettingsSchema = z.strictObject({
  id: nameSchema,
  region: nameSchema,
  zone: nameSchema,
  host: hostSchema,
  /** HTTP port on which entries send attempts. */
  linkPort: portSchema,
  /** HTTP port for the announcements of endpoints on the instance. */
  announcePort: portSchema,
  /** Addresses of some entries, `ip:port`. */
  entries: z.array(addressSchema).check(z.minLength(1)),
  /** Address of the platform's worker interface on this instance, when the instance runs tasks. */
  workerOrigin: z.optional(originSchema),
  stopSeconds: z._default(z.number().check(z.positive(), z.maximum(600)), 30),
  /**
   * Whether a graceful stop of the agent means that the instance is removed: its tasks are then
   * checkpointed and moved. Otherwise tasks continue under their leases for the next agent.
   */
  stopsTasks: z.optional(z.boolean()),
});
export type AgentSettings = z.infer<typeof agentSettingsSchema>;

/** Reads and validates a JSON file. Returns one text with every fault and its path on failure. */
export function loadJsonFile<Schema extends z.ZodMiniType>(
  path: string,
  schema: Schema,
): Either<string, z.output<Schema>> {
  return Either.encase(() => JSON.parse(readFileSync(path, 'utf8')) as unknown)
    .mapLeft((error) => `${path}: ${error.message}`)
    .chain((value) =>
      parseValue(schema, value).mapLeft((faults) => `${path}: ${formatFaults(faults)}`),
    );
}
