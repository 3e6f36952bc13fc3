import { describe, expect, it } from 'vitest';
import { createJobId, createWorld } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';

const SERVING = createJobId(1);
const TARGET_MS = 100;

/** Creates a worker whose best-effort tasks are throttled for a serving task with a given slack. */
function createSlowedWorld(): { world: SchedulerWorld; setSlack: (slack: number) => void } {
  const { world, entry } = createWorld(3, 1);
  let slack = 3;
  world.behave = (task) =>
    task.startsWith(SERVING)
      ? {
          durationMs: 0,
          end: 'done',
          isStalled: true,
          computeLatencyMs: () => TARGET_MS / slack,
        }
      : { durationMs: 60_000, end: 'done' };
  const serving = { longRunning: true, targetMs: TARGET_MS, image: 'serving', cpuMillis: 2_000 };
  world.submit(entry, SERVING, [{ count: 1, ...serving }]);
  world.run(3_000);
  for (let index = 0; index < 4; index += 1)
    world.submit(entry, createJobId(10 + index), [
      { count: 1, cpuMillis: 200, fills: true, image: 'filling' },
    ]);
  world.run(3_000);
  slack = 0.5;
  world.run(4_000);
  return { world, setSlack: (next) => (slack = next) };
}

function listPaces(world: SchedulerWorld): number[] {
  return [...world.agents[0]!.runner.running.values()]
    .filter(({ task }) => !task.startsWith(SERVING))
    .map(({ pacePercent }) => pacePercent);
}

describe('pace of best-effort tasks', () => {
  describe('after a change of the owner', () => {
    it('does not stay low after the owner that throttled them is killed', () => {
      const { world, setSlack } = createSlowedWorld();
      expect(listPaces(world)).toEqual([0, 0, 0, 0]);
      world.kill(world.owner!);
      world.run(3_000);
      setSlack(3);
      world.run(3_000);
      expect(listPaces(world)).toEqual([100, 100, 100, 100]);
    });

    it('does not stay low when the serving task ends while there is no owner', () => {
      const { world } = createSlowedWorld();
      world.kill(world.owner!);
      world.call(
        world.entries.find(({ isUp }) => isUp)!,
        SERVING,
        { kind: 'cancel' },
      );
      world.run(6_000);
      expect(listPaces(world)).toEqual([100, 100, 100, 100]);
    });
  });
});
