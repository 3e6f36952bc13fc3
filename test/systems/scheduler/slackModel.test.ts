import { describe, expect, it } from 'vitest';
import { stepSpecSchema } from '../../../src/model/scheduler/jobSpec.ts';
import type { RunRow } from '../../../src/model/scheduler/rows.ts';
import type { SchedulerState } from '../../../src/model/scheduler/schedulerState.ts';
import { createSchedulerState } from '../../../src/model/scheduler/schedulerState.ts';
import {
  getBaseSlack,
  getPairCost,
  updateSlackModel,
} from '../../../src/systems/scheduler/slackModel.ts';
import { BOUNDS } from '../../support/worldNodes.ts';

const TARGET_MS = 100;
const BASE_SLACK = 2.5;
const COSTS = new Map([
  ['heavy', 0.8],
  ['light', 0.05],
]);

function createRun(image: string, isBestEffort: boolean, load = 0): RunRow {
  return {
    id: `${image}#1`,
    taskId: image,
    jobId: 'job',
    run: 1,
    workerKey: 'agent|worker|1',
    phase: 'running',
    placedChange: 0,
    step: stepSpecSchema.parse({
      count: 1,
      image,
      fills: isBestEffort,
      targetMs: isBestEffort ? 0 : TARGET_MS,
    }),
    checkpoint: '',
    percent: 100,
    load,
    pacePercent: 100,
    isPaceKnown: true,
    paceChangedAt: 0,
    paceSentAt: 0,
    placedAt: 0,
    progressAt: 0,
    startAttempts: 1,
    overTargetSince: undefined,
    unlistedSince: undefined,
    longLeaseEndsAt: Number.NEGATIVE_INFINITY,
    stopReason: undefined,
  };
}

function createState(): SchedulerState {
  return createSchedulerState({
    id: 'entry',
    bootId: 'boot',
    zone: 'a',
    zones: ['a'],
    cores: 1,
    bounds: BOUNDS,
  });
}

describe('slack of serving tasks', () => {
  describe('with samples of several neighbors', () => {
    it('does not estimate a light best-effort image as a heavy one', () => {
      const state = createState();
      const neighbours = [[], ['heavy'], ['light'], ['heavy', 'light'], ['light', 'light']];
      for (let sample = 0; sample < 400; sample += 1) {
        const images = neighbours[sample % neighbours.length]!;
        const slack = images.reduce(
          (slackLeft, image) => slackLeft - COSTS.get(image)!,
          BASE_SLACK,
        );
        const serving = createRun('serving', false, TARGET_MS / slack);
        updateSlackModel(state, [
          { serving, bestEffort: images.map((image) => createRun(image, true)) },
        ]);
      }
      expect(getBaseSlack(state, 'serving')).toBeCloseTo(BASE_SLACK, 1);
      expect(getPairCost(state, 'serving', 'heavy')).toBeCloseTo(0.8, 1);
      expect(getPairCost(state, 'serving', 'light')).toBeCloseTo(0.05, 1);
    });
  });

  describe('with a changing load', () => {
    it('does not count a rise of the load as the cost of a best-effort image', () => {
      const state = createState();
      for (let evaluation = 0; evaluation < 56; evaluation += 1) {
        // The slack changes by half within 28 evaluations; the light image runs only while it
        // falls.
        const angle = (2 * Math.PI * evaluation) / 28;
        const alone = BASE_SLACK * (1 + 0.5 * Math.cos(angle));
        const bestEffort = Math.sin(angle) > 0 ? [createRun('light', true)] : [];
        const cost = bestEffort.length * COSTS.get('light')!;
        updateSlackModel(state, [
          {
            serving: createRun('serving', false, TARGET_MS / (alone - cost)),
            bestEffort,
          },
          { serving: createRun('serving', false, TARGET_MS / alone), bestEffort: [] },
        ]);
      }
      expect(getPairCost(state, 'serving', 'light')).toBeLessThan(0.1);
    });

    it('does not need many samples to detect a heavy best-effort image', () => {
      const state = createState();
      for (let evaluation = 0; evaluation < 6; evaluation += 1) {
        const alone = BASE_SLACK + 0.2 * evaluation;
        const bestEffort = evaluation > 2 ? [createRun('heavy', true)] : [];
        const cost = bestEffort.length * COSTS.get('heavy')!;
        updateSlackModel(state, [
          {
            serving: createRun('serving', false, TARGET_MS / (alone - cost)),
            bestEffort,
          },
          { serving: createRun('serving', false, TARGET_MS / alone), bestEffort: [] },
        ]);
      }
      expect(getPairCost(state, 'serving', 'heavy')).toBeGreaterThan(0.6);
    });
  });
});
