import { describe, expect, it } from 'vitest';
import { Table } from '../../../src/base/common/table.ts';
import { checkCommitments } from '../../../src/systems/placement/commitmentCheck.ts';
import { createDemand, createFixture } from './placementFixture.ts';

describe('commitments', () => {
  describe('a wave of cancellations', () => {
    const tasks = 400;

    function createFullModel(): ReturnType<typeof createFixture> {
      const model = createFixture({ workers: 60 });
      for (let at = 0; at < tasks; at += 1)
        model.submit({ id: `t${at}`, pool: 'batch', demand: createDemand(1) }, 1_000);
      model.runFor(20_000);
      return model;
    }

    it('is not applied whole in one turn, and commits no less than is in use', () => {
      const model = createFullModel();
      expect(model.state.placement.claims.size).toBe(tasks);
      for (let at = 0; at < tasks; at += 1) model.stopJob(`t${at}`);
      let largest = 0;
      let before = tasks;
      model.runFor(10_000, () => {
        largest = Math.max(largest, before - model.state.placement.claims.size);
        before = model.state.placement.claims.size;
        const open = [...model.state.tasks.values()].filter((row) => row.phase === 'assigned');
        expect(before).toBeGreaterThanOrEqual(open.length);
      });
      expect(largest).toBeLessThanOrEqual(120);
      expect(model.state.placement.claims.size).toBe(0);
      expect(checkCommitments(model.state)).toEqual([]);
    });
  });

  describe('change sets with a filter', () => {
    it('do not collect changes that the filter refuses, and miss no insert or removal', () => {
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
