import { readFileSync, writeFileSync } from 'node:fs';
import { afterAll, describe, expect, it } from 'vitest';
import { runCell } from './cells.ts';
import type { Fault } from './faults.ts';
import { FAULTS } from './faults.ts';
import { formatCell, renderPage } from './matrixPage.ts';
import { SAMPLED_CELLS } from './sample.ts';
import type { Step } from './steps.ts';
import { STEPS } from './steps.ts';

const PAGE = 'docs/fault-matrix.md';
const results = new Map<string, string>();

/** Runs cells of one step. Returns the ones that failed. */
function runCells(step: Step, cells: readonly (readonly Fault[])[]): string[] {
  return cells.flatMap((faults) => {
    const cell = formatCell(
      step.name,
      faults.map(({ name }) => name),
    );
    try {
      results.set(cell, runCell(step, faults));
      return [];
    } catch (error) {
      results.set(cell, `FAILED: ${error instanceof Error ? error.message : String(error)}`);
      return [`${cell}: ${String(error)}`];
    }
  });
}

describe('the fault matrix', () => {
  describe.each([...new Set(STEPS.map(({ group }) => group))])('%s', (group) => {
    const steps = STEPS.filter((step) => step.group === group);

    describe('one fault', () => {
      it.each(steps)('$name does not break a promise or lose work', (step) => {
        const faults = FAULTS.filter((fault) => fault.findObstacle?.(step) === undefined);
        const cells = faults.map((fault) => [fault]);
        expect(runCells(step, cells)).toEqual([]);
      });
    });

    describe('the same fault twice and pairs of faults', () => {
      it.each(steps)('$name does not break a promise or lose work', (step) => {
        const cells = SAMPLED_CELLS.filter((cell) => cell.step === step);
        expect(
          runCells(
            step,
            cells.map(({ faults }) => faults),
          ),
        ).toEqual([]);
      });
    });
  });

  describe('its page', () => {
    it('does not differ from the lists and from what the cells showed', () => {
      const text = renderPage(results);
      expect(text).not.toContain('not run');
      if (process.env.WRITE_FAULT_MATRIX === '1') return;
      expect(readFileSync(PAGE, 'utf8')).toBe(text);
    });
  });

  afterAll(() => {
    if (process.env.WRITE_FAULT_MATRIX === '1') writeFileSync(PAGE, renderPage(results));
  });
});
