import { isDeepStrictEqual } from 'node:util';
import type { Tables } from '../model/configuration.ts';
import { readConfiguration } from './configShow.ts';
import type { OperatorOptions } from './output.ts';
import { printJson, printLine } from './output.ts';
import { loadTablesFile } from './tablesFile.ts';

/** One difference between the active tables and the tables of a file. */
export interface TableDifference {
  /** Table, row name and field, such as `routes.kit-read.deadlineMs`. */
  readonly path: string;
  readonly inForce: unknown;
  readonly inFile: unknown;
}

type NamedRow = Readonly<Record<string, unknown>> & { readonly name: string };

function compareRows(table: string, inForce: NamedRow[], inFile: NamedRow[]): TableDifference[] {
  const names = new Set([...inForce, ...inFile].map((row) => row.name));
  return [...names].flatMap((name) => {
    const rowInForce = inForce.find((row) => row.name === name);
    const rowInFile = inFile.find((row) => row.name === name);
    const path = `${table}.${name}`;
    if (rowInForce === undefined || rowInFile === undefined)
      return [{ path, inForce: rowInForce, inFile: rowInFile }];
    const fields = new Set([...Object.keys(rowInForce), ...Object.keys(rowInFile)]);
    return [...fields]
      .filter((field) => !isDeepStrictEqual(rowInForce[field], rowInFile[field]))
      .map((field) => ({
        path: `${path}.${field}`,
        inForce: rowInForce[field],
        inFile: rowInFile[field],
      }));
  });
}

/** Compares the tables field by field. Rows are matched by name. */
export function compareTables(inForce: Tables, inFile: Tables): TableDifference[] {
  return [
    ...compareRows('routes', inForce.routes, inFile.routes),
    ...compareRows('pools', inForce.pools, inFile.pools),
  ];
}

function formatField(value: unknown): string {
  return value === undefined ? 'absent' : JSON.stringify(value);
}

/** `config diff <file>`: compares the tables of a file with the active tables. */
export async function runConfigDiff(file: string, options: OperatorOptions): Promise<void> {
  const { tables } = loadTablesFile(file);
  const configuration = await readConfiguration(options);
  const differences = compareTables(configuration, tables);
  if (options.json === true) {
    printJson({ revision: configuration.revision, differences });
    return;
  }
  printLine(`revision ${configuration.revision}, ${differences.length} differences`);
  for (const { path, inForce, inFile } of differences)
    printLine(`${path}: ${formatField(inForce)} -> ${formatField(inFile)}`);
}
