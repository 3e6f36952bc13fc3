import type { TestModule, TestSuite } from 'vitest/node';
import type { TestRun } from './knownRed.ts';

/** Collects what a run left, as the comparison with KNOWN-RED.txt reads it. */
export function collectTestRun(
  testModules: readonly TestModule[],
  unhandledErrors: readonly unknown[],
): TestRun {
  const outcomes: { test: string; state: TestRun['outcomes'][number]['state'] }[] = [];
  const faults: string[] = [];
  for (const testModule of testModules) {
    const file = testModule.relativeModuleId;
    const suites: (TestModule | TestSuite)[] = [testModule, ...testModule.children.allSuites()];
    for (const suite of suites) {
      const name = suite.type === 'module' ? file : `${file} > ${suite.fullName}`;
      for (const error of suite.errors()) faults.push(`${name}: ${error.message}`);
    }
    if (testModule.children.size === 0 && testModule.errors().length === 0)
      faults.push(`${file}: ended as ${testModule.state()} without a test`);
    for (const test of testModule.children.allTests())
      outcomes.push({ test: `${file} > ${test.fullName}`, state: test.result().state });
  }
  for (const error of unhandledErrors)
    faults.push(`unhandled: ${error instanceof Error ? error.message : JSON.stringify(error)}`);
  return { outcomes, faults };
}
