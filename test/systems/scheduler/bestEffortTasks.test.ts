import { describe, expect, it } from 'vitest';
import type { StepSpec } from '../../../src/model/scheduler/jobSpec.ts';
import { jobSpecSchema, stepSpecSchema } from '../../../src/model/scheduler/jobSpec.ts';
import type { JobRow, TaskRow } from '../../../src/model/scheduler/rows.ts';
import type { ReadyTask, TaskOrder } from '../../../src/systems/scheduler/taskOrder.ts';
import { AgeOrder, LeastWorkOrder } from '../../../src/systems/scheduler/taskOrder.ts';
import { createJobId, createWorld } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import { BOUNDS } from '../../support/worldNodes.ts';

const SERVING = createJobId(1);
const TARGET_MS = 100;
const BEST_EFFORT_JOBS = 12;

/**
 * Creates one worker with a serving task whose slack is 3 alone and 0.5 less with each neighbor.
 */
function createServingWorld(
  bestEffortJobs = BEST_EFFORT_JOBS,
  bestEffortMs = 1_500,
): SchedulerWorld {
  const { world, entry } = createWorld(1, 1);
  world.behave = (task) =>
    task.startsWith(SERVING)
      ? {
          durationMs: 1_000,
          end: 'done',
          isStalled: true,
          computeLatencyMs: (others) => TARGET_MS / Math.max(0.2, 3 - 0.5 * others),
        }
      : { durationMs: bestEffortMs, end: 'done' };
  // Most of the worker is reserved, as with many serving tasks.
  const serving = { longRunning: true, targetMs: TARGET_MS, image: 'serving' };
  world.submit(entry, SERVING, [{ count: 1, cpuMillis: 6_000, ...serving }]);
  world.run(3_000);
  for (let index = 0; index < bestEffortJobs; index += 1)
    world.submit(entry, createJobId(10 + index), [
      { count: 1, cpuMillis: 500, fills: true, image: 'filling' },
    ]);
  return world;
}

function countBestEffort(world: SchedulerWorld): number {
  return world.agents.reduce((sum, { runner }) => sum + runner.running.size, 0) - 1;
}

/** Reads the present tail latency of the serving task, ms. */
function readLatency(world: SchedulerWorld): number {
  const runs = world.agents.flatMap(({ runner }) => runner.listRunning());
  return runs.find(({ task }) => task.startsWith(SERVING))?.load ?? 0;
}

/** Objective of the large jobs by the queue of the world: twice 2 s plus 0.5 s. */
const OBJECTIVE_MS = 4_500;

/**
 * Counts the large jobs that callers see completed within the objective and within three times it.
 */
function measureLargeJobs(): { readonly inTime: number; readonly inThreeTimes: number } {
  const { world, entry } = createWorld(1, 3);
  world.behave = (task) =>
    task.startsWith(SERVING)
      ? { durationMs: 0, end: 'done', isStalled: true, computeLatencyMs: () => TARGET_MS / 1.2 }
      : { durationMs: 2_000, end: 'done', processorShare: 1 / 8 };
  // Two workers have capacity only for their serving tasks; the third runs the large jobs.
  const serving = { longRunning: true, targetMs: TARGET_MS, image: 'serving' };
  world.submit(entry, SERVING, [{ count: 2, cpuMillis: 8_000, ...serving }]);
  world.run(3_000);
  const jobs = Array.from({ length: 8 }, (_, index) => createJobId(10 + index));
  const step = { count: 8, cpuMillis: 1_000, estimatedMs: 2_000, fills: true, image: 'filling' };
  for (const job of jobs) world.submit(entry, job, [step]);
  const countCompleted = (afterMs: number): number => {
    world.run(afterMs);
    const calls = jobs.map((job) => world.call(entry, job, { kind: 'read' }));
    world.run(100);
    const answers = calls.map((call) => entry.answers.get(call));
    return answers.filter((answer) => answer?.kind === 'phase' && answer.phase === 'completed')
      .length;
  };
  return {
    inTime: countCompleted(OBJECTIVE_MS - 100),
    inThreeTimes: countCompleted(2 * OBJECTIVE_MS - 100),
  };
}

function createReady(
  id: string,
  tasks: number,
  acceptedAt: number,
  priority = 0,
  more: Partial<StepSpec> = {},
): ReadyTask {
  const step = stepSpecSchema.parse({
    count: tasks,
    cpuMillis: 1_000,
    estimatedMs: 1_000,
    ...more,
  });
  const spec = jobSpecSchema.parse({ steps: [step] });
  const terms = {
    service: 'svc',
    priority,
    attempts: 3,
    stretch: 2,
    latencyObjectiveMs: 1_000,
  };
  const job = { queue: 'queue', service: 'svc', spec, acceptedAtMs: 0 };
  return {
    task: { id: `${id}.0.0.0`, jobId: id, step } as TaskRow,
    job: { id, job, terms, openTaskCount: tasks, acceptedAt } as JobRow,
  };
}

/** Counts the jobs of a burst that end within their objective when one task runs at a time. */
function countInTime(order: TaskOrder, sizes: readonly number[]): number {
  const remaining = new Map(sizes.map((size, index) => [`job-${index}`, size]));
  let now = 0;
  let inTime = 0;
  while (remaining.size > 0) {
    const ready = [...remaining].map(([id, tasks]) => createReady(id, tasks, 0));
    const [first] = order.sort(ready, now);
    if (first === undefined) break;
    now += 250;
    const remainingTasks = (remaining.get(first.job.id) ?? 0) - 1;
    if (remainingTasks > 0) remaining.set(first.job.id, remainingTasks);
    else remaining.delete(first.job.id);
    if (remainingTasks === 0 && now <= 3_000) inTime += 1;
  }
  return inTime;
}

describe('best-effort tasks', () => {
  describe('beside serving tasks', () => {
    it('does not start a whole burst at once where a serving task needs the slack', () => {
      const world = createServingWorld();
      // The slack of 3 allows six tasks of the assumed cost of 0.2, whose required slack is 1.7.
      world.run(1_200);
      expect(countBestEffort(world)).toBeGreaterThan(0);
      expect(countBestEffort(world)).toBeLessThanOrEqual(6);
    });

    it('does not violate the target of a serving task for the longest time that is allowed', () => {
      const world = createServingWorld();
      let overMs = 0;
      for (let step = 0; step < 400; step += 1) {
        world.run(100);
        overMs = readLatency(world) > TARGET_MS ? overMs + 100 : 0;
        expect(overMs).toBeLessThan(BOUNDS.harmMs);
        expect(countBestEffort(world)).toBeLessThan(BEST_EFFORT_JOBS);
      }
    });

    it('does not start more best-effort tasks than the serving task leaves processors for', () => {
      const { world, entry } = createWorld(1, 1);
      const behaviour = { durationMs: 60_000, end: 'done' } as const;
      world.behave = () => ({ ...behaviour, computeLatencyMs: () => TARGET_MS / 4 });
      const serving = { longRunning: true, targetMs: TARGET_MS, image: 'serving' };
      world.submit(entry, SERVING, [{ count: 1, cpuMillis: 6_000, ...serving }]);
      world.run(3_000);
      for (let index = 0; index < BEST_EFFORT_JOBS; index += 1)
        world.submit(entry, createJobId(10 + index), [
          { count: 1, cpuMillis: 1_000, fills: true, image: 'filling' },
        ]);
      world.run(10_000);
      // Of eight cores the serving task reserves six and uses three.
      expect(countBestEffort(world)).toBeGreaterThan(0);
      expect(countBestEffort(world)).toBeLessThanOrEqual(5);
    });

    it('does not delay long-running best-effort tasks while others of their job run', () => {
      const world = createServingWorld(0, 60_000);
      const longRunning = createJobId(50);
      world.submit(world.owner!, longRunning, [
        { count: 8, cpuMillis: 500, fills: true, longRunning: true, image: 'filling' },
      ]);
      world.run(6_000);
      for (let index = 0; index < 8; index += 1)
        expect(world.listStarts(`${longRunning}.0.0.${index}`)).not.toHaveLength(0);
    });

    it('does not delay a gang forever that requests more processors than there are', () => {
      const world = createServingWorld(0);
      const gang = createJobId(50);
      world.submit(world.owner!, gang, [
        { count: 12, cpuMillis: 1_000, fills: true, gang: true, image: 'filling' },
      ]);
      world.run(10_000);
      expect(world.owner!.state.jobs.get(gang)?.phase).toBe('completed');
    });

    it('does not delay a job forever', () => {
      const world = createServingWorld();
      world.run(40_000);
      for (let index = 0; index < BEST_EFFORT_JOBS; index += 1)
        expect(world.owner!.state.jobs.get(createJobId(10 + index))?.phase).toBe('completed');
    });
  });

  describe('on workers without serving tasks', () => {
    it('does not make every large job of a burst late by sharing the processors among all of them', () => {
      const { inTime, inThreeTimes } = measureLargeJobs();
      // One after the other, a job ends every 2 s.
      expect(inTime).toBeGreaterThanOrEqual(2);
      expect(inThreeTimes).toBeGreaterThanOrEqual(6);
    });
  });

  describe('order of a burst', () => {
    it('does not make every job late when some can be in time', () => {
      const sizes = [16, 9, 3, 14, 2, 6];
      expect(countInTime(LeastWorkOrder.create(), sizes)).toBe(3);
      expect(countInTime(AgeOrder.create(), sizes)).toBeLessThan(3);
    });

    it('does not start an overdue job before one that can be in time', () => {
      const overdue = createReady('hopeless', 1, -60_000);
      const large = createReady('large', 50, 0);
      expect(LeastWorkOrder.create().sort([overdue, large], 0)[0]?.job.id).toBe('large');
    });

    it('does not let a steady flow of jobs starve a long-running task', () => {
      const longRunning = createReady('lasting', 50, -60_000, 0, { longRunning: true });
      const small = createReady('small', 1, 0);
      expect(LeastWorkOrder.create().sort([small, longRunning], 0)[0]?.job.id).toBe('lasting');
    });

    it('does not start a small job of a less urgent queue first', () => {
      const small = createReady('small', 1, 0, 2);
      const urgent = createReady('urgent', 50, 0, 0);
      expect(LeastWorkOrder.create().sort([small, urgent], 0)[0]?.job.id).toBe('urgent');
    });
  });
});
