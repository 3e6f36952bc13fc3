import { setTimeout as wait } from 'node:timers/promises';
import { NodeClock } from '../base/node/nodeClock.ts';
import { LogWriter } from '../base/node/logWriter.ts';
import type { JobPhase } from '../model/scheduler/jobRecord.ts';
import { ENDLESS_PAYLOAD, LOCAL_QUEUE, LocalScheduler } from './localScheduler.ts';
import { CommandError, EXIT_FAILED, printJson, printLine } from './output.ts';
import type { JobAddress } from './queueClient.ts';
import { cancelJob, readPhase, submitJob, watchJob } from './queueClient.ts';
import { runUntilStopped } from './runDaemon.ts';

const LABEL_COLUMN_WIDTH = 10;
/** Run time of a sample task; long enough to expose a wrong start order. */
const TASK_DURATION_MS = 600;
/** Bounds each wait for a start or a stop, so that a faulty run ends too. */
const WAIT_TIMEOUT_MS = 5_000;
const POLL_INTERVAL_MS = 20;

const STEPS_JOB = {
  payload: String(TASK_DURATION_MS),
  steps: [
    { count: 3, cpuMillis: 1_000, memoryMb: 500, estimatedMs: TASK_DURATION_MS },
    { count: 1, cpuMillis: 1_000, memoryMb: 500, estimatedMs: TASK_DURATION_MS, after: [0] },
  ],
};
const GANG_JOB = {
  payload: String(TASK_DURATION_MS),
  steps: [{ count: 3, cpuMillis: 2_000, memoryMb: 500, estimatedMs: TASK_DURATION_MS, gang: true }],
};
const LONG_RUNNING_JOB = {
  payload: ENDLESS_PAYLOAD,
  steps: [{ count: 2, cpuMillis: 500, memoryMb: 200, longRunning: true }],
};

export interface LocalJobOptions {
  readonly port: number;
  readonly keep?: boolean;
  readonly json?: boolean;
}

/** Outcome of one sample job. */
export interface SampleJobResult {
  readonly name: string;
  readonly jobId: string;
  /** Phases that the queue front reported, in order. */
  readonly phases: JobPhase[];
  /** Task starts; `ms` is the time since the first start. */
  readonly starts: readonly {
    readonly task: string;
    readonly worker: string;
    readonly ms: number;
  }[];
  /** Number of tasks that still ran after the job ended. */
  readonly left: number;
}

async function waitUntil(check: () => boolean): Promise<void> {
  const clock = NodeClock.create();
  const deadlineMs = clock.now + WAIT_TIMEOUT_MS;
  while (!check() && clock.now < deadlineMs) await wait(POLL_INTERVAL_MS);
}

/**
 * Submits a sample job twice under one id and watches it until it ends. Cancels the long-running
 * job once its tasks run.
 */
async function runSampleJob(
  scheduler: LocalScheduler,
  name: string,
  jobId: string,
  body: typeof STEPS_JOB | typeof GANG_JOB | typeof LONG_RUNNING_JOB,
): Promise<SampleJobResult> {
  const job: JobAddress = { origin: scheduler.origin, queue: LOCAL_QUEUE.name, id: jobId };
  await submitJob(job, body);
  await submitJob(job, body);
  const phases: JobPhase[] = [];
  if (body === LONG_RUNNING_JOB) {
    await waitUntil(() => scheduler.countRunning(jobId) === LONG_RUNNING_JOB.steps[0]?.count);
    phases.push(await readPhase(job));
    await cancelJob(job);
  }
  await watchJob(job, (phase) => phases.push(phase));
  await waitUntil(() => scheduler.countRunning(jobId) === 0);
  const starts = scheduler.listStarts(jobId);
  return {
    name,
    jobId,
    phases,
    starts: starts.map(({ task, worker, atMs }) => ({
      task,
      worker,
      ms: Math.round(atMs - (starts[0]?.atMs ?? atMs)),
    })),
    left: scheduler.countRunning(jobId),
  };
}

/** Runs the sample jobs sequentially, so that each has the full capacity of the workers. */
export async function runSample(scheduler: LocalScheduler): Promise<SampleJobResult[]> {
  return [
    await runSampleJob(scheduler, 'steps', '00000000000000a1', STEPS_JOB),
    await runSampleJob(scheduler, 'gang', '00000000000000a2', GANG_JOB),
    await runSampleJob(scheduler, 'lasting', '00000000000000a3', LONG_RUNNING_JOB),
  ];
}

function printJobResults(scheduler: LocalScheduler, jobs: readonly SampleJobResult[]): void {
  printLine(`${'front'.padEnd(LABEL_COLUMN_WIDTH)}${scheduler.origin}, queue ${LOCAL_QUEUE.name}`);
  for (const { name, jobId, phases, starts, left } of jobs) {
    printLine(`${name.padEnd(LABEL_COLUMN_WIDTH)}${jobId}, submitted twice: ${phases.join(', ')}`);
    for (const { task, worker, ms } of starts)
      printLine(`${''.padEnd(LABEL_COLUMN_WIDTH)}task ${task} started on ${worker} after ${ms} ms`);
    if (left > 0) printLine(`${''.padEnd(LABEL_COLUMN_WIDTH)}${left} tasks run on`);
  }
}

function printExamples(scheduler: LocalScheduler): void {
  const jobOptions = `--queue ${LOCAL_QUEUE.name} --id 00000000000000b1 --address ${scheduler.origin}`;
  printLine('');
  printLine('running; try these in another terminal, and stop with Ctrl-C:');
  for (const command of ['submit examples/steps.json', 'watch', 'cancel', 'status'])
    printLine(`  bramleyladder job ${command} ${jobOptions}`);
  const { statusAddress } = scheduler;
  printLine(`  bramleyladder explain job 00000000000000b1 --address ${statusAddress}`);
  printLine(`  curl http://${statusAddress}/metrics`);
}

/** `job local`: runs the scheduler in this process with stand-ins and runs three sample jobs. */
export async function runJobLocal(options: LocalJobOptions): Promise<void> {
  const scheduler = await LocalScheduler.create(
    options.port,
    // Log lines would mix with the printed result of a run without --keep.
    LogWriter.create(options.keep !== true),
  );
  await scheduler.waitReady();
  const jobs = await runSample(scheduler);
  if (options.json === true) printJson(jobs);
  else printJobResults(scheduler, jobs);
  if (options.keep === true) {
    printExamples(scheduler);
    const { entry } = scheduler;
    await runUntilStopped({
      stopped: entry.stopped,
      stop: () => {
        entry.stop();
      },
      dispose: () => {
        scheduler.dispose();
      },
    });
    return;
  }
  scheduler.dispose();
  const finalPhases = jobs.map(({ phases }) => phases.at(-1)).join(', ');
  if (finalPhases !== 'completed, completed, cancelled' || jobs.some(({ left }) => left > 0))
    throw new CommandError(
      `unexpected final phases or running tasks of the sample jobs: ${finalPhases}`,
      EXIT_FAILED,
    );
}
