/** One measured comparison of a baseline and the chosen variant. */
export interface BenchRow {
  readonly name: string;
  readonly unit: string;
  readonly baseline: number;
  readonly chosen: number;
  /** Chosen divided by baseline. */
  readonly ratio: number;
  /** Target in words, or an empty text when the row has none. */
  readonly target: string;
  /** Whether the target is met; undefined when the row has none. */
  readonly isMet: boolean | undefined;
}

/** Result of one benchmark; every number is measured in the same run. */
export interface BenchReport {
  readonly name: string;
  readonly rows: readonly BenchRow[];
}
