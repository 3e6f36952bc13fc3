import { describe, expect, it } from 'vitest';
import { countPeakRuns, TASK } from '../../support/jobWorld.ts';
import {
  createLastingWorld,
  cutOffWorker,
  loseWorker,
  measureIdleTime,
  replaceProcess,
} from '../../support/lostWorkers.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { AgentNode } from '../../support/worldNodes.ts';

/** A disruption counts for 3 s after its end; the rule then asks for 4 s and 3 s. */
const IDLE_AFTER_DISRUPTION_MS = 10_000;
const ENTRY_DOWN_MS = 500;
const OWNER_INTERVAL_MS = 2_500;
const STORE_OUTAGE_MS = 4_000;

type Act = (world: SchedulerWorld, agent: AgentNode) => void;

const AGENTS: [string, Act][] = [
  ['alive', () => undefined],
  ['started anew', restartAgent],
  ['gone for good', loseAgent],
];
const STORES: [string, boolean][] = [
  ['present', false],
  ['away', true],
];

describe.each([6_000, 10_000])('with leases of up to %d ms', (holdMaxMs) => {
  describe.each(AGENTS)('a long-running task whose agent is %s', (_, actOnAgent) => {
    describe.each(STORES)('and whose store is %s', (__, isStoreAway) => {
      it.each([0, 1, 2, 3])('does not wait beyond the rule after %i lost owners', (owners) => {
        const { world, agent } = createLastingWorld(holdMaxMs);
        loseWorker(agent);
        actOnAgent(world, agent);
        const calmAt = loseOwners(world, owners, isStoreAway, world.run.bind(world));
        measureIdleTime(world, 30_000);
        expect(world.clock.now - calmAt).toBeLessThan(IDLE_AFTER_DISRUPTION_MS);
      });

      it.each([0, 1, 2, 3])(
        'does not run twice when it is cut off, after %i lost owners',
        (owners) => {
          const { world, agent } = createLastingWorld(holdMaxMs);
          cutOffWorker(agent);
          actOnAgent(world, agent);
          let peak = 0;
          loseOwners(world, owners, isStoreAway, (ms) => {
            peak = Math.max(peak, countPeakRuns(world, ms));
          });
          expect(Math.max(peak, countPeakRuns(world, 25_000))).toBe(1);
          expect(world.listStarts(TASK).length).toBeLessThanOrEqual(2);
        },
      );
    });
  });
});

/** Kills owners in a row, with the store away from the first loss on, and returns the end of it. */
function loseOwners(
  world: SchedulerWorld,
  owners: number,
  isStoreAway: boolean,
  advance: (durationMs: number) => void,
): number {
  if (isStoreAway) for (const entry of world.entries) entry.store = 'silent';
  for (let index = 0; index < owners; index += 1) {
    advance(300);
    const owner = world.owner ?? world.entries.find(({ isUp }) => isUp);
    replaceProcess(world, owner!, ENTRY_DOWN_MS);
    advance(OWNER_INTERVAL_MS);
  }
  if (isStoreAway) {
    advance(STORE_OUTAGE_MS);
    for (const entry of world.entries) entry.store = 'up';
    return world.clock.now;
  }
  return world.clock.now - (owners === 0 ? 0 : OWNER_INTERVAL_MS - ENTRY_DOWN_MS);
}

function restartAgent(world: SchedulerWorld, agent: AgentNode): void {
  world.restartAgent(agent, ENTRY_DOWN_MS);
}

function loseAgent(world: SchedulerWorld, agent: AgentNode): void {
  world.disconnectAgent(agent);
  agent.frozenArrivals = [];
}
