import { beforeAll, describe, expect, it } from 'vitest';
import { buildPrograms } from '../support/platformProgram.ts';
import { createFaultPlan } from './faultPlan.ts';
import { expectPromisesKept } from './shortSoak.ts';
import { createSoakPlan, FIRST_LOSS_SEED } from './soakPlan.ts';

const SHAPE = {
  entries: ['entry-1', 'entry-2'],
  agents: ['agent-1'],
  workers: ['worker-1'],
  zones: ['a'],
  links: ['entry-1>agent-1'],
  lengthMs: 60_000,
};
/** Losses only: a worker for 28 s and its agent for 0.8 s, and two owners 0.6 and 3.5 s later. */
const LOSSES = { entries: 3, agents: 4, seed: 20_600, seconds: 0 };

describe('fault soak with losses of workers and owners', () => {
  describe('plan', () => {
    const SEEDS = Array.from({ length: 60 }, (_, index) => FIRST_LOSS_SEED + index);
    const NO_OTHERS = { ...SHAPE, lengthMs: 0 };

    it('is the same for the same seed, so that a failure can be run again', () => {
      expect(createSoakPlan(20_007, SHAPE)).toEqual(createSoakPlan(20_007, SHAPE));
      expect(createSoakPlan(20_007, SHAPE)).not.toEqual(createSoakPlan(20_008, SHAPE));
    });

    it('is that of other faults for earlier seeds, so that they can be run again', () => {
      for (const seed of [1, 126, 6_001, FIRST_LOSS_SEED - 1])
        expect(createSoakPlan(seed, SHAPE).faults).toEqual(createFaultPlan(seed, SHAPE));
    });

    it('leaves no kind of loss out', () => {
      const seen = new Set<string>();
      for (const seed of SEEDS)
        for (const { fault } of createSoakPlan(seed, NO_OTHERS).faults) {
          seen.add(fault.kind);
          if (fault.kind === 'loseWorker')
            seen.add(fault.returns).add(`agent ${fault.agentRestartMs > 0}`);
          if (fault.kind === 'killOwner') seen.add(`more ${fault.entries.length > 0}`);
        }
      const kinds = ['loseWorker', 'cutWorkerOff', 'killOwner', 'storeDown'];
      const parts = ['never', 'sameId', 'newId', 'agent true', 'agent false'];
      expect([...seen].sort()).toEqual([...kinds, ...parts, 'more true', 'more false'].sort());
    });

    it('leaves it quiet for long enough after the last loss', () => {
      for (const seed of SEEDS) {
        const { faults, lengthMs } = createSoakPlan(seed, NO_OTHERS);
        for (const { at, fault } of faults) {
          const actsMs = fault.kind === 'loseWorker' ? fault.agentRestartMs : fault.forMs;
          const isQuiet = lengthMs - at - actsMs >= 14_000;
          const next = faults.find((other) => other.at > at);
          expect(isQuiet || next !== undefined).toBe(true);
        }
      }
    });
  });

  // A file of its own, because a soak whose own loop is late by 0.5 s takes that for a disturbance.
  describe('programs', () => {
    beforeAll(() => {
      buildPrograms();
    });

    it('run lasting tasks again after the loss of a worker, its agent and two owners', async () => {
      await expectPromisesKept(LOSSES);
    });
  });
});
