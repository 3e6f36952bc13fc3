import { describe, expect, it, vi } from 'vitest';
import { runCell } from './cells.ts';
import { FAULTS } from './faults.ts';
import { STEPS } from './steps.ts';

/** The owner counts a lease of 15 s as over after 500 ms, while the worker still runs the task. */
vi.mock(import('../../src/systems/leases/leaseTimes.ts'), async (importOriginal) => ({
  ...(await importOriginal()),
  LEASE_MARGIN_MS: -14_500,
}));

describe('the fault matrix over a broken system', () => {
  describe('an owner that counts leases as shorter than the worker does', () => {
    it('does not pass the renewal of a lease while messages are late', () => {
      const step = STEPS.find(({ name }) => name === 'renew')!;
      const fault = FAULTS.find(({ name }) => name === 'messages late')!;
      expect(() => runCell(step, [fault])).toThrow('P2');
    });
  });
});
