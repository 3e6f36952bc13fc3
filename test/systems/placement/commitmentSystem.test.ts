import { describe, expect, it } from 'vitest';
import { Table } from '../../../src/base/common/table.ts';
import { checkCommitments } from '../../../src/systems/placement/commitmentCheck.ts';
import { createDemand, createFixture } from './placementFixture.ts';

describe('commitments', () => {
  describe('many cancellations at once', () => {
    const taskCount = 400;

    function createFullModel(): ReturnType<typeof createFixture> {
      const model = createFixture({ workers: 60 });
      for (let at = 0; at < taskCount; at += 1)
        model.submit({ id: `t${at}`, pool: 'batch', demand: createDemand(1) }, 1_000);
      model.runFor(20_000);
      return model;
    }

    it('are not applied in a single tick and never commit less than is in use', () => {
      const model = createFullModel();
      expect(model.state.placement.claims.size).toBe(taskCount);
      for (let at = 0; at < taskCount; at += 1) model.stopJob(`t${at}`);
      let largestRelease = 0;
      let previousClaims = taskCount;
      model.runFor(10_000, () => {
        largestRelease = Math.max(
          largestRelease,
          previousClaims - model.state.placement.claims.size,
        );
        previousClaims = model.state.placement.claims.size;
        const assigned = [...model.state.tasks.values()].filter((row) => row.phase === 'assigned');
        expect(previousClaims).toBeGreaterThanOrEqual(assigned.length);
      });
      expect(largestRelease).toBeLessThanOrEqual(120);
      expect(model.state.placement.claims.size).toBe(0);
      expect(checkCommitments(model.state)).toEqual([]);
    });
  });

  describe('change sets with a filter', () => {
    it('do not collect changes that the filter rejects and do not miss an insert or removal', () => {
      const table = Table.create<{ id: string; phase: string; atMs: number }>('runs');
      const changes = table.addChangeSet((a, b) => a?.phase !== b?.phase);
      table.set({ id: 'a', phase: 'running', atMs: 1 });
      expect([...changes]).toEqual(['a']);
      changes.clear();
      table.update('a', { atMs: 2 });
      expect([...changes]).toEqual([]);
      table.remove('a');
      expect([...changes]).toEqual(['a']);
    });
  });
});
