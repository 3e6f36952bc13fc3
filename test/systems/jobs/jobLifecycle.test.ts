import { describe, expect, it } from 'vitest';
import { SHARD, ShardWorld } from '../../support/shardWorld.ts';

describe('job lifecycle', () => {
  describe('without faults', () => {
    it('does not lose a job between submission, ledger, worker and status report', () => {
      const world = ShardWorld.create();
      world.runUntil(() => world.owner !== undefined, 5_000, 'an owner');
      const submitted = world.submit(world.entries[0]!, 'a');
      world.runUntil(() => world.answers.has(submitted), 2_000, 'the answer');
      const { jobId } = world.getValue(submitted) as { jobId: string };
      expect(jobId.startsWith(`${SHARD}:`)).toBe(true);
      const tasks = world.owner!.state.tasks;
      world.runUntil(() => tasks.get(jobId)?.phase === 'finished', 15_000, 'the end of the job');
      expect(world.listStarts()).toHaveLength(1);
      const status = world.call(world.entries[1]!, { kind: 'status', jobId });
      world.run(1_000);
      expect(world.getValue(status)).toMatchObject({ phase: 'finished', attempts: 1 });
      expect(world.agents.flatMap((agent) => agent.state.worker?.status.runs ?? [])).toEqual([]);
    });
  });
});
