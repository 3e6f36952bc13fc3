import { describe, expect, it } from 'vitest';
import { countPeakRuns, createWorld, JOB, readPhase, TASK } from '../../support/jobWorld.ts';

/** Pauses shorter and longer than the lease of the owner key and that of runs. */
const PAUSES_MS = [500, 2_000, 5_000, 20_000];
/** Times after the submission, while the placement is stored, the start is sent and the task runs. */
const MOMENTS_MS = [0, 2, 4, 6, 8, 10, 14, 20, 60, 700];

describe('an owner that is paused', () => {
  describe.each([
    ['by a signal', false],
    ['with its instance, whose monotonic clock stops', true],
  ])('%s', (_, isSuspended) => {
    it.each(PAUSES_MS)('for %d ms does not act on an ownership that has passed on', (pauseMs) => {
      for (const momentMs of MOMENTS_MS) {
        const { world } = createWorld(3, 2);
        const owner = world.owner!;
        const other = world.entries.find((entry) => entry !== owner)!;
        world.behave = () => ({ durationMs: 3_000, end: 'done' });
        world.submit(owner, JOB, [{ count: 1 }]);
        world.run(momentMs);
        world.freeze(owner, pauseMs, isSuspended);
        const peak = countPeakRuns(world, pauseMs + 15_000);
        expect({ momentMs, peak }).toEqual({ momentMs, peak: 1 });
        expect(world.entries.filter(({ state }) => state.ownership.role === 'owner').length).toBe(
          1,
        );
        const starts = world.listStarts(TASK).length;
        expect({ momentMs, starts }).toEqual({ momentMs, starts: 1 });
        expect(readPhase(world, other)).toBe('completed');
      }
    });
  });

  describe('with its instance while the store answers a call', () => {
    it.each(['renewal', 'commit'])('does not take the answer to a %s as new', (kind) => {
      const { world } = createWorld(3, 2);
      const owner = world.owner!;
      const { ownership, commit } = owner.state;
      const { renewAt } = ownership;
      if (kind === 'commit') {
        world.submit(owner, JOB, [{ count: 1 }]);
        while (commit.callId === '') world.run(1);
      } else {
        while (ownership.renewAt === renewAt) world.run(1);
      }
      owner.store = 'silent';
      world.freeze(owner, 12_000, true);
      world.run(12_100);
      const owners = world.entries.filter(({ state }) => state.ownership.role === 'owner');
      expect(owners).toHaveLength(1);
      expect(owners).not.toContain(owner);
    });
  });
});
