import { beforeAll, describe, expect, it } from 'vitest';
import { buildPrograms } from '../support/platformProgram.ts';
import { createFaultPlan, formatFault } from './faultPlan.ts';
import { expectPromisesKept } from './shortSoak.ts';

/** Shorter and smaller than the runs by hand. */
const SHORT = { entries: 2, agents: 3 };
const SHAPE = {
  entries: ['entry-1', 'entry-2'],
  agents: ['agent-1'],
  workers: ['worker-1'],
  zones: ['a'],
  links: ['entry-1>agent-1'],
  lengthMs: 60_000,
};

describe('fault soak', () => {
  describe('plan', () => {
    it('is the same for the same seed, so that a failure can be run again', () => {
      expect(createFaultPlan(7, SHAPE)).toEqual(createFaultPlan(7, SHAPE));
      expect(createFaultPlan(7, SHAPE)).not.toEqual(createFaultPlan(8, SHAPE));
    });

    it('leaves no kind of fault out', () => {
      const kinds = new Set<string>();
      for (let seed = 1; seed <= 60; seed += 1)
        for (const planned of createFaultPlan(seed, SHAPE)) {
          kinds.add(planned.fault.kind);
          expect(formatFault(planned)).toMatch(/^at=\d+ kind=\w+ /);
        }
      expect(kinds.size).toBe(26);
    });

    it('draws only planned work for one seed in five', () => {
      const unplanned = ['kill', 'freeze', 'storeDown', 'cutLink', 'workerCrash'];
      for (const { fault } of createFaultPlan(10, SHAPE))
        expect(unplanned).not.toContain(fault.kind);
    });
  });

  describe('programs', () => {
    beforeAll(() => {
      buildPrograms();
    });

    it.concurrent.each([
      ['faults of all kinds', 4, 5],
      ['planned work only', 5, 4],
    ])('break no promise under %s', async (_, seed, seconds) => {
      await expectPromisesKept({ ...SHORT, seed, seconds });
    });
  });
});
