import * as z from 'zod/mini';
import { callOperator } from './operatorClient.ts';
import type { OperatorOptions } from './output.ts';
import { CommandError, EXIT_INVALID, printJson, printLine } from './output.ts';
import { loadTablesFile } from './tablesFile.ts';

/** Answer of the entry to a configuration change. */
export const changeAnswerSchema = z.object({ revision: z.int(), changed: z.boolean() });

/** `config apply <file>`: replaces both tables unless they changed after the base revision. */
export async function runConfigApply(
  file: string,
  options: OperatorOptions & { baseRevision?: number },
): Promise<void> {
  const loaded = loadTablesFile(file);
  const baseRevision = options.baseRevision ?? loaded.baseRevision;
  if (baseRevision === undefined || !Number.isInteger(baseRevision)) {
    throw new CommandError(
      'the base revision of the edited tables is missing: set --base-revision, or baseRevision in the file as printed by config show',
      EXIT_INVALID,
    );
  }
  const value = await callOperator(options, 'PUT', '/v1/config', {
    baseRevision,
    tables: loaded.tables,
  });
  const answer = z.parse(changeAnswerSchema, value);
  if (options.json === true) printJson(answer);
  else printLine(`revision ${answer.revision} accepted`);
}
