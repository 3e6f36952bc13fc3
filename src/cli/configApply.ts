import * as z from 'zod/mini';
import { callOperator } from './operatorClient.ts';
import type { OperatorOptions } from './output.ts';
import { CommandError, EXIT_INVALID, printJson, printLine } from './output.ts';
import { loadTablesFile } from './tablesFile.ts';

/** The entry's answer to a change. */
export const changeAnswerSchema = z.object({ revision: z.int(), changed: z.boolean() });

/** `config apply <file>`: replaces both tables if nobody changed them since the base revision. */
export async function runConfigApply(
  file: string,
  options: OperatorOptions & { baseRevision?: number },
): Promise<void> {
  const loaded = loadTablesFile(file);
  const baseRevision = options.baseRevision ?? loaded.baseRevision;
  if (baseRevision === undefined || !Number.isInteger(baseRevision)) {
    throw new CommandError(
      'give the revision that the tables were edited from by --base-revision, or as baseRevision in the file, as config show prints it',
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
