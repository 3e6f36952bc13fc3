/** Value below which the given share of the values lies. */
export function computeQuantile(values: readonly number[], share: number): number {
  const sorted = Float64Array.from(values).sort();
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? 0;
}
