import * as z from 'zod/mini';
import type { Configuration } from '../model/configuration.ts';
import { configurationSchema } from '../model/configuration.ts';
import { callOperator } from './operatorClient.ts';
import type { OperatorOptions } from './output.ts';
import { printJson } from './output.ts';

/** Reads the active configuration of an entry. */
export async function readConfiguration(options: OperatorOptions): Promise<Configuration> {
  return z.parse(configurationSchema, await callOperator(options, 'GET', '/v1/config'));
}

/**
 * `config show`: prints the tables with their revision in the format that `config apply` reads. With
 * `--json` it also prints the zones that are out of service.
 */
export async function runConfigShow(options: OperatorOptions): Promise<void> {
  const { revision, routes, pools, zonesOut } = await readConfiguration(options);
  if (options.json === true) printJson({ revision, zonesOut, routes, pools });
  else printJson({ baseRevision: revision, routes, pools });
}
