import { readFileSync } from 'node:fs';
import * as z from 'zod/mini';
import type { Tables } from '../model/configuration.ts';
import { checkTables } from '../model/tableChecks.ts';
import { CommandError, EXIT_INVALID, formatFaultLines } from './output.ts';

/** Tables of a file and the revision on which they are based, if the file contains it. */
export interface TablesFile {
  readonly tables: Tables;
  readonly baseRevision: number | undefined;
}

const baseRevisionSchema = z.looseObject({ baseRevision: z.optional(z.int()) });

function removeBaseRevision(value: Readonly<Record<string, unknown>>): Record<string, unknown> {
  return Object.fromEntries(Object.entries(value).filter(([name]) => name !== 'baseRevision'));
}

/**
 * Loads and validates a tables file in the format of `config show`. Throws a CommandError that lists
 * every error.
 */
export function loadTablesFile(path: string): TablesFile {
  let value: unknown;
  try {
    value = JSON.parse(readFileSync(path, 'utf8'));
  } catch (error) {
    throw new CommandError(`${path}: ${(error as Error).message}`, EXIT_INVALID);
  }
  const base = z.safeParse(baseRevisionSchema, value);
  const baseRevision = base.success ? base.data.baseRevision : undefined;
  const tables = base.success ? removeBaseRevision(base.data) : value;
  return checkTables(tables).caseOf<TablesFile>({
    Left: (faults) => {
      throw new CommandError(`${path}: invalid tables\n${formatFaultLines(faults)}`, EXIT_INVALID);
    },
    Right: (checked) => ({ tables: checked, baseRevision }),
  });
}
