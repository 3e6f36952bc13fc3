import { beforeEach, describe, expect, it } from 'vitest';
import { SOAK_BOUNDS } from './bounds.ts';
import { LastingTaskCheck } from './checks/lastingTaskCheck.ts';
import { AcceptedJobCheck, BudgetCheck, CompletionCheck } from './checks/outcomeCheck.ts';
import { SoakHistory, STORE } from './history.ts';
import type { JobRow, RunRow, WorkerRow } from './rows.ts';

const JOB = '00000000000000b1';
const TASK = `${JOB}.0.1.0`;
/** When the worker of the first run is lost. */
const LOST_AT = 20_000;
const AFTERMATH_MS = SOAK_BOUNDS.contactMs + SOAK_BOUNDS.calmBeforeMs;
/** Latest start that keeps the promise, with nothing disturbed but the lost worker. */
const LATEST_START = LOST_AT + AFTERMATH_MS + SOAK_BOUNDS.idleMs;

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

  function addDisruption(process: string, from: number, to?: number): void {
    const id = history.takeId();
    history.disruptions.set({ id, process, kind: 'kill', isPlanned: false, from, to });
  }

  /** Another job that has capacity of the second worker for good. */
  function addOtherRun(size: { readonly cpuMillis: number; readonly memoryMb: number }): void {
    const other = '00000000000000b2';
    const step = { count: 1, ...size, requiredLabel: '', after: [], isLongRunning: true };
    setJob({ id: other, steps: [step], cancelSentAt: 10_000 });
    setRun({ task: `${other}.0.0.0`, step: 0, job: other, worker: 'w-2', startedAt: 300 });
  }

  function listBroken(): string[] {
    return LastingTaskCheck.create().listBroken(history);
  }

  function expectBroken(): void {
    expect(listBroken()).toEqual([
      expect.stringMatching(`${TASK} lasts and had no run from 20000`),
    ]);
  }

  function expectKept(): void {
    expect(listBroken()).toEqual([]);
  }

  describe('LOST of a task', () => {
    describe('is broken', () => {
      it('by a task that starts too late after the loss of its worker', () => {
        restartAt(LATEST_START + 1);
        expectBroken();
      });

      it('by a task that does not start again', () => {
        expectBroken();
      });

      it.each([
        ['an entry', 'entry-1'],
        ['an agent', 'agent-of-w-1'],
        ['the store', STORE],
      ])('by a task that starts too late after a disruption of %s', (_, process) => {
        addDisruption(process, 21_000, 22_500);
        restartAt(22_500 + AFTERMATH_MS + SOAK_BOUNDS.idleMs + 1);
        expectBroken();
      });

      it('by a task that starts too late between two disruptions', () => {
        addDisruption('entry-1', LATEST_START + 1);
        expectBroken();
      });

      it('by a task that failed and does not start again for other tasks of its job', () => {
        const endedAt = LOST_AT;
        setRun({ startedAt: 300, endedAt, how: 'failed', notedAt: endedAt + 10 });
        expectBroken();
      });

      it('by a task that never ran', () => {
        history.runs.remove(`w-1/${TASK}/1`);
        expect(listBroken()).toEqual([expect.stringMatching('no run from 210')]);
      });

      it('while another run leaves the capacity twice over', () => {
        setWorker('w-2', { cpuMillis: 1_500, memoryMb: 1_500 });
        addOtherRun({ cpuMillis: 500, memoryMb: 500 });
        expectBroken();
      });

      it('while two sound workers have the capacity together', () => {
        addOtherRun({ cpuMillis: 500, memoryMb: 500 });
        setWorker('w-3', { cpuMillis: 500 });
        expectBroken();
      });

      it('before its job was cancelled', () => {
        setJob({ cancelSentAt: LATEST_START + 1 });
        expectBroken();
      });
    });

    describe('is kept', () => {
      it('by a task that starts in time', () => {
        restartAt(LATEST_START);
        expectKept();
      });

      it('by a task that runs on', () => {
        setRun({ startedAt: 300 });
        expectKept();
      });

      it('by a task that starts in time after its last run, however long after the loss', () => {
        setRun({ run: 2, worker: 'w-2', startedAt: 25_000, endedAt: 40_000, how: 'failed' });
        const startedAt = 40_000 + SOAK_BOUNDS.lastingAfterRunMs + SOAK_BOUNDS.idleMs;
        setRun({ run: 3, worker: 'w-2', startedAt });
        expectKept();
      });

      it.each([
        ['an entry', 'entry-1'],
        ['an agent', 'agent-of-w-2'],
        ['the store', STORE],
      ])('by a task that starts in time after a disruption of %s', (_, process) => {
        addDisruption(process, 21_000, 22_500);
        restartAt(22_500 + AFTERMATH_MS + SOAK_BOUNDS.idleMs);
        expectKept();
      });

      it('while disruptions follow each other', () => {
        for (let at = 21_000; at < 60_000; at += 10_000) addDisruption('entry-1', at, at + 100);
        expectKept();
      });

      it('while a disruption goes on', () => {
        addDisruption('entry-1', 21_000);
        expectKept();
      });

      it('while a worker has trouble', () => {
        history.workerTroubles.set({ id: '1', worker: 'w-2', kind: 'workerRefuses', from: 21_000 });
        expectKept();
      });

      it.each([
        ['processors', { cpuMillis: 1, memoryMb: 0 }],
        ['memory', { cpuMillis: 0, memoryMb: 1 }],
      ])('while the capacity does not suffice twice over in %s', (_, size) => {
        addOtherRun(size);
        expectKept();
      });

      it('while the other worker drains', () => {
        history.workers.update('w-2', { drainingAckedAt: 10_000 });
        expectKept();
      });

      it('while the other worker has just come', () => {
        setWorker('w-2', { upAt: history.now - AFTERMATH_MS - SOAK_BOUNDS.idleMs });
        expectKept();
      });

      it('while the zone of the other worker is out of service', () => {
        history.zonesOut.set({ id: '1', zone: 'b', ackedAt: 10_000 });
        expectKept();
      });

      it('while the other worker lacks the label', () => {
        const steps = history.jobs.get(JOB)?.steps ?? [];
        setJob({ steps: steps.map((step) => ({ ...step, requiredLabel: 'large' })) });
        expectKept();
      });

      it('by a task whose job was cancelled', () => {
        setJob({ cancelSentAt: LATEST_START });
        expectKept();
      });

      it('by a task whose job was not accepted', () => {
        setJob({ acceptedAt: undefined });
        expectKept();
      });

      it('by a task whose job failed', () => {
        for (const run of [2, 3])
          setRun({
            task: `${JOB}.0.0.0`,
            step: 0,
            run,
            startedAt: 300,
            endedAt: 400,
            how: 'failed',
          });
        expectKept();
      });

      it('by a task before whose step the end of another was not acknowledged', () => {
        history.runs.update(`w-1/${JOB}.0.0.0/1`, { notedAt: undefined });
        expectKept();
      });
    });
  });

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
