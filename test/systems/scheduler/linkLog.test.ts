import { describe, expect, it } from 'vitest';
import { createWorld } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';

function countLogs(world: SchedulerWorld, event: string, node?: string): number {
  return world.logs.filter((log) => log.event === event && (node ?? log.node) === log.node).length;
}

describe('log of links', () => {
  describe('from the owner to an agent', () => {
    it('does not omit that an agent is unreachable, or repeat it with every attempt', () => {
      const { world } = createWorld(1, 2);
      expect(countLogs(world, 'agent_linked')).toBe(2);
      world.disconnectAgent(world.agents[0]!);
      world.run(8_000);
      expect(countLogs(world, 'agent_unlinked')).toBe(1);
      world.agents[0]!.isReachable = true;
      world.run(3_000);
      expect(countLogs(world, 'agent_linked')).toBe(3);
    });

    it('does not omit that an agent was never reached', () => {
      const { world } = createWorld(1, 1);
      const agent = world.addAgent('agent-9');
      agent.isReachable = false;
      world.run(6_000);
      expect(countLogs(world, 'agent_unlinked')).toBe(1);
    });
  });

  describe('from an entry to the owner', () => {
    it('does not omit the loss of the owner or the link to its successor', () => {
      const { world } = createWorld(3, 1);
      const third = world.entries.find((entry) => entry !== world.owner)!;
      expect(countLogs(world, 'owner_linked', third.id)).toBeGreaterThan(0);
      world.kill(world.owner!);
      world.run(6_000);
      const followers = world.entries.filter((entry) => entry.isUp && entry !== world.owner);
      for (const { id } of followers) {
        expect(countLogs(world, 'owner_unlinked', id)).toBe(1);
        expect(countLogs(world, 'owner_linked', id)).toBeGreaterThan(1);
      }
    });
  });
});
