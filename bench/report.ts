/** One measured figure of a baseline and of the chosen policy. */
export interface BenchRow {
  readonly metric: string;
  readonly baseline: number;
  readonly chosen: number;
  /** Chosen divided by baseline. */
  readonly ratio: number;
  readonly target: string;
  readonly isMet: boolean;
}

/** The result of one benchmark run. */
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
  target: string,
  isMet: boolean,
): BenchRow {
  return {
    metric,
    baseline,
    chosen,
    ratio: baseline === 0 ? Number.NaN : chosen / baseline,
    target,
    isMet,
  };
}

export function formatBenchReport(report: BenchReport): string {
  const rows = report.rows.map(
    (row) =>
      `| ${row.metric} | ${row.baseline.toFixed(3)} | ${row.chosen.toFixed(3)} | ` +
      `${row.ratio.toFixed(3)} | ${row.target} | ${row.isMet ? 'met' : 'missed'} |`,
  );
  return [
    `${report.name}, seed ${report.seed}`,
    '| metric | baseline | chosen | ratio | target | result |',
    '| --- | --- | --- | --- | --- | --- |',
    ...rows,
    ...report.notes,
  ].join('\n');
}
