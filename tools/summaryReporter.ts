import type { Reporter, TestModule } from 'vitest/node';
import { formatTestCounts } from './testCounts.ts';

/** Prints the numbers of passed, failed and skipped tests as the last line. */
export default class SummaryReporter implements Reporter {
  onTestRunEnd(testModules: readonly TestModule[]): void {
    const counts = { passed: 0, failed: 0, skipped: 0 };
    for (const testModule of testModules) {
      for (const test of testModule.children.allTests()) {
        const { state } = test.result();
        if (state === 'passed' || state === 'failed' || state === 'skipped') counts[state] += 1;
      }
    }
    process.stdout.write(`\n${formatTestCounts(counts)}\n`);
  }
}
