import { describe, expect, it } from 'vitest';
import { createJobId, createWorld, readPhase } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { AgentNode, EntryNode } from '../../support/worldNodes.ts';
import { BOUNDS } from '../../support/worldNodes.ts';

const SERVING = createJobId(1);
const BEST_EFFORT = createJobId(2);
const TARGET_MS = 100;
const BEST_EFFORT_MS = 4_000;
/** Time in which a task that is no longer throttled must complete, including a takeover. */
const DONE_WITHIN_MS = 9_000;

interface PacedWorld {
  readonly world: SchedulerWorld;
  readonly entry: EntryNode;
  readonly agent: AgentNode;
  /** Sets the slack of the serving task without neighbors. */
  readonly setSlack: (slack: number) => void;
}

/** Creates a best-effort task beside a serving task, which it costs a slack of 0.5. */
function createPacedWorld(): PacedWorld {
  const { world } = createWorld(2, 1);
  const entry = world.entries.find((other) => other !== world.owner)!;
  let slackAlone = 3;
  world.behave = (task) =>
    task.startsWith(SERVING)
      ? {
          durationMs: 0,
          end: 'done',
          isStalled: true,
          computeLatencyMs: (others) => TARGET_MS / Math.max(0.2, slackAlone - 0.5 * others),
        }
      : { durationMs: BEST_EFFORT_MS, end: 'done' };
  const serving = { longRunning: true, targetMs: TARGET_MS, image: 'serving' };
  world.submit(entry, SERVING, [{ count: 1, cpuMillis: 6_000, ...serving }]);
  world.run(3_000);
  world.submit(entry, BEST_EFFORT, [{ count: 1, cpuMillis: 500, fills: true, image: 'filling' }]);
  world.run(1_000);
  return {
    world,
    entry,
    agent: world.agents[0]!,
    setSlack: (slack) => {
      slackAlone = slack;
    },
  };
}

/** Reads the pace of the best-effort task at its worker, percent. */
function readPace({ runner }: AgentNode): number | undefined {
  return [...runner.running.values()].find(({ task }) => task.startsWith(BEST_EFFORT))?.pacePercent;
}

/** Measures the longest time for which the serving task exceeds its target, ms. */
function measureOverMs({ world, agent }: PacedWorld, durationMs: number): number {
  let overMs = 0;
  let longestMs = 0;
  for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
    world.run(100);
    const serving = agent.runner.listRunning().find(({ task }) => task.startsWith(SERVING));
    overMs = (serving?.load ?? 0) > TARGET_MS ? overMs + 100 : 0;
    longestMs = Math.max(longestMs, overMs);
  }
  return longestMs;
}

describe('paces of best-effort tasks', () => {
  describe('after a takeover', () => {
    it('do not stay as low as the previous owner set them', () => {
      const { world, entry, agent, setSlack } = createPacedWorld();
      setSlack(1.1);
      world.run(3_000);
      expect(readPace(agent)).toBe(0);
      world.kill(world.owner!);
      setSlack(3);
      world.run(DONE_WITHIN_MS);
      expect(readPhase(world, entry, BEST_EFFORT)).toBe('completed');
    });

    it('do not violate the target of a serving task for the longest time that is allowed', () => {
      const paced = createPacedWorld();
      paced.setSlack(1.1);
      paced.world.run(3_000);
      paced.world.kill(paced.world.owner!);
      expect(measureOverMs(paced, 8_000)).toBeLessThan(BOUNDS.harmMs);
    });
  });

  describe('whose command is lost', () => {
    it('do not stay low when there is slack again', () => {
      const { world, entry, agent, setSlack } = createPacedWorld();
      setSlack(1.1);
      world.run(3_000);
      expect(readPace(agent)).toBe(0);
      agent.getFault = (call) => (call.op === 'pace' ? 'dropped' : undefined);
      setSlack(3);
      world.run(3_000);
      agent.getFault = () => undefined;
      world.run(DONE_WITHIN_MS);
      expect(readPhase(world, entry, BEST_EFFORT)).toBe('completed');
    });

    it('do not stay high beside a serving task without slack', () => {
      const paced = createPacedWorld();
      paced.agent.getFault = (call) => (call.op === 'pace' ? 'dropped' : undefined);
      paced.setSlack(1.1);
      paced.world.run(3_500);
      paced.agent.getFault = () => undefined;
      expect(measureOverMs(paced, 3_000)).toBeLessThan(BOUNDS.harmMs / 2);
    });
  });
});
