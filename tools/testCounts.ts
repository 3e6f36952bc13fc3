import type { RunVerdict } from './knownRed.ts';

/** The last line of a run of the tests; readers of the output take the result from it. */
export function formatTestCounts(counts: RunVerdict['counts']): string {
  return `${counts.passed} passed, ${counts.failed} failed, ${counts.skipped} skipped`;
}
