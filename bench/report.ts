/** One measured figure of the baseline and of the chosen variant, taken in the same run. */
export interface BenchRow {
  readonly metric: string;
  readonly baseline: number;
  readonly chosen: number;
  /** Chosen divided by baseline. */
  readonly ratio: number;
  /** Target in words, or an empty string when there is none. */
  readonly target: string;
  readonly isMet: boolean;
}

export interface BenchReport {
  readonly name: string;
  readonly seed: number;
  readonly rows: readonly BenchRow[];
  readonly notes: readonly string[];
}

export function createBenchRow(
  metric: string,
  baseline: number,
  chosen: number,
  target = '',
  isMet = true,
): BenchRow {
  const ratio = baseline === 0 ? (chosen === 0 ? 1 : Number.POSITIVE_INFINITY) : chosen / baseline;
  return { metric, baseline, chosen, ratio, target, isMet };
}

export function formatBenchReport(report: BenchReport): string {
  const lines = report.rows.map((row) => {
    const verdict = row.target === '' ? '' : `  ${row.isMet ? 'met' : 'MISSED'}: ${row.target}`;
    const figures = `${formatFigure(row.baseline)} ${formatFigure(row.chosen)} ${formatFigure(row.ratio)}`;
    return `${row.metric.padEnd(52)} ${figures}${verdict}`;
  });
  const header = `${'metric'.padEnd(52)} ${'baseline'.padStart(10)} ${'chosen'.padStart(10)} ${'ratio'.padStart(10)}`;
  return [`${report.name} (seed ${report.seed})`, header, ...lines, ...report.notes].join('\n');
}

function formatFigure(value: number): string {
  return (Number.isInteger(value) ? `${value}` : value.toFixed(3)).padStart(10);
}
