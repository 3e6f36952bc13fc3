import { describe, expect, it } from 'vitest';
import { countPeakRuns, createWorld, JOB, readPhase, TASK } from '../../support/jobWorld.ts';

/** Pauses shorter and longer than the lease of runs. */
const PAUSES_MS = [500, 2_000, 5_000, 20_000];
/** Times after the submission, while the start is under way and the task runs. */
const MOMENTS_MS = [0, 4, 8, 10, 12, 16, 30, 700];
const LEASE_MS = 5_000;

describe('an agent that is paused', () => {
  describe.each([
    ['while the owner stays', false],
    ['while the ownership passes on', true],
  ])('%s', (_, killsOwner) => {
    it.each(PAUSES_MS)('for %d ms does not let its task run in two places', (pauseMs) => {
      for (const momentMs of MOMENTS_MS) {
        const { world } = createWorld(3, 2);
        const owner = world.owner!;
        const other = world.entries.find((entry) => entry !== owner)!;
        world.behave = () => ({ durationMs: 3_000, end: 'done' });
        world.submit(owner, JOB, [{ count: 1 }]);
        world.run(momentMs);
        for (const agent of world.agents) world.freezeAgent(agent, pauseMs);
        if (killsOwner) world.kill(owner);
        const peak = countPeakRuns(world, pauseMs + 25_000);
        expect({ momentMs, isTwice: peak > 1 }).toEqual({ momentMs, isTwice: false });
        expect({ momentMs, phase: readPhase(world, other) }).toEqual({
          momentMs,
          phase: 'completed',
        });
        // Leases are renewed through the agent, so a longer pause ends the run, which starts again.
        if (pauseMs < LEASE_MS)
          expect({ momentMs, starts: world.listStarts(TASK).length }).toEqual({
            momentMs,
            starts: 1,
          });
      }
    });
  });
});
