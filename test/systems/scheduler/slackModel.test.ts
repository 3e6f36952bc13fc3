import { describe, expect, it } from 'vitest';
import { stepSpecSchema } from '../../../src/model/scheduler/jobSpec.ts';
import type { RunRow } from '../../../src/model/scheduler/rows.ts';
import { createSchedulerState } from '../../../src/model/scheduler/schedulerState.ts';
import {
  getBaseSlack,
  getPairCost,
  learnSlack,
} from '../../../src/systems/scheduler/slackModel.ts';
import { BOUNDS } from '../../support/worldNodes.ts';

const TARGET_MS = 100;
const BASE_SLACK = 2.5;
const COSTS = new Map([
  ['heavy', 0.8],
  ['light', 0.05],
]);

function createRun(image: string, isFilling: boolean, load = 0): RunRow {
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
      fills: isFilling,
      targetMs: isFilling ? 0 : TARGET_MS,
    }),
    checkpoint: '',
    percent: 100,
    load,
    pacePercent: 100,
    pacedAt: 0,
    placedAt: 0,
    progressAt: 0,
    attempts: 1,
    overSince: undefined,
    stopReason: undefined,
  };
}

describe('slack of serving tasks', () => {
  describe('with samples of several neighbours', () => {
    it('does not take a light filling image for a heavy one', () => {
      const state = createSchedulerState({
        id: 'entry',
        bootId: 'boot',
        zone: 'a',
        zones: ['a'],
        cores: 1,
        bounds: BOUNDS,
      });
      const neighbours = [[], ['heavy'], ['light'], ['heavy', 'light'], ['light', 'light']];
      for (let sample = 0; sample < 400; sample += 1) {
        const images = neighbours[sample % neighbours.length]!;
        const slack = images.reduce((left, image) => left - COSTS.get(image)!, BASE_SLACK);
        learnSlack(
          state,
          createRun('serving', false, TARGET_MS / slack),
          images.map((image) => createRun(image, true)),
        );
      }
      expect(getBaseSlack(state, 'serving')).toBeCloseTo(BASE_SLACK, 1);
      expect(getPairCost(state, 'serving', 'heavy')).toBeCloseTo(0.8, 1);
      expect(getPairCost(state, 'serving', 'light')).toBeCloseTo(0.05, 1);
    });
  });
});
