import { FAULTS } from './faults.ts';
import { SAMPLED_CELLS } from './sample.ts';
import { STEPS } from './steps.ts';

/** How each single cell ended, by `step × fault`. */
export type CellResults = ReadonlyMap<string, string>;

export function formatCell(step: string, faults: readonly string[]): string {
  return `${step} × ${faults.join(' + ')}`;
}

/** The impossible cells, with their reasons. */
export function listObstacles(): { cell: string; reason: string }[] {
  return STEPS.flatMap((step) =>
    FAULTS.flatMap((fault) => {
      const reason = fault.findObstacle?.(step);
      return reason === undefined ? [] : [{ cell: formatCell(step.name, [fault.name]), reason }];
    }),
  );
}

/** The page as text; its tables are aligned as the formatter wants them. */
export function renderPage(results: CellResults): string {
  const obstacles = listObstacles();
  const count = STEPS.length * FAULTS.length - obstacles.length;
  const rows = STEPS.flatMap((step) =>
    FAULTS.filter((fault) => fault.findObstacle?.(step) === undefined).map((fault) => {
      const cell = formatCell(step.name, [fault.name]);
      return [step.group, step.name, fault.name, results.get(cell) ?? 'not run'];
    }),
  );
  return [
    '# Fault matrix',
    'Written by `npm run fault-matrix` from the lists in `test/faults/`; do not edit it.',
    `${STEPS.length} steps and ${FAULTS.length} faults give ${count} cells; ${obstacles.length} ` +
      `cells cannot occur. ${SAMPLED_CELLS.length} more cells, a seeded sample, inject the same ` +
      'fault twice or two different faults.',
    'Each cell runs the systems of entries and agents on a manual clock. The fault begins at the ' +
      'tick in which the step is seen. P1 to P8 and P10 are checked after each tick, P9 when a ' +
      'process exits.',
    '## Cells',
    formatTable(['group', 'step', 'fault', 'end of the work'], rows),
    '## Cells with two faults',
    formatTable(
      ['step', 'first fault', 'second fault', 'end of the work'],
      SAMPLED_CELLS.map(({ step, faults }) => {
        const names = faults.map(({ name }) => name);
        return [step.name, ...names, results.get(formatCell(step.name, names)) ?? 'not run'];
      }),
    ),
    '## Cells that cannot occur',
    formatTable(
      ['cell', 'reason'],
      obstacles.map(({ cell, reason }) => [cell, reason]),
    ),
  ]
    .join('\n\n')
    .concat('\n');
}

function formatTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
  const widths = header.map((title, column) =>
    Math.max(3, title.length, ...rows.map((row) => row[column]!.length)),
  );
  const formatRow = (cells: readonly string[]): string =>
    `| ${cells.map((cell, column) => cell.padEnd(widths[column]!)).join(' | ')} |`;
  const line = formatRow(widths.map((width) => '-'.repeat(width)));
  return [formatRow(header), line, ...rows.map(formatRow)].join('\n');
}
