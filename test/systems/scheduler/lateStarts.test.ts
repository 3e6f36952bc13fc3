import { describe, expect, it } from 'vitest';
import { countPeakRuns, JOB, replaceOwner } from '../../support/jobWorld.ts';
import { createLeaseWorld } from '../../support/lostWorkers.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';

describe('a start that is executed late by the next incarnation of its worker', () => {
  it.each([
    ['the owner stays', false],
    ['the owner changes', true],
  ])('does not run its task twice when that one is reachable and %s', (_, hasTakeover) => {
    expect(playLateStart(hasTakeover, false)).toBe(1);
  });

  it.each([
    ['the owner stays', false],
    ['the owner changes', true],
  ])('does not run its task twice when that one is cut off and %s', (_, hasTakeover) => {
    expect(playLateStart(hasTakeover, true)).toBe(1);
  });
});

/** Plays a start without an answer, whose worker then restarts, and counts the runs at a time. */
function playLateStart(hasTakeover: boolean, isCutOff: boolean): number {
  const world = createLeaseWorld(6_000, 4, 3);
  world.behave = () => ({ durationMs: 1e9, end: 'done', computeLatencyMs: () => 10 });
  for (const agent of world.agents)
    agent.getFault = ({ op }) => (op === 'start' ? 'late' : undefined);
  world.submit(world.entries[0]!, JOB, [{ longRunning: true }]);
  world.run(100);
  restartWorker(world, isCutOff);
  world.run(20);
  if (hasTakeover) replaceOwner(world);
  return countPeakRuns(world, 20_000);
}

function restartWorker(world: SchedulerWorld, isCutOff: boolean): void {
  const agent = world.agents.find(({ state }) => state.commands.size > 0)!;
  for (const other of world.agents) other.getFault = () => undefined;
  if (isCutOff) agent.getFault = () => 'dropped';
  const { maxLeaseMs } = agent.runner;
  world.restartRunner(agent);
  agent.runner.maxLeaseMs = maxLeaseMs;
}
