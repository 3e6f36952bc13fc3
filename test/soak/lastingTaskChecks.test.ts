import { beforeEach, describe, expect, it } from 'vitest';
import { SOAK_BOUNDS } from './bounds.ts';
import { AcceptedJobCheck, BudgetCheck, CompletionCheck } from './checks/outcomeCheck.ts';
import { SoakHistory } from './history.ts';
import type { JobRow, RunRow, WorkerRow } from './rows.ts';

const JOB = '00000000000000b1';
const TASK = `${JOB}.0.1.0`;
/** When the worker of the first run is lost. */
const LOST_AT = 20_000;

describe('checks of lasting tasks', () => {
  let history: SoakHistory;

  /** A job whose lasting task ran on a worker that was lost, beside another worker with room for two. */
  beforeEach(() => {
    history = SoakHistory.create();
    history.now = 60_000;
    setJob({});
    setWorker('w-1', { downAt: LOST_AT });
    setWorker('w-2', { zone: 'b' });
    setRun({
      task: `${JOB}.0.0.0`,
      step: 0,
      startedAt: 110,
      endedAt: 200,
      how: 'done',
      notedAt: 210,
    });
    setRun({ startedAt: 300, endedAt: LOST_AT });
  });

  function setJob(fields: Partial<JobRow>): void {
    const step = { count: 1, cpuMillis: 500, memoryMb: 500, requiredLabel: '', after: [] };
    history.jobs.set({
      id: JOB,
      payload: 'work',
      attempts: 2,
      steps: [
        { ...step, isLongRunning: false },
        { ...step, after: [0], isLongRunning: true },
      ],
      submissions: [],
      acceptedAt: 100,
      looks: [],
      ...fields,
    });
  }

  function setWorker(id: string, fields: Partial<WorkerRow>): void {
    const size = { cpuMillis: 1_000, memoryMb: 1_000, labels: [] };
    const worker = { id, agent: `agent-of-${id}`, zone: 'a', ...size, upAt: 0, lapses: [] };
    history.workers.set({ ...worker, ...fields });
  }

  function setRun(fields: Partial<RunRow>): void {
    const { task = TASK, step = 1, run = 1, worker = 'w-1', startedAt = 0 } = fields;
    const id = `${worker}/${task}/${run}`;
    const common = { payload: 'work', checkpoint: '', isLate: false };
    history.runs.set({ id, task, job: JOB, step, run, worker, startedAt, ...common, ...fields });
  }

  /** The second run of the task, which goes on. */
  function restartAt(startedAt: number): void {
    setRun({ run: 2, worker: 'w-2', startedAt });
  }

  describe('LOST of a job at the end', () => {
    beforeEach(() => {
      history.calmSince = 1_000;
    });

    function expectNotRunning(): void {
      expect(AcceptedJobCheck.create().listBroken(history)).toEqual([
        `${JOB} was accepted, and not all of its lasting tasks run`,
      ]);
    }

    it('is broken by a lasting task that does not run', () => {
      const endedAt = history.now - SOAK_BOUNDS.lastingAfterRunMs;
      setRun({ startedAt: 300, endedAt, how: 'failed' });
      expectNotRunning();
    });

    it('is broken by a lasting task that never ran', () => {
      history.runs.remove(`w-1/${TASK}/1`);
      expectNotRunning();
    });

    it('is broken by another task that was not done', () => {
      history.runs.update(`w-1/${JOB}.0.0.0/1`, { how: 'failed' });
      restartAt(30_000);
      expectNotRunning();
    });

    it('is broken by a job that failed runs of its lasting task ended', () => {
      for (const run of [1, 2]) setRun({ run, startedAt: 300, endedAt: 400, how: 'failed' });
      const look = { process: 'entry-1', sentAt: 500, endedAt: 510, status: 200, state: 'failed' };
      setJob({ looks: [look] });
      expect(AcceptedJobCheck.create().listBroken(history)).toEqual([
        expect.stringMatching('no task failed often enough'),
      ]);
    });

    it('is kept by a lasting task that runs, or has just failed', () => {
      setRun({ startedAt: 300, endedAt: history.now - 1_000, how: 'failed' });
      expect(AcceptedJobCheck.create().listBroken(history)).toEqual([]);
      restartAt(history.now - 500);
      expect(AcceptedJobCheck.create().listBroken(history)).toEqual([]);
    });
  });

  describe('BUDGET', () => {
    it.each([
      ['is kept by a lasting task', TASK, 1, 0],
      ['is broken by another task', `${JOB}.0.0.0`, 0, 1],
    ])('%s that starts after two failed runs', (_, task, step, count) => {
      for (const run of [1, 2]) {
        const end = { how: 'failed', endedAt: 500 * run, notedAt: 500 * run + 1 } as const;
        setRun({ task, step, run, startedAt: 400 * run, ...end });
      }
      setRun({ task, step, run: 3, startedAt: 2_000 });
      expect(BudgetCheck.create().listBroken(history)).toHaveLength(count);
    });
  });

  describe('MIXED', () => {
    it('is broken by a completion of a job with a lasting task', () => {
      const submission = { process: 'entry-1', sentAt: 90, endedAt: 100, status: 200 };
      const look = { ...submission, sentAt: 500, endedAt: 510, state: 'completed' };
      setJob({ submissions: [submission], looks: [look] });
      expect(CompletionCheck.create().listBroken(history)).toEqual([
        expect.stringMatching('was not done'),
      ]);
    });
  });
});
