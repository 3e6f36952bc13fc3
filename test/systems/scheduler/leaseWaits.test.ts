import { describe, expect, it } from 'vitest';
import { listSchedulerGauges } from '../../../src/daemons/schedulerGauges.ts';
import { buildJobExplanation } from '../../../src/systems/scheduler/jobExplanation.ts';
import { createWorld, JOB, replaceOwner, TASK } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { AgentNode, EntryNode } from '../../support/worldNodes.ts';

/** Creates a world in which the long-running task runs on a worker that is lost. */
function createSilentWorld(): { world: SchedulerWorld; lost: AgentNode } {
  const { world, entry } = createWorld(3, 2);
  world.behave = () => ({ durationMs: 1e9, end: 'done', computeLatencyMs: () => 10 });
  world.submit(entry, JOB, [{ longRunning: true }]);
  world.run(2_000);
  const lost = world.agents.find(({ runner }) => runner.running.has(TASK))!;
  lost.runner.running.clear();
  lost.hasTerminated = true;
  return { world, lost };
}

function readGauge(world: SchedulerWorld, { state }: EntryNode, name: string): number {
  return listSchedulerGauges(state, world.clock.now).find((gauge) => gauge.name === name)!.value;
}

function explainRun(world: SchedulerWorld, { state }: EntryNode): string {
  const explanation = buildJobExplanation(state, JOB, world.clock.now);
  return explanation.kind === 'job' ? explanation.runs.map(({ why }) => why).join() : '';
}

function listLogs(world: SchedulerWorld, { id }: EntryNode, event: string): object[] {
  return world.logs
    .filter((log) => log.node === id && log.event === event)
    .map((log) => log.fields);
}

describe('the wait for the lease of a silent worker', () => {
  describe('is not hidden', () => {
    it('while the owner stays', () => {
      const { world } = createSilentWorld();
      const owner = world.owner!;
      world.run(3_500);
      expect(listLogs(world, owner, 'lease_awaited')).toMatchObject([
        { runs: 1, task: TASK, grantedBy: 'thisOwner', epoch: 1 },
      ]);
      expect(explainRun(world, owner)).toMatch(
        /^its worker is silent for \d+ ms; a lease of this owner may last for \d+ ms$/,
      );
      expect(readGauge(world, owner, 'lease_waits')).toBe(1);
      expect(readGauge(world, owner, 'lease_wait_left_ms')).toBeGreaterThan(0);
    });

    it('from the operator after a takeover', () => {
      const { world } = createSilentWorld();
      const next = replaceOwner(world);
      world.run(3_000);
      expect(listLogs(world, next, 'lease_awaited')).toMatchObject([
        { runs: 1, task: TASK, grantedBy: 'earlierOwner', epoch: 2 },
      ]);
      expect(explainRun(world, next)).toContain('a lease of an earlier owner');
    });

    it('without the reason why no agent shortens it', () => {
      const { world, lost } = createSilentWorld();
      world.disconnectAgent(lost);
      lost.frozenArrivals = [];
      const next = replaceOwner(world);
      world.run(3_000);
      const [wait] = listLogs(world, next, 'lease_awaited');
      expect(wait).toHaveProperty('agentLink');
      expect(wait).not.toMatchObject({ agentLink: 'open' });
      expect(wait).not.toHaveProperty('reportedLeaseMs');
      expect(explainRun(world, next)).toContain('and its agent is out of reach');
    });

    it('without the rest that a restarted agent has reported', () => {
      const { world, lost } = createSilentWorld();
      world.restartAgent(lost, 100);
      const next = replaceOwner(world);
      world.run(3_000);
      const [wait] = listLogs(world, next, 'lease_awaited');
      expect(wait).toMatchObject({ agentLink: 'open' });
      expect(wait).toHaveProperty('reportedLeaseMs');
    });

    it('when it ends', () => {
      const { world } = createSilentWorld();
      const owner = world.owner!;
      world.run(8_000);
      expect(listLogs(world, owner, 'lease_wait_ended')).toMatchObject([{ outcome: 'expired' }]);
      expect(readGauge(world, owner, 'lease_waits')).toBe(0);
    });
  });

  describe('of a worker that answers again', () => {
    it('does not stay in the log as open', () => {
      const { world, entry } = createWorld(1, 1);
      world.behave = () => ({ durationMs: 1e9, end: 'done', computeLatencyMs: () => 10 });
      world.submit(entry, JOB, [{ longRunning: true }]);
      world.run(2_000);
      const [agent] = world.agents;
      agent!.getFault = () => 'dropped';
      world.run(2_800);
      agent!.getFault = () => undefined;
      world.run(2_000);
      expect(listLogs(world, entry, 'lease_wait_ended')).toMatchObject([{ outcome: 'reported' }]);
      expect(readGauge(world, entry, 'lease_waits')).toBe(0);
      expect(world.listStarts(TASK)).toHaveLength(1);
    });
  });
});

describe('a long-running task that is ready', () => {
  it('does not wait for a worker without a reason in the log', () => {
    const { world, entry } = createWorld(1, 1);
    world.submit(entry, JOB, [{ longRunning: true, cpuMillis: 99_000 }]);
    world.run(5_000);
    expect(listLogs(world, entry, 'task_waiting')).toContainEqual(
      expect.objectContaining({
        task: TASK,
        reason: 'no room: too few cores free (1 worker)',
        epoch: 1,
      }),
    );
  });

  it('does not fill the log when it is not long-running', () => {
    const { world, entry } = createWorld(1, 1);
    world.submit(entry, JOB, [{ cpuMillis: 99_000 }]);
    world.run(5_000);
    expect(listLogs(world, entry, 'task_waiting')).toEqual([]);
  });
});
