import { beforeEach, describe, expect, it } from 'vitest';
import { SOAK_BOUNDS } from './bounds.ts';
import type { PromiseCheck } from './checks/promiseCheck.ts';
import { CapacityCheck } from './checks/capacityCheck.ts';
import { ConfigurationCheck } from './checks/configurationCheck.ts';
import { OrderCheck } from './checks/orderCheck.ts';
import {
  AcceptedJobCheck,
  BudgetCheck,
  CompletionCheck,
  RecoveryCheck,
} from './checks/outcomeCheck.ts';
import { DrainCheck, EvacuationCheck, LabelCheck } from './checks/placementCheck.ts';
import { GracefulStopCheck, ProcessCheck } from './checks/processCheck.ts';
import { createPromiseChecks } from './checks/promiseChecks.ts';
import { SingleRunCheck } from './checks/singleRunCheck.ts';
import { RejectedWorkCheck, SubmittedWorkCheck } from './checks/submittedWorkCheck.ts';
import { SoakHistory, STORE } from './history.ts';
import type { JobRow, RunRow } from './rows.ts';

const JOB = '00000000000000b1';
const FIRST = `${JOB}.0.0.0`;
const SECOND = `${JOB}.0.1.0`;
const AGENT = 'agent-1';
const ENTRY = 'entry-1';

describe('checks of the promises', () => {
  let history: SoakHistory;

  /** A job of two steps, of one task each, that was accepted at 100 and whose first task ran from 200 to 300. */
  beforeEach(() => {
    history = SoakHistory.create();
    history.now = 100_000;
    addJob({});
    for (const [id, zone, labels] of [
      ['w-1', 'a', ['large']],
      ['w-2', 'b', []],
    ] as const)
      history.workers.set({
        id,
        agent: AGENT,
        zone,
        cpuMillis: 1_000,
        memoryMb: 1_000,
        labels: [...labels],
        upAt: 0,
        lapses: [],
      });
    addRun({ endedAt: 300, how: 'done', notedAt: 310 });
  });

  function addJob(fields: Partial<JobRow>): void {
    const size = { count: 1, cpuMillis: 600, memoryMb: 600 };
    const step = { ...size, requiredLabel: 'large', isLongRunning: false };
    history.jobs.set({
      id: JOB,
      payload: 'work',
      attempts: 2,
      steps: [
        { ...step, after: [] },
        { ...step, after: [0] },
      ],
      submissions: [{ process: ENTRY, sentAt: 90, endedAt: 100, status: 200 }],
      acceptedAt: 100,
      looks: [],
      ...fields,
    });
  }

  function addRun(fields: Partial<RunRow>): void {
    const { task = FIRST, run = 1, worker = 'w-1' } = fields;
    history.runs.set({
      id: `${worker}/${task}/${run}`,
      task,
      job: JOB,
      step: Number(task.split('.')[2]),
      run,
      worker,
      payload: 'work',
      checkpoint: '',
      startedAt: 200,
      isLate: false,
      ...fields,
    });
  }

  function addLook(state: string, endedAt: number, status = 200): void {
    history.jobs.get(JOB)?.looks.push({ process: ENTRY, sentAt: endedAt, endedAt, status, state });
  }

  function addDisruption(process: string, from: number, to: number, isPlanned = false): void {
    const id = history.takeId();
    history.disruptions.set({ id, process, kind: 'terminate', isPlanned, from, to });
  }

  function expectBroken(check: PromiseCheck, pattern: RegExp): void {
    expect(check.listBroken(history).join('\n')).toMatch(pattern);
  }

  describe('on a history that keeps them', () => {
    it('no check reports anything', () => {
      addRun({ task: SECOND, startedAt: 400, endedAt: 500, how: 'done', notedAt: 510 });
      addLook('completed', 600);
      history.calmSince = 1_000;
      for (const check of createPromiseChecks()) expect(check.listBroken(history)).toEqual([]);
    });
  });

  describe('TWICE', () => {
    it('does not miss two runs at the same time', () => {
      addRun({ run: 2, worker: 'w-2', startedAt: 299 });
      expectBroken(SingleRunCheck.create(), /run 2 .* while run 1/);
    });

    it('does not miss a start after an end that was acknowledged later', () => {
      addRun({ run: 2, worker: 'w-2', startedAt: 305 });
      expectBroken(SingleRunCheck.create(), /after the end of run 1/);
    });

    it('allows a start after an end that a lapse of the lease made unknown', () => {
      history.workers.get('w-1')?.lapses.push(305);
      addRun({ run: 2, worker: 'w-2', startedAt: 308 });
      expect(SingleRunCheck.create().listBroken(history)).toEqual([]);
    });

    it('does not miss a start of a job that was shown as completed', () => {
      history.runs.update(`w-1/${FIRST}/1`, { notedAt: undefined });
      addLook('completed', 400);
      addRun({ run: 2, worker: 'w-2', startedAt: 1_401 });
      expectBroken(SingleRunCheck.create(), /shown as completed/);
    });
  });

  describe('LIMIT', () => {
    it.each(['cpuMillis', 'memoryMb'])('does not miss a worker over its %s', (field) => {
      const steps = history.jobs.get(JOB)?.steps.map((step) => ({ ...step, [field]: 501 })) ?? [];
      addJob({ steps });
      addRun({ task: SECOND, startedAt: 299 });
      expectBroken(CapacityCheck.create(), /brought w-1 to/);
    });
  });

  describe('ORDER', () => {
    it('does not miss a start before the step before it was done', () => {
      addRun({ task: SECOND, startedAt: 299 });
      expectBroken(OrderCheck.create(), /started before/);
    });
  });

  describe('UNASKED', () => {
    it('does not miss work that nobody submitted', () => {
      addRun({ task: 'ffffffffffffffff.0.0.0', job: 'ffffffffffffffff' });
      expectBroken(SubmittedWorkCheck.create(), /nobody submitted/);
    });

    it('does not miss another specification', () => {
      addRun({ payload: 'other' });
      expectBroken(SubmittedWorkCheck.create(), /another specification/);
    });

    it("does not miss another task's checkpoint", () => {
      addRun({ checkpoint: `${SECOND}:100` });
      expectBroken(SubmittedWorkCheck.create(), /checkpoint/);
    });

    it('does not miss a start after the cancellation', () => {
      addJob({ cancelSentAt: 310, cancelledAt: 320 });
      addRun({ run: 2, startedAt: 321 + SOAK_BOUNDS.cancelMs, endedAt: 3_400 });
      expectBroken(SubmittedWorkCheck.create(), /ms after its cancellation/);
    });

    it('does not miss a run that goes on after the cancellation', () => {
      addJob({ cancelSentAt: 310, cancelledAt: 320 });
      addRun({ run: 2, startedAt: 315 });
      expectBroken(SubmittedWorkCheck.create(), /was at work/);
    });

    it('allows a start by an agent that was out of touch', () => {
      addJob({ cancelSentAt: 310, cancelledAt: 320 });
      addDisruption(AGENT, 1_000, 1_100);
      addRun({ run: 2, startedAt: 321 + SOAK_BOUNDS.cancelMs, endedAt: 3_400 });
      expect(SubmittedWorkCheck.create().listBroken(history)).toEqual([]);
    });
  });

  describe('REFUSED', () => {
    it('does not miss a start of a job whose submissions were all rejected', () => {
      addJob({ submissions: [{ process: ENTRY, sentAt: 90, endedAt: 100, status: 503 }] });
      expectBroken(RejectedWorkCheck.create(), /was rejected/);
    });

    it('allows a start of a job whose submission had no answer', () => {
      addJob({ submissions: [{ process: ENTRY, sentAt: 90, endedAt: 100, status: 0 }] });
      expect(RejectedWorkCheck.create().listBroken(history)).toEqual([]);
    });
  });

  describe('EVAC', () => {
    it('does not miss a start in a zone that is out of service', () => {
      history.zonesOut.set({ id: '1', zone: 'a', ackedAt: 400 });
      addRun({ run: 2, startedAt: 401 + SOAK_BOUNDS.evacuationMs });
      expectBroken(EvacuationCheck.create(), /out of service/);
    });

    it('allows a start after the zone is back', () => {
      history.zonesOut.set({ id: '1', zone: 'a', ackedAt: 400, backAt: 5_300 });
      addRun({ run: 2, startedAt: 401 + SOAK_BOUNDS.evacuationMs });
      expect(EvacuationCheck.create().listBroken(history)).toEqual([]);
    });
  });

  describe('DRAIN', () => {
    it('does not miss a start on a worker that drains', () => {
      history.workers.update('w-1', { drainingAckedAt: 400 });
      addRun({ run: 2, startedAt: 401 + SOAK_BOUNDS.drainMs });
      expectBroken(DrainCheck.create(), /which drains/);
    });

    it('does not judge a moment at which the store was out of order', () => {
      history.workers.update('w-1', { drainingAckedAt: 400 });
      addDisruption(STORE, 500, 600);
      addRun({ run: 2, startedAt: 401 + SOAK_BOUNDS.drainMs });
      expect(DrainCheck.create().listBroken(history)).toEqual([]);
    });
  });

  describe('ROUTE', () => {
    it('does not miss a start on a worker without the label', () => {
      addRun({ run: 2, worker: 'w-2', startedAt: 400 });
      expectBroken(LabelCheck.create(), /without large/);
    });
  });

  describe('BUDGET', () => {
    it('does not miss a start after the last failed run', () => {
      addRun({ how: 'failed', endedAt: 300, notedAt: 301 });
      addRun({ run: 2, how: 'failed', startedAt: 310, endedAt: 320, notedAt: 340 });
      addRun({ run: 3, startedAt: 330 });
      expectBroken(BudgetCheck.create(), /after 2 failed runs/);
    });
  });

  describe('MIXED', () => {
    it('does not miss a completion before the last task was done', () => {
      addRun({ task: SECOND, startedAt: 400, endedAt: 500, how: 'done' });
      addLook('completed', 499);
      expectBroken(CompletionCheck.create(), /was not done/);
    });

    it('does not miss a job that nobody submitted', () => {
      addJob({ submissions: [] });
      addLook('pending', 400);
      expectBroken(CompletionCheck.create(), /nobody submitted/);
    });
  });

  describe('LOST', () => {
    it('does not miss an accepted job that is not known', () => {
      addLook('', 200 + SOAK_BOUNDS.visibleMs, 410);
      expectBroken(AcceptedJobCheck.create(), /is not known/);
    });

    it.each(['cancelled', 'failed'])('does not miss a job that is %s without a cause', (state) => {
      addLook(state, 400);
      expectBroken(AcceptedJobCheck.create(), new RegExp(`shown as ${state}`));
    });

    it('does not miss an accepted job that never ends', () => {
      history.calmSince = 1_000;
      expectBroken(AcceptedJobCheck.create(), /has not ended/);
    });
  });

  describe('RECOVER', () => {
    it('does not miss that nothing is accepted after the faults', () => {
      history.calmSince = 1_000;
      const sentAt = 1_001 + SOAK_BOUNDS.recoverMs;
      addJob({ submissions: [{ process: ENTRY, sentAt }], acceptedAt: undefined });
      expectBroken(RecoveryCheck.create(), /only 0 of 1/);
    });
  });

  describe('CONFIG', () => {
    beforeEach(() => {
      history.configurations.set({ id: '1', version: 1, ackedAt: 0, replacedAt: 1_000 });
      history.configurations.set({ id: '2', version: 2, ackedAt: 1_000 });
    });

    function addProbe(version: number, sentAt: number, status: number): void {
      const id = history.takeId();
      const incarnation = `${ENTRY}#1`;
      const endedAt = sentAt + 1;
      history.probes.set({ id, process: ENTRY, incarnation, version, sentAt, endedAt, status });
    }

    it.each([
      ['a route that was dropped', 1, 200],
      ['a route that is missing', 2, 404],
    ])('does not miss %s', (_, version, status) => {
      addProbe(version, 1_001 + SOAK_BOUNDS.configMs, status);
      expectBroken(ConfigurationCheck.create(), /while 2 was in force/);
    });

    it.each([
      ['a route of an older version', 1, 200],
      ['no route of the version that was shown', 2, 404],
    ])('does not miss an entry that goes back to %s', (_, version, status) => {
      addProbe(2, 1_100, 200);
      addProbe(version, 1_102 + SOAK_BOUNDS.regressionMs, status);
      expectBroken(ConfigurationCheck.create(), /went back from version 2/);
    });
  });

  describe('CUT-OFF', () => {
    const CALL = { id: '1', process: ENTRY, sentAt: 10_000, deadlineAt: 13_000, message: 'reset' };

    it('does not miss a call that a planned stop broke off', () => {
      history.brokenCalls.set({ ...CALL, endedAt: 10_300 });
      addDisruption(ENTRY, 9_900, 9_900, true);
      expectBroken(GracefulStopCheck.create(), /broke a call off/);
    });

    it('does not judge a call beside another fault', () => {
      history.brokenCalls.set({ ...CALL, endedAt: 10_300 });
      addDisruption(ENTRY, 9_900, 9_900, true);
      addDisruption(AGENT, 8_000, 8_100);
      expect(GracefulStopCheck.create().listBroken(history)).toEqual([]);
    });
  });

  describe('ENDS', () => {
    it('does not miss a process that ends by itself', () => {
      history.exits.set({ id: '1', process: ENTRY, at: 400, code: '1', isAsked: false });
      expectBroken(ProcessCheck.create(), /ended by itself/);
    });
  });
});
