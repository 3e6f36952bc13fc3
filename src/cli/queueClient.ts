import { setTimeout as wait } from 'node:timers/promises';
import * as z from 'zod/mini';
import type { JobPhase } from '../model/scheduler/jobRecord.ts';
import { isFinalPhase, jobPhaseSchema } from '../model/scheduler/jobRecord.ts';
import { QUEUE_PATH } from '../protocol/node/queueRequests.ts';
import { callJson, ORIGIN_PATTERN } from './jsonClient.ts';
import { CommandError, EXIT_INVALID } from './output.ts';

export const QUEUE_ADDRESS_VARIABLE = 'BRAMLEYLADDER_QUEUES';
/** A phase changes with the starts and ends of tasks, which take a second or more. */
const POLL_INTERVAL_MS = 200;

/** Options that the commands for jobs share, as the command line gives them. */
export interface JobOptions {
  readonly address: string | undefined;
  readonly queue: string | undefined;
  readonly id: string | undefined;
  readonly json?: boolean;
}

/** A job at the queue front of an entry. */
export interface JobAddress {
  readonly origin: string;
  readonly queue: string;
  readonly id: string;
}

const phaseAnswerSchema = z.object({ jobId: z.string(), phase: jobPhaseSchema });

/** The job that the options name. Throws a CommandError when one is missing. */
export function getJobAddress({ address, queue, id }: JobOptions): JobAddress {
  const origin = address ?? process.env[QUEUE_ADDRESS_VARIABLE];
  if (origin === undefined || !ORIGIN_PATTERN.test(origin))
    throw new CommandError(
      `give the queue address of an entry, http://ip:port, by --address or ${QUEUE_ADDRESS_VARIABLE}`,
      EXIT_INVALID,
    );
  if (queue === undefined || id === undefined)
    throw new CommandError('give --queue <name> and --id <id>', EXIT_INVALID);
  return { origin, queue, id };
}

function formatPath({ queue, id }: JobAddress): string {
  return `${QUEUE_PATH}/${encodeURIComponent(queue)}/jobs/${encodeURIComponent(id)}`;
}

/** Submits a job; the same id again is the same job. */
export async function submitJob(job: JobAddress, body: unknown): Promise<void> {
  await callJson(job.origin, 'PUT', formatPath(job), body);
}

export async function readPhase(job: JobAddress): Promise<JobPhase> {
  const answer = z.safeParse(phaseAnswerSchema, await callJson(job.origin, 'GET', formatPath(job)));
  if (!answer.success) throw new CommandError('the entry sent an answer that is not understood');
  return answer.data.phase;
}

export async function cancelJob(job: JobAddress): Promise<void> {
  await callJson(job.origin, 'DELETE', formatPath(job));
}

/** Reports each new phase of a job until one is final, which it returns. */
export async function watchJob(
  job: JobAddress,
  report: (phase: JobPhase) => void,
): Promise<JobPhase> {
  let reportedPhase: JobPhase | undefined;
  for (;;) {
    const phase = await readPhase(job);
    if (phase !== reportedPhase) report(phase);
    reportedPhase = phase;
    if (isFinalPhase(phase)) return phase;
    await wait(POLL_INTERVAL_MS);
  }
}
