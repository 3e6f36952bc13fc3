/** One entry of KNOWN-RED.txt. */
export interface KnownRedEntry {
  /** `FILE > FULL NAME`, the full name with ` > ` between describe blocks and test. */
  readonly test: string;
  readonly command: string;
  readonly seen: string;
  readonly issue: string;
}

export interface TestOutcome {
  /** Written like the test of an entry. */
  readonly test: string;
  readonly state: 'passed' | 'failed' | 'skipped' | 'pending';
}

/** What a run of the tests left. */
export interface TestRun {
  readonly outcomes: readonly TestOutcome[];
  /** Faults outside tests: files that do not load, hooks that fail, errors that nothing catches. */
  readonly faults: readonly string[];
}

export interface RunVerdict {
  /** One line for each listed test and each fault. */
  readonly lines: readonly string[];
  readonly counts: { readonly passed: number; readonly failed: number; readonly skipped: number };
}

const FIELD_SEPARATOR = ' | ';
const TEST_SEPARATOR = ' > ';

/** Reads the entries; a line that is neither a comment nor an entry is a fault, so that no test is listed by mistake. */
export function parseKnownRed(text: string): { entries: KnownRedEntry[]; faults: string[] } {
  const entries: KnownRedEntry[] = [];
  const faults: string[] = [];
  for (const [index, line] of text.split('\n').entries()) {
    if (line.trim() === '' || line.startsWith('#')) continue;
    const fields = line
      .slice(2)
      .split(FIELD_SEPARATOR)
      .map((field) => field.trim());
    const [test = '', command = '', seen = '', issue = ''] = fields;
    const isEntry =
      line.startsWith('- ') &&
      fields.length === 4 &&
      fields.every((field) => field !== '') &&
      test.includes(TEST_SEPARATOR);
    if (!isEntry) faults.push(`KNOWN-RED.txt line ${index + 1} is not in the form of an entry`);
    else if (entries.some((entry) => entry.test === test))
      faults.push(`KNOWN-RED.txt line ${index + 1} lists a test again: ${test}`);
    else entries.push({ test, command, seen, issue });
  }
  return { entries, faults };
}

/**
 * Compares a run with the entries. Listed tests that fail are counted as skipped. Everything else that is
 * not in order is counted as failed, so that the number of failures alone decides.
 */
export function compareKnownRed(entries: readonly KnownRedEntry[], run: TestRun): RunVerdict {
  const counts = { passed: 0, failed: 0, skipped: 0 };
  const lines: string[] = [];
  const addFault = (text: string): void => {
    counts.failed += 1;
    lines.push(`fault: ${text}`);
  };
  const listed = new Set(entries.map(({ test }) => test));
  for (const { test, state } of run.outcomes) {
    if (listed.has(test)) continue;
    if (state === 'passed' || state === 'skipped') counts[state] += 1;
    else addFault(`${state === 'failed' ? 'failed' : 'did not finish'}: ${test}`);
  }
  for (const entry of entries) {
    const outcomes = run.outcomes.filter(({ test }) => test === entry.test);
    const [state] = outcomes.map((outcome) => outcome.state);
    if (state === undefined) addFault(`listed, but no such test: ${entry.test}`);
    else if (outcomes.length > 1)
      addFault(`listed, but several tests have the name: ${entry.test}`);
    else if (state === 'failed') {
      counts.skipped += 1;
      lines.push(`known failure: ${entry.test} (${entry.issue}): ${entry.seen}`);
    } else if (state === 'passed') addFault(`passed, take it from KNOWN-RED.txt: ${entry.test}`);
    else addFault(`listed, but did not run: ${entry.test}`);
  }
  run.faults.forEach(addFault);
  if (run.outcomes.length === 0) addFault('no tests ran');
  return { lines, counts };
}
