import { readFileSync } from 'node:fs';
import { format } from 'prettier';
import { describe, expect, it } from 'vitest';
import { renderCapacityPage } from '../../bench/capacityPage.ts';
import type { BenchReport } from '../../bench/report.ts';

const report = JSON.parse(readFileSync('docs/capacity.json', 'utf8')) as BenchReport;

describe('capacity page', () => {
  describe('committed page', () => {
    it('does not differ from the measured figures; run npm run capacity-page', async () => {
      const page = await format(renderCapacityPage(report), { parser: 'markdown' });
      expect(readFileSync('docs/CAPACITY.md', 'utf8')).toBe(page);
    });
  });

  describe('figures', () => {
    it('does not call a figure beyond its budget within it', () => {
      const rows = report.rows.map((row) =>
        row.metric === 'agent memory MB, one endpoint' ? { ...row, chosen: 64.1 } : row,
      );
      const line = renderCapacityPage({ ...report, rows })
        .split('\n')
        .find((text) => text.startsWith('| memory, one endpoint |'));
      expect(line).toContain('passes the budget');
    });

    it('does not render a page without a figure that it needs', () => {
      const rows = report.rows.filter((row) => !row.metric.startsWith('entry store writes'));
      expect(() => renderCapacityPage({ ...report, rows })).toThrow('entry store writes/s');
    });
  });
});
