import { setTimeout as wait } from 'node:timers/promises';
import * as z from 'zod/mini';
import type { JobPhase } from '../model/scheduler/jobRecord.ts';
import { isFinalPhase, jobPhaseSchema } from '../model/scheduler/jobRecord.ts';
import { QUEUE_PATH } from '../protocol/node/queueRequests.ts';
import { callJson, ORIGIN_PATTERN } from './jsonClient.ts';
import { CommandError, EXIT_INVALID } from './output.ts';

export const QUEUE_ADDRESS_VARIABLE = 'BRAMLEYLADDER_QUEUES';
/** Short against the second or more between phase changes, which follow task starts and ends. */
const POLL_INTERVAL_MS = 200;

/** Common options of the job commands, as typed on the command line. */
export interface JobOptions {
  readonly address: string | undefined;
  readonly queue: string | undefined;
  readonly id: string | undefined;
  readonly json?: boolean;
}

/** Address of a job at the queue front of an entry. */
export interface JobAddress {
  readonly origin: string;
  readonly queue: string;
  readonly id: string;
}

const phaseAnswerSchema = z.object({ jobId: z.string(), phase: jobPhaseSchema });

/** Gets the job address from the options. Throws a CommandError for a missing or invalid option. */
export function getJobAddress({ address, queue, id }: JobOptions): JobAddress {
  const origin = address ?? process.env[QUEUE_ADDRESS_VARIABLE];
  if (origin === undefined || !ORIGIN_PATTERN.test(origin))
    throw new CommandError(
      `set the queue address of an entry, http://ip:port, with --address or ${QUEUE_ADDRESS_VARIABLE}`,
      EXIT_INVALID,
    );
  if (queue === undefined || id === undefined)
    throw new CommandError('options --queue <name> and --id <id> are required', EXIT_INVALID);
  return { origin, queue, id };
}

function formatPath({ queue, id }: JobAddress): string {
  return `${QUEUE_PATH}/${encodeURIComponent(queue)}/jobs/${encodeURIComponent(id)}`;
}

/** Submits a job. A repeated submission with the same id refers to the same job. */
export async function submitJob(job: JobAddress, body: unknown): Promise<void> {
  await callJson(job.origin, 'PUT', formatPath(job), body);
}

export async function readPhase(job: JobAddress): Promise<JobPhase> {
  const answer = z.safeParse(phaseAnswerSchema, await callJson(job.origin, 'GET', formatPath(job)));
  if (!answer.success) throw new CommandError('the entry sent an invalid job answer');
  return answer.data.phase;
}

export async function cancelJob(job: JobAddress): Promise<void> {
  await callJson(job.origin, 'DELETE', formatPath(job));
}

/** Polls a job and reports each phase change. Returns the final phase. */
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
