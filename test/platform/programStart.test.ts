import { readFileSync } from 'node:fs';
import { beforeAll, describe, expect, it, vi } from 'vitest';
import { buildPrograms, BUNDLE_FOLDER } from '../support/platformProgram.ts';

/** Texts that a bundle contains only if it includes the library. */
const LIBRARY_MARKERS = { undici: 'UND_ERR_', msgpackr: 'msgpackr', grpc: 'grpc-js', pako: 'pako' };

vi.mock('prom-client', () => {
  throw new Error('loaded');
});

describe('start of a program on the platform', () => {
  beforeAll(() => {
    buildPrograms();
  });

  for (const role of ['entry', 'agent'])
    it(`does not load libraries that the ${role} never uses`, () => {
      const bundle = readFileSync(`${BUNDLE_FOLDER}/${role}.mjs`, 'utf8');
      const loaded = Object.entries(LIBRARY_MARKERS).filter(([, mark]) => bundle.includes(mark));
      expect(loaded).toEqual([]);
    });

  it('does not load the library of the metrics page before the page is requested', async () => {
    const { Metrics } = await import('../../src/base/node/metrics.ts');
    const metrics = Metrics.create();
    metrics.recordDuration('turn', {}, 1);
    expect(metrics.getQuantile('turn', 0.5)).toBeCloseTo(1, 1);
    await expect(metrics.render([], [])).rejects.toThrow();
  });
});
