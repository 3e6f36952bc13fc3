import { describe, expect, it } from 'vitest';
import type { TestOutcome } from '../../tools/knownRed.ts';
import { compareKnownRed, parseKnownRed } from '../../tools/knownRed.ts';

const TEST = 'test/a.test.ts > group > does not lose a job';
const LINE = `- ${TEST} | npx vitest run test/a.test.ts (no seed) | two runs | issue 14`;

function compare(outcomes: TestOutcome[], faults: string[] = [], text = LINE) {
  return compareKnownRed(parseKnownRed(text).entries, { outcomes, faults });
}

describe('known failing tests', () => {
  describe('their list', () => {
    it('does not lose a field of an entry', () => {
      expect(parseKnownRed(`# header\n\n${LINE}\n`)).toEqual({
        entries: [
          {
            test: TEST,
            command: 'npx vitest run test/a.test.ts (no seed)',
            seen: 'two runs',
            issue: 'issue 14',
          },
        ],
        faults: [],
      });
    });

    it.each([
      ['prose', '- three of six tests of a.test.ts fail'],
      ['an empty field', `- ${TEST} | command |  | issue 14`],
      ['a missing field', `- ${TEST} | command | issue 14`],
      ['a file without a test', '- test/a.test.ts | command | two runs | issue 14'],
      ['no mark of an entry', LINE.slice(2)],
    ])('does not take a line with %s for an entry', (_, line) => {
      expect(parseKnownRed(line)).toEqual({
        entries: [],
        faults: ['KNOWN-RED.txt line 1 is not in the form of an entry'],
      });
    });

    it('does not take a test twice', () => {
      expect(parseKnownRed(`${LINE}\n${LINE}`).faults).toEqual([
        `KNOWN-RED.txt line 2 lists a test again: ${TEST}`,
      ]);
    });
  });

  describe('compared with a run', () => {
    it('does not fail for a listed test that fails, and prints it', () => {
      const verdict = compare([
        { test: TEST, state: 'failed' },
        { test: 'other', state: 'passed' },
      ]);
      expect(verdict.counts).toEqual({ passed: 1, failed: 0, skipped: 1 });
      expect(verdict.lines).toEqual([`known failure: ${TEST} (issue 14): two runs`]);
    });

    it.each([
      ['a failure that is not listed', 'failed', 'fault: failed: other'],
      ['a test that did not finish', 'pending', 'fault: did not finish: other'],
    ] as const)('does not pass over %s', (_, state, line) => {
      const verdict = compare([
        { test: TEST, state: 'failed' },
        { test: 'other', state },
      ]);
      expect(verdict.counts).toEqual({ passed: 0, failed: 1, skipped: 1 });
      expect(verdict.lines).toContain(line);
    });

    it.each([
      ['passes', [{ test: TEST, state: 'passed' }], 'passed, take it from KNOWN-RED.txt'],
      ['is skipped', [{ test: TEST, state: 'skipped' }], 'listed, but did not run'],
      ['does not exist', [{ test: `${TEST}!`, state: 'passed' }], 'listed, but no such test'],
      [
        'shares its name with another',
        [
          { test: TEST, state: 'failed' },
          { test: TEST, state: 'failed' },
        ],
        'listed, but several tests have the name',
      ],
    ] as [string, TestOutcome[], string][])(
      'does not keep a listed test that %s',
      (_, outcomes, reason) => {
        const verdict = compare(outcomes);
        expect(verdict.counts.failed).toBe(1);
        expect(verdict.lines).toEqual([`fault: ${reason}: ${TEST}`]);
      },
    );

    it('does not pass a run without tests', () => {
      expect(compare([], [], '').counts).toEqual({ passed: 0, failed: 1, skipped: 0 });
    });

    it('does not pass over a fault outside tests', () => {
      const verdict = compare([{ test: TEST, state: 'failed' }], ['b.test.ts: does not load']);
      expect(verdict.counts).toEqual({ passed: 0, failed: 1, skipped: 1 });
      expect(verdict.lines).toContain('fault: b.test.ts: does not load');
    });
  });
});
