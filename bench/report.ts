/** One measured figure. */
export interface BenchRow {
  readonly metric: string;
  /** Figure of the baseline in the same run; null when there is none. */
  readonly baseline: number | null;
  readonly chosen: number;
  /** `chosen` divided by `baseline`. */
  readonly ratio: number | null;
  /** Bound of the figure, as a number or in words; null when the figure has none. */
  readonly target: number | string | null;
  readonly isMet: boolean;
}

/** Result of one bench. */
export interface BenchReport {
  readonly name: string;
  readonly seed: number;
  readonly rows: readonly BenchRow[];
  /** What the figures include, leave out and were measured on. */
  readonly notes: readonly string[];
}

/** A row that compares a baseline with the chosen variant; the caller judges the target. */
export function createBenchRow(
  metric: string,
  baseline: number,
  chosen: number,
  target = '',
  isMet = true,
): BenchRow {
  const ratio = baseline === 0 ? null : chosen / baseline;
  return { metric, baseline, chosen, ratio, target: target === '' ? null : target, isMet };
}

/** A row whose figure must not exceed the target. */
export function createUpperBoundRow(
  metric: string,
  chosen: number,
  target: number | null,
  baseline: number | null = null,
): BenchRow {
  return {
    metric,
    baseline,
    chosen,
    ratio: baseline === null || baseline === 0 ? null : chosen / baseline,
    target,
    isMet: target === null || chosen <= target,
  };
}

function formatCell(value: number | string | null): string {
  if (typeof value === 'string') return value;
  return value === null ? '-' : String(Math.round(value * 1_000) / 1_000);
}

/** Formats a report as a table of fixed columns. */
export function formatReport(report: BenchReport): string {
  const header = ['metric', 'baseline', 'chosen', 'ratio', 'target', 'met'];
  const cells = report.rows.map((row) => [
    row.metric,
    formatCell(row.baseline),
    formatCell(row.chosen),
    formatCell(row.ratio),
    formatCell(row.target),
    row.isMet ? 'yes' : 'NO',
  ]);
  const widths = header.map((title, column) =>
    Math.max(title.length, ...cells.map((row) => row[column]?.length ?? 0)),
  );
  const lines = [header, ...cells].map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
  const notes = report.notes.map((note) => `note: ${note}`);
  return [`${report.name} (seed ${report.seed})`, ...lines, ...notes].join('\n');
}
