import { describe, expect, it } from 'vitest';
import { MemoryAdviser } from '../../../src/standins/memoryAdviser.ts';
import type { RunBehaviour } from '../../../src/standins/memoryRunner.ts';
import { createJobId, createWorld, readPhase, replaceOwner } from '../../support/jobWorld.ts';
import type { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { AgentNode } from '../../support/worldNodes.ts';
import { writeWorldConfiguration } from '../../support/worldNodes.ts';

/** A long-running task runs again at the latest 9 s after its last run. */
const LONGEST_WAIT_MS = 9_000;
const SAMPLE_INTERVAL_MS = 50;
/** Duration of the trouble of a worker. */
const TROUBLE_MS = 6_400;
const TICKET_VALID_MS = 800;

const LASTING: RunBehaviour = { durationMs: 1e9, end: 'done', computeLatencyMs: () => 10 };
const FAILING_START: RunBehaviour = { durationMs: 20, end: 'failed' };
const STEP = { longRunning: true, requiredLabel: 'large', cpuMillis: 100 };

/** Trouble of a worker: how it treats a start, or its runs. */
type Trouble = 'none' | 'failing' | 'refusing' | 'stalling';

/** A world in which only one worker has the label of the tasks. */
class LabelledWorld {
  trouble: Trouble = 'none';
  /** Overrides the behaviour of runs on the labelled worker while it is sound. */
  behave: (task: string, run: number) => RunBehaviour = () => LASTING;

  private constructor(
    readonly world: SchedulerWorld,
    readonly agent: AgentNode,
  ) {}

  static create(entries = 1): LabelledWorld {
    const { world } = createWorld(entries, 2);
    const labelled = new LabelledWorld(world, world.addAgent('labelled', { labels: ['large'] }));
    world.behaveOn = (agent, task, run) =>
      agent === labelled.agent ? labelled.computeBehaviour(task, run) : LASTING;
    labelled.agent.getFault = (call) =>
      labelled.trouble === 'refusing' && call.op === 'start' ? 'refused' : undefined;
    world.run(1_500);
    return labelled;
  }

  /** Makes the queue require tickets of an adviser that soon expire. */
  requireTickets(): void {
    const adviser = MemoryAdviser.create(TICKET_VALID_MS, () => true);
    this.world.adviser = adviser;
    const advice = { decideMs: 20, perWorkerMs: 1, validMs: TICKET_VALID_MS };
    writeWorldConfiguration(this.world.store, 2, 'svc', { advice });
    this.agent.runner.isTicketValid = (task, ticket) =>
      adviser.isValid(ticket, task, `worker-${this.agent.id}`, this.world.clock.now);
    this.world.run(1_500);
  }

  /** Submits a job and returns the name of its first task. */
  submit(index: number, step: Partial<typeof STEP> & { count?: number } = {}): string {
    const jobId = createJobId(index);
    this.world.submit(this.world.owner!, jobId, [{ count: 1, ...STEP, ...step }]);
    return `${jobId}.0.0.0`;
  }

  runInTrouble(trouble: Trouble, durationMs = TROUBLE_MS): void {
    this.trouble = trouble;
    this.world.run(durationMs);
    this.trouble = 'none';
  }

  /** Advances the clock and returns the longest time for which one of the tasks has no run. */
  measureLongestWait(tasks: readonly string[], durationMs: number): number {
    const lastRunAt = new Map(tasks.map((task) => [task, this.world.clock.now]));
    let longestMs = 0;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += SAMPLE_INTERVAL_MS) {
      this.world.run(SAMPLE_INTERVAL_MS);
      for (const [task, at] of lastRunAt) {
        longestMs = Math.max(longestMs, this.world.clock.now - at);
        if (this.agent.runner.running.has(task)) lastRunAt.set(task, this.world.clock.now);
      }
    }
    return longestMs;
  }

  private computeBehaviour(task: string, run: number): RunBehaviour {
    if (this.trouble === 'failing') return FAILING_START;
    if (this.trouble === 'stalling') return { durationMs: 1e9, end: 'done', isStalled: true };
    return this.behave(task, run);
  }
}

function listTasks(index: number, count: number): string[] {
  return Array.from({ length: count }, (_, task) => `${createJobId(index)}.0.0.${task}`);
}

describe('backoff of a worker', () => {
  describe('after its trouble', () => {
    it.each([
      { trouble: 'failing', takeovers: 0 },
      { trouble: 'failing', takeovers: 1 },
      { trouble: 'failing', takeovers: 2 },
      { trouble: 'refusing', takeovers: 0 },
      { trouble: 'stalling', takeovers: 0 },
    ] as const)(
      'does not keep a long-running task waiting when a run of another one fails, after $trouble and $takeovers takeovers',
      ({ trouble, takeovers }) => {
        const labelled = LabelledWorld.create(3);
        const { world } = labelled;
        labelled.behave = (task, run) =>
          task === failing && run === 1
            ? { ...LASTING, durationMs: 16_000, end: 'failed' }
            : LASTING;
        const failing = labelled.submit(1);
        world.run(3_000);
        labelled.trouble = trouble;
        const waiting = labelled.submit(2);
        for (let count = 0; count < takeovers; count += 1) {
          world.run(1_000);
          replaceOwner(world);
        }
        labelled.runInTrouble(trouble);
        expect(labelled.measureLongestWait([waiting, failing], 30_000)).toBeLessThan(
          LONGEST_WAIT_MS,
        );
      },
    );

    it.each([{ trouble: 'failing' }, { trouble: 'refusing' }, { trouble: 'stalling' }] as const)(
      'does not keep several long-running tasks waiting after $trouble',
      ({ trouble }) => {
        const labelled = LabelledWorld.create();
        labelled.trouble = trouble;
        labelled.submit(1, { count: 8 });
        labelled.submit(2, { count: 4 });
        labelled.runInTrouble(trouble);
        const tasks = [...listTasks(1, 8), ...listTasks(2, 4)];
        expect(labelled.measureLongestWait(tasks, 30_000)).toBeLessThan(LONGEST_WAIT_MS);
      },
    );

    it('does not stay on the longest backoff without a run that is done', () => {
      const labelled = LabelledWorld.create();
      const { world } = labelled;
      labelled.trouble = 'failing';
      const task = labelled.submit(1);
      labelled.runInTrouble('failing');
      world.run(30_000);
      labelled.behave = (name) => (name === other ? FAILING_START : LASTING);
      const other = labelled.submit(2);
      world.run(100);
      labelled.behave = () => LASTING;
      expect(labelled.measureLongestWait([other], 5_000)).toBeLessThan(1_000);
      expect(labelled.agent.runner.running.has(task)).toBe(true);
    });
  });

  describe('of a sound worker', () => {
    it('does not keep a long-running task waiting when tasks at work fail now and then', () => {
      const labelled = LabelledWorld.create();
      labelled.behave = (_task, run) => ({
        ...LASTING,
        durationMs: 4_000 + 700 * (run % 5),
        end: 'failed',
      });
      labelled.submit(1, { count: 12 });
      labelled.world.run(3_000);
      expect(labelled.measureLongestWait(listTasks(1, 12), 60_000)).toBeLessThan(1_500);
    });

    it('does not keep long-running tasks waiting when runs of an earlier owner fail', () => {
      const labelled = LabelledWorld.create(2);
      const { world } = labelled;
      labelled.behave = () => ({ ...LASTING, end: 'failed' });
      labelled.submit(1, { count: 6 });
      world.run(3_000);
      replaceOwner(world);
      for (const run of labelled.agent.runner.running.values())
        run.endsAtMs = world.clock.now + 500;
      expect(labelled.measureLongestWait(listTasks(1, 6), 10_000)).toBeLessThan(1_500);
    });

    it('does not keep long-running and other tasks waiting for one that fails at each start', () => {
      const labelled = LabelledWorld.create();
      const { world } = labelled;
      labelled.behave = (task) => {
        if (task.startsWith(createJobId(1))) return FAILING_START;
        return task.startsWith(createJobId(2)) ? LASTING : { durationMs: 500, end: 'done' };
      };
      labelled.submit(1);
      world.run(5_000);
      const lasting = labelled.submit(2);
      labelled.submit(3, { longRunning: false });
      expect(labelled.measureLongestWait([lasting], 20_000)).toBeLessThan(LONGEST_WAIT_MS);
      expect(readPhase(world, world.owner!, createJobId(3))).toBe('completed');
    });
  });

  describe('of a worker that fails all that it starts', () => {
    it('does not let long-running tasks start there without a bound', () => {
      const labelled = LabelledWorld.create();
      labelled.trouble = 'failing';
      labelled.submit(1, { count: 4 });
      labelled.submit(2, { count: 4 });
      labelled.world.run(5_000);
      const before = labelled.agent.runner.starts.length;
      labelled.runInTrouble('failing', 60_000);
      const starts = labelled.agent.runner.starts.length - before;
      expect(starts).toBeLessThanOrEqual(60 + 8 * 8);
    });

    it.each([{ hasTickets: false }, { hasTickets: true }])(
      'does not leave a long-running task without a start for long, with tickets $hasTickets',
      ({ hasTickets }) => {
        const labelled = LabelledWorld.create();
        const { world } = labelled;
        if (hasTickets) labelled.requireTickets();
        labelled.trouble = 'failing';
        const task = labelled.submit(1);
        labelled.runInTrouble('failing', 40_000);
        const times = labelled.agent.runner.starts
          .filter((start) => start.task === task)
          .map(({ at }) => at);
        const gaps = [...times, world.clock.now].slice(1).map((at, index) => at - times[index]!);
        expect(Math.max(...gaps)).toBeLessThan(4_000);
        expect(times.length).toBeLessThan(25);
      },
    );

    it('does not use up attempts of jobs because earlier long-running tasks work on there', () => {
      const labelled = LabelledWorld.create();
      const { world } = labelled;
      labelled.submit(1);
      world.run(5_000);
      world.behaveOn = (agent) =>
        agent === labelled.agent ? FAILING_START : { durationMs: 1_000, end: 'done' };
      const before = labelled.agent.runner.starts.length;
      for (let index = 10; index < 50; index += 1) {
        labelled.submit(index, { longRunning: false, requiredLabel: '', cpuMillis: 2_000 });
        world.run(500);
      }
      world.run(5_000);
      for (let index = 10; index < 50; index += 1)
        expect(readPhase(world, world.owner!, createJobId(index))).toBe('completed');
      expect(labelled.agent.runner.starts.length - before).toBeLessThan(12);
    });
  });
});
