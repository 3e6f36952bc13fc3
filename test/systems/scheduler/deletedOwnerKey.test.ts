import { describe, expect, it } from 'vitest';
import { STORE_KEYS } from '../../../src/model/scheduler/jobRecord.ts';
import { countPeakRuns, TASK } from '../../support/jobWorld.ts';
import { createLastingWorld } from '../../support/lostWorkers.ts';

describe.each([6_000, 10_000])('with leases of up to %d ms, an owner', (holdMaxMs) => {
  describe('whose key is deleted while its lease is still renewed', () => {
    it('does not keep a run going beside the next owner when its other calls get no answer', () => {
      for (const offsetMs of [0, 300, 700, 1_100]) {
        const { world, agent } = createLastingWorld(holdMaxMs);
        const owner = world.owner!;
        world.run(offsetMs);
        // Only the earlier owner keeps its link to the agent.
        agent.isReachable = false;
        owner.store = 'answerLost';
        world.store.handle({ op: 'transact', expected: [], puts: [], deletes: [STORE_KEYS.owner] });
        for (const entry of world.entries)
          if (entry !== owner) world.links.closeEntries(owner, entry);
        const peak = countPeakRuns(world, 25_000);
        expect({ offsetMs, peak }).toEqual({ offsetMs, peak: 1 });
        expect(world.listStarts(TASK)).toHaveLength(2);
      }
    });
  });
});
