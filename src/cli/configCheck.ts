import { loadTablesFile } from './tablesFile.ts';
import { printJson, printLine } from './output.ts';

/** `config check <file>`: validates a tables file without contacting an entry. */
export function runConfigCheck(file: string, options: { json?: boolean }): void {
  const { tables } = loadTablesFile(file);
  const counts = { routes: tables.routes.length, pools: tables.pools.length };
  if (options.json === true) printJson({ valid: true, ...counts });
  else printLine(`${file}: valid, ${counts.routes} routes, ${counts.pools} pools`);
}
