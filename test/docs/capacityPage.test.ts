import { readFileSync } from 'node:fs';
import { format } from 'prettier';
import { describe, expect, it } from 'vitest';
import { renderCapacityPage } from '../../bench/capacityPage.ts';
import type { BenchReport } from '../../bench/report.ts';
import { estimateCoreLimit, renderSweep, sweepSchema } from '../../bench/sweepPage.ts';

const report = JSON.parse(readFileSync('docs/capacity.json', 'utf8')) as BenchReport;
const sweep = sweepSchema.parse(JSON.parse(readFileSync('docs/sweep.json', 'utf8')));

describe('capacity page', () => {
  describe('committed page', () => {
    it('does not differ from the measured figures; run npm run capacity-page', async () => {
      const page = await format(renderCapacityPage(report, sweep), { parser: 'markdown' });
      expect(readFileSync('docs/CAPACITY.md', 'utf8')).toBe(page);
    });
  });

  describe('sweep', () => {
    const row = { role: 'owner', figure: 'processor', unit: '%', budget: 10 } as const;

    it('does not call a figure within its budget that passes it at the size of two years', () => {
      const values = { middle: [1, 1, 1], busiest: [1, 3, 9] };
      const page = renderSweep({ ...sweep, rows: [{ ...row, ...values }] });
      expect(page).toContain('**passes the budget**');
    });

    it('does not extrapolate by another power than that of the busiest machines', () => {
      const values = { middle: [1, 1, 1], busiest: [1, 3, 10] };
      const steep = { ...sweep, sizes: [30, 100, 300], rows: [{ ...row, ...values }] };
      expect(estimateCoreLimit(steep)).toBeCloseTo(3_000);
    });

    it('does not render a page without the processor time of the owner', () => {
      expect(() => renderSweep({ ...sweep, rows: [] })).toThrow('owner: processor');
    });
  });

  describe('figures', () => {
    it('does not call a figure beyond its budget within it', () => {
      const rows = report.rows.map((row) =>
        row.metric === 'agent memory MB, one endpoint' ? { ...row, chosen: 64.1 } : row,
      );
      const line = renderCapacityPage({ ...report, rows }, sweep)
        .split('\n')
        .find((text) => text.startsWith('| memory, one endpoint |'));
      expect(line).toContain('passes the budget');
    });

    it('does not render a page without a figure that it needs', () => {
      const rows = report.rows.filter((row) => !row.metric.startsWith('entry store writes'));
      expect(() => renderCapacityPage({ ...report, rows }, sweep)).toThrow('entry store writes/s');
    });
  });
});
