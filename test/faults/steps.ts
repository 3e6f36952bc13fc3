import { CONFIGURATION_KEY } from '../../src/systems/configuration/configurationReadSystem.ts';
import { listLiveRuns } from '../support/shardSteps.ts';
import type { MatrixRun } from './matrixRun.ts';

export type StepGroup = 'job' | 'configuration' | 'endpoint' | 'request' | 'stop';

/** A step of the work of the system. */
export interface Step {
  readonly name: string;
  readonly group: StepGroup;
  /** Begins the work that leads to the step. */
  readonly start: (run: MatrixRun) => void;
  /** Whether the step is happening now. */
  readonly isAt: (run: MatrixRun) => boolean;
}

function isRunning(run: MatrixRun): boolean {
  return listLiveRuns(run.world).some(({ phase }) => phase === 'running');
}

function submitAndRun(run: MatrixRun): void {
  run.submitJob();
  run.waitFor(() => isRunning(run), 10_000, 'the run of the job');
}

function evictJob(run: MatrixRun): void {
  submitAndRun(run);
  run.world.setConfiguration([run.agent.zone]);
}

function hasRunPhase(run: MatrixRun, phase: string): boolean {
  return run.agent.state.worker?.status.runs.some((row) => row.phase === phase) ?? false;
}

function startStop(run: MatrixRun): void {
  for (let count = 0; count < 3; count += 1) run.world.sendRequest(run.front);
}

function sendBurst(run: MatrixRun): void {
  for (let count = 0; count < 12; count += 1) run.world.sendRequest(run.front);
}

function loseOneMessage(run: MatrixRun): void {
  run.stopBackground();
  run.run(1_500);
  const sent = run.world.sendRequest(run.front);
  const isSent = (): boolean => [...run.front.state.attempts.values()].length > 0;
  run.waitFor(() => isSent() && sent.answer === undefined, 2_000, 'an attempt');
  run.world.losesAttempts = true;
}

function getRevision(run: MatrixRun): number {
  const reply = run.world.store.handle({ op: 'read', key: CONFIGURATION_KEY });
  return reply.kind === 'entry' ? (reply.entry.value as { revision: number }).revision : 0;
}

function isDraining(run: MatrixRun): boolean {
  return run.world.agents[0]!.state.endpoints.get('agent-0/kit')?.draining === true;
}

function leaveEndpoint(run: MatrixRun): void {
  run.requestChecks.leftMs.set('agent-0', run.world.clock.now);
  run.world.agents[0]!.loop.receive({ kind: 'endpointLeaving', name: 'kit' });
}

function setZone(run: MatrixRun): void {
  const call = { kind: 'setZone', zone: 'ulsan-b', out: true } as const;
  run.operatorEntry = run.front;
  run.operatorCall = run.world.sendOperatorCall(run.front, call);
}

const JOB_STEPS: Omit<Step, 'group'>[] = [
  {
    name: 'submit',
    start: (run) => {
      run.submitJob();
    },
    isAt: (run) => run.world.entries.some(({ state }) => state.jobCalls.size > 0),
  },
  {
    name: 'ledger write',
    start: (run) => {
      run.submitJob();
    },
    isAt: (run) => run.ledger?.append !== undefined,
  },
  {
    name: 'place',
    start: (run) => {
      run.submitJob();
    },
    isAt: (run) => run.task?.phase === 'queued',
  },
  {
    name: 'start',
    start: (run) => {
      run.submitJob();
    },
    isAt: (run) => run.task?.phase === 'assigned' && run.world.listStarts().length === 0,
  },
  {
    name: 'renew',
    start: submitAndRun,
    isAt: (run) =>
      hasRunPhase(run, 'running') &&
      (run.owner?.state.runs.get(`${run.jobId}#1`)?.phase ?? '') === 'running',
  },
  {
    name: 'checkpoint',
    start: submitAndRun,
    isAt: (run) => run.owner?.state.runs.get(`${run.jobId}#1`)?.checkpoint !== undefined,
  },
  {
    name: 'throttle',
    start: (run) => {
      submitAndRun(run);
      const id = run.jobId!;
      run.owner!.state.throttles.set({ id, share: 0.5, sinceMs: run.world.clock.now });
    },
    isAt: (run) =>
      (run.owner?.state.throttles.size ?? 0) > 0 &&
      run.agent.state.worker?.status.runs.every(({ throttle }) => throttle === 1) === true,
  },
  { name: 'evict', start: evictJob, isAt: (run) => run.task?.stopReason === 'zone-out' },
  {
    name: 'resume',
    start: evictJob,
    isAt: (run) => run.task?.incarnation === 2 && run.world.listStarts().length === 1,
  },
  {
    name: 'finish',
    start: submitAndRun,
    isAt: (run) => listLiveRuns(run.world).length === 0 && run.task?.phase === 'assigned',
  },
  {
    name: 'report',
    start: submitAndRun,
    isAt: (run) => hasRunPhase(run, 'finished') && run.task?.phase === 'assigned',
  },
];

const CONFIGURATION_STEPS: Omit<Step, 'group'>[] = [
  { name: 'apply', start: setZone, isAt: (run) => run.front.state.configWrites.size > 0 },
  {
    name: 'propagate',
    start: setZone,
    isAt: (run) =>
      run.world.entries.some(
        ({ state }) => state.configuration.current.revision < getRevision(run),
      ),
  },
];

const ENDPOINT_STEPS: Omit<Step, 'group'>[] = [
  {
    name: 'announce',
    start: (run) => {
      run.world.announceEndpoint(run.world.agents[0]!, 'second');
    },
    isAt: (run) =>
      run.world.agents[0]!.state.endpoints.has('agent-0/second') &&
      run.world.entries.some(({ state }) => !state.endpoints.has('agent-0/second')),
  },
  { name: 'leave', start: leaveEndpoint, isAt: isDraining },
  {
    name: 'drain',
    start: (run) => {
      sendBurst(run);
      run.waitFor(
        () =>
          [...run.world.agents[0]!.state.attempts.values()].some((row) => row.phase === 'running'),
        3_000,
        'an attempt that runs',
      );
      leaveEndpoint(run);
    },
    isAt: (run) =>
      isDraining(run) &&
      [...run.world.agents[0]!.state.attempts.values()].some((row) => row.phase === 'running'),
  },
];

const REQUEST_STEPS: Omit<Step, 'group'>[] = [
  {
    name: 'admit',
    start: sendBurst,
    isAt: (run) =>
      [...run.front.state.requests.values()].some(
        ({ phase }) => phase === 'queued' || phase === 'claiming',
      ),
  },
  {
    name: 'dispatch',
    start: sendBurst,
    isAt: (run) => [...run.front.state.attempts.values()].some(({ phase }) => phase === 'sent'),
  },
  {
    name: 'run',
    start: sendBurst,
    isAt: (run) =>
      run.world.agents.some(({ state }) =>
        [...state.attempts.values()].some(({ phase }) => phase === 'running'),
      ),
  },
  {
    name: 'answer',
    start: sendBurst,
    isAt: (run) =>
      run.world.agents.some(({ state }) =>
        [...state.attempts.values()].some(
          ({ id, phase }) => phase === 'done' && run.front.state.attempts.get(id)?.phase === 'sent',
        ),
      ),
  },
  {
    name: 'resend',
    start: loseOneMessage,
    isAt: (run) => {
      const isResending = [...run.front.state.attempts.values()].some(
        ({ phase }) => phase === 'resending',
      );
      if (isResending) run.world.losesAttempts = false;
      return isResending;
    },
  },
];

const STOP_STEPS: Omit<Step, 'group'>[] = [
  {
    name: 'stop of the entry',
    start: (run) => {
      startStop(run);
      run.run(200);
      run.front.loop.receive({ kind: 'stopRequested' });
    },
    isAt: (run) => run.world.entries.some(({ state }) => state.self.phase === 'leaving'),
  },
  {
    name: 'stop of the owner',
    start: (run) => {
      submitAndRun(run);
      run.owner!.loop.receive({ kind: 'stopRequested' });
    },
    isAt: (run) => run.world.entries.some(({ state }) => state.self.phase === 'leaving'),
  },
  {
    name: 'stop of the agent',
    start: (run) => {
      startStop(run);
      run.run(200);
      run.requestChecks.leftMs.set('agent-0', run.world.clock.now);
      run.world.agents[0]!.loop.receive({ kind: 'stopRequested' });
    },
    isAt: (run) => run.world.agents[0]!.state.self.phase === 'leaving',
  },
];

function toSteps(group: StepGroup, steps: readonly Omit<Step, 'group'>[]): Step[] {
  return steps.map((step) => ({ ...step, group }));
}

export const STEPS: readonly Step[] = [
  ...toSteps('job', JOB_STEPS),
  ...toSteps('configuration', CONFIGURATION_STEPS),
  ...toSteps('endpoint', ENDPOINT_STEPS),
  ...toSteps('request', REQUEST_STEPS),
  ...toSteps('stop', STOP_STEPS),
];
