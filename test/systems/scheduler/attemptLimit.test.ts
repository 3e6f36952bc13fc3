import { describe, expect, it } from 'vitest';
import { createWorld, JOB, readPhase } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { EntryNode } from '../../support/worldNodes.ts';
import { writeWorldConfiguration } from '../../support/worldNodes.ts';

const ATTEMPTS = 2;

/** Adds an entry that cannot read the operator's keys until the returned `configure` is called. */
function addUnconfiguredEntry(world: SchedulerWorld): { entry: EntryNode; configure: () => void } {
  const entry = world.addEntry('unconfigured');
  const receive = entry.loop.receive.bind(entry.loop);
  let isBlocked = true;
  entry.loop.receive = (arrival) => {
    const isOperatorReply = arrival.kind === 'storeReply' && arrival.callId.startsWith('operator');
    if (isBlocked && isOperatorReply)
      receive({ ...arrival, reply: { kind: 'unavailable', message: 'no answer in time' } });
    else receive(arrival);
  };
  return { entry, configure: () => (isBlocked = false) };
}

describe('attempt limit of a task', () => {
  it.each([{}, { gang: true }])(
    'is not exceeded by a step with %j that fails before its owner has loaded the configuration',
    (step) => {
      const { world, entry } = createWorld(1, 3);
      writeWorldConfiguration(world.store, 2, 'svc', { attempts: ATTEMPTS });
      world.run(2_000);
      world.behave = () => ({ durationMs: 600, end: 'failed' });
      world.submit(entry, JOB, [{ count: 1, ...step }]);
      while (world.listStarts(`${JOB}.0.0.0`).length < ATTEMPTS) world.run(10);
      world.kill(entry);
      const next = addUnconfiguredEntry(world);
      world.run(5_000);
      expect(next.entry.state.ownership.role).toBe('owner');
      next.configure();
      world.run(5_000);
      expect(world.listStarts(`${JOB}.0.0.0`)).toHaveLength(ATTEMPTS);
      expect(readPhase(world, next.entry)).toBe('failed');
    },
  );
});
