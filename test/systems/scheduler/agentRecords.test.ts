import { describe, expect, it } from 'vitest';
import { STORE_KEYS } from '../../../src/model/scheduler/jobRecord.ts';
import { createWorld, JOB, replaceOwner, TASK, writeValue } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { AgentNode } from '../../support/worldNodes.ts';

describe('the record of an agent that starts again', () => {
  it.each([1, 2])('does not lose the end of its worker in %i starts', (starts) => {
    const { world, agent } = createEndedWorld();
    const ended = readRecord(world, agent);
    expect(ended).toHaveProperty('goneWorker');
    restartAgent(world, agent, starts);
    expect(readRecord(world, agent)).toEqual(ended);
  });

  it.each([1, 2])('does not let the task wait for a lease after %i takeovers', (takeovers) => {
    const { world, agent } = createEndedWorld();
    restartAgent(world, agent, 1);
    for (let index = 0; index < takeovers; index += 1) {
      replaceOwner(world);
      world.run(50);
    }
    world.run(1_000);
    expect(world.listStarts(TASK)).toHaveLength(2);
  });

  it('does not keep the end of an earlier worker when a later one ends', () => {
    const { world, agent } = createEndedWorld();
    restartAgent(world, agent, 1);
    agent.hasTerminated = false;
    world.restartRunner(agent);
    world.run(500);
    const { startedMs } = agent.runner;
    world.leaveRunner(agent);
    world.run(500);
    expect(readRecord(world, agent)).toMatchObject({ goneWorker: { bornMs: startedMs } });
  });

  it('does not stay unreadable', () => {
    const { world, agent } = createEndedWorld();
    writeValue(world, STORE_KEYS.agent(agent.id), { address: 7 });
    restartAgent(world, agent, 1);
    expect(readRecord(world, agent)).toEqual({ address: 'agent-0:7000', zone: 'a' });
  });

  it('does not register for ever beside another writer', () => {
    const { world, agent } = createEndedWorld();
    const before = countRegistrations(world, agent);
    for (let index = 0; index < 20; index += 1) {
      writeValue(world, STORE_KEYS.agent(agent.id), { address: 'odd:1', zone: 'a' });
      world.run(10);
    }
    restartAgent(world, agent, 1);
    world.run(2_000);
    expect(countRegistrations(world, agent)).toBe(before + 1);
    expect(readRecord(world, agent)).toMatchObject({ address: 'agent-0:7000' });
  });
});

/** Creates a world whose owner is cut off from the store while the worker of a task ends. */
function createEndedWorld(): { readonly world: SchedulerWorld; readonly agent: AgentNode } {
  const { world } = createWorld(4, 2);
  const [agent, other] = world.agents;
  world.behave = () => ({ durationMs: 60_000, end: 'done' });
  other!.getFault = ({ op }) => (op === 'start' ? 'refused' : undefined);
  world.submit(world.owner!, JOB, [{ count: 1, longRunning: true }]);
  while (!agent!.runner.running.has(TASK)) world.run(5);
  other!.getFault = () => undefined;
  const starts = world.listStarts(TASK).length;
  expect(starts).toBe(1);
  world.run(1_000);
  world.owner!.store = 'silent';
  world.leaveRunner(agent!);
  world.run(300);
  return { world, agent: agent! };
}

function restartAgent(world: SchedulerWorld, agent: AgentNode, starts: number): void {
  for (let index = 0; index < starts; index += 1) {
    world.restartAgent(agent, 10);
    world.run(50);
  }
}

function readRecord(world: SchedulerWorld, agent: AgentNode): unknown {
  const read = world.store.handle({ op: 'read', key: STORE_KEYS.agent(agent.id) });
  return read.kind === 'entry' ? read.entry.value : undefined;
}

function countRegistrations(world: SchedulerWorld, agent: AgentNode): number {
  return world.logs.filter(({ node, event }) => node === agent.id && event === 'agent_registered')
    .length;
}
