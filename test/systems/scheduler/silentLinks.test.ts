import { describe, expect, it } from 'vitest';
import { createWorld, JOB, readPhase } from '../../support/jobWorld.ts';

describe('silent link detection', () => {
  describe('on a link that is silent only from the owner to the agent', () => {
    it('does not leave a task waiting for a start that never arrives', () => {
      const { world, entry } = createWorld(1, 1);
      const [agent] = world.agents;
      agent!.lossyLinkId = agent!.links.get(entry.id) ?? '';
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(12_000);
      expect(readPhase(world, entry)).toBe('completed');
    });

    it('does not let leases expire before a new link carries their renewal', () => {
      const { world, entry } = createWorld(1, 1);
      const [agent] = world.agents;
      world.behave = () => ({ durationMs: 9_000, end: 'done' });
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(1_000);
      agent!.lossyLinkId = agent!.links.get(entry.id) ?? '';
      world.run(12_000);
      expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(1);
      expect(readPhase(world, entry)).toBe('completed');
    });
  });

  describe('on a link to an agent without a worker', () => {
    it('does not reopen a working link', () => {
      const { world } = createWorld(1, 1);
      world.addAgent('agent-idle');
      world.leaveRunner(world.agents[1]!);
      world.run(20_000);
      expect(world.logs.filter(({ event }) => event === 'owner_lost')).toEqual([]);
    });
  });
});
