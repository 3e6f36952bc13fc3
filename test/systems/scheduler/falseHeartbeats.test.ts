import { describe, expect, it } from 'vitest';
import { countPeakRuns, createWorld, JOB, readPhase, TASK } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { AgentNode } from '../../support/worldNodes.ts';
import { createWorldWorker } from '../../support/worldNodes.ts';

/** Workers send heartbeats at this interval. */
const HEARTBEAT_INTERVAL_MS = 1_500;

/** Delivers a heartbeat of another writer, whose fields differ from those of the worker. */
function sendFalseHeartbeat(world: SchedulerWorld, agent: AgentNode, fields: object): void {
  const identity = { ...createWorldWorker(agent), ...fields };
  agent.loop.receive({ kind: 'workerBeat', heartbeat: { identity, sequence: 1_000 } });
  agent.loop.runTick();
  world.run(1);
}

/** Runs the world with the regular heartbeats of its workers. */
function runWithHeartbeats(world: SchedulerWorld, beats: number): number {
  let peak = 0;
  for (let beat = 0; beat < beats; beat += 1) {
    for (const agent of world.agents) world.sendHeartbeat(agent);
    peak = Math.max(peak, countPeakRuns(world, HEARTBEAT_INTERVAL_MS));
  }
  return peak;
}

describe('a heartbeat of another writer', () => {
  describe('beside running work', () => {
    it.each([
      ['another id and a later start', { id: 'odd', bornMs: 5_000 }],
      ['the same id and a later start', { bornMs: 5_000 }],
      ['another id, at an address that nobody serves', { id: 'silent', bornMs: 5_000 }],
      ['another id, and a service that does not exist', { id: 'odd', bornMs: 5_000, service: 'x' }],
    ])('with %s does not start running work again elsewhere', (_, fields) => {
      const { world, entry } = createWorld(1, 2);
      world.behave = () => ({ durationMs: 9_000, end: 'done' });
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(500);
      const agent = world.agents.find(({ runner }) => runner.running.has(TASK))!;
      sendFalseHeartbeat(world, agent, fields);
      expect(runWithHeartbeats(world, 5)).toBe(1);
      expect(world.listStarts(TASK)).toHaveLength(1);
      expect(agent.state.worker?.id).toBe(`worker-${agent.id}`);
      expect(agent.state.worker?.bornMs).toBe(agent.runner.startedMs);
      expect(runWithHeartbeats(world, 2)).toBe(1);
      expect(readPhase(world, entry)).toBe('completed');
    });
  });

  describe('before a restart', () => {
    it('does not keep a new incarnation of the worker from being used', () => {
      const { world, entry } = createWorld(1, 1);
      const agent = world.agents[0]!;
      sendFalseHeartbeat(world, agent, { id: 'odd', bornMs: 5_000 });
      world.run(300);
      world.restartRunner(agent);
      runWithHeartbeats(world, 2);
      world.submit(entry, JOB, [{ count: 1 }]);
      world.run(2_500);
      expect(readPhase(world, entry)).toBe('completed');
    });
  });
});
