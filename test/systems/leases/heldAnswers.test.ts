import { describe, expect, it } from 'vitest';
import type { EntryState } from '../../../src/model/entryState.ts';
import type { OwnerAnswerRow } from '../../../src/model/heldExchange.ts';
import { STEP_MS } from '../../support/shardWorld.ts';
import { getTask, startWorld, submitJob } from '../../support/shardSteps.ts';

/** Lists workers whose held answer was rebuilt without a new report of theirs. */
function collectRebuilt(state: EntryState, before: ReadonlyMap<string, OwnerAnswerRow>): string[] {
  return [...state.ownerAnswers.values()].flatMap((answer) => {
    const previous = before.get(answer.id);
    const workerId = state.heldExchanges.get(answer.id)?.worker?.workerId;
    return previous === undefined || previous === answer || workerId === undefined
      ? []
      : [workerId];
  });
}

describe('answers to held exchanges', () => {
  describe('a change of one task', () => {
    it('does not rebuild the answers of other workers', () => {
      const { world, owner } = startWorld({ workers: 4, workMs: 60_000 });
      world.run(3_000);
      const jobId = submitJob(world, owner, 'a');
      const rebuilt = new Set<string>();
      for (let step = 0; step < 100; step += 1) {
        const before = new Map(owner.state.ownerAnswers.list().map((row) => [row.id, row]));
        world.run(STEP_MS);
        for (const workerId of collectRebuilt(owner.state, before)) rebuilt.add(workerId);
      }
      const workerId = getTask(world, jobId)?.workerId;
      expect(workerId).toBeDefined();
      expect([...rebuilt].filter((id) => id !== workerId)).toEqual([]);
    });
  });
});
