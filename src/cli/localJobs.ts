import { setTimeout as wait } from 'node:timers/promises';
import { request as sendRequest } from 'undici';
import * as z from 'zod/mini';
import { NodeClock } from '../base/node/nodeClock.ts';
import { JOB_PATH } from '../protocol/node/jobFront.ts';
import type { LocalCluster } from './localMode.ts';
import { callOperator } from './operatorClient.ts';

/** The zone that the sample run takes out of service and back in. */
const ZONE = 'ulsan-b';
const WORK_MS = 4_000;
const POLL_MS = 100;
/** Bounds each wait, so that a run with a fault ends as well. */
const WAIT_LIMIT_MS = 12_000;
/** A zone change is seen by every part within 3 s. */
const ZONE_IN_FORCE_MS = 3_000;

const jobAnswerSchema = z.object({ jobId: z.string(), phase: z.string() });
type JobAnswer = z.infer<typeof jobAnswerSchema>;

/** Outcome of the sample jobs. */
export interface JobSummary {
  /** Distinct jobs; one of them was submitted twice. */
  readonly submitted: number;
  readonly submissions: number;
  readonly finished: number;
  readonly cancelled: number;
  /** Jobs that neither finished nor were cancelled before the wait ended. */
  readonly open: number;
  /** Tasks that ran on the worker of the zone and were started again on another worker. */
  readonly movedByZoneChange: number;
}

/** Body of a sample job. */
export function buildSampleJob(key: string): object {
  return {
    team: 'guides',
    idempotencyKey: key,
    pool: 'kit-batch',
    taskKind: 'render',
    demand: { cores: 2, memoryMb: 4_000, accelerators: 0 },
    command: [String(WORK_MS)],
  };
}

async function sendJobCall(
  origin: string,
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  body?: object,
): Promise<JobAnswer | undefined> {
  const answer = await sendRequest(`${origin}${path}`, {
    method,
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
  });
  const parsed = z.safeParse(jobAnswerSchema, await answer.body.json());
  return parsed.success ? parsed.data : undefined;
}

/** Repeats a check until it holds. Returns whether it held before the limit. */
async function waitUntil(check: () => boolean | Promise<boolean>): Promise<boolean> {
  const clock = NodeClock.create();
  const untilMs = clock.now + WAIT_LIMIT_MS;
  while (!(await check())) {
    if (clock.now > untilMs) return false;
    await wait(POLL_MS);
  }
  return true;
}

/** Submits until the shard has an owner; the idempotency key makes the repetition harmless. */
async function submitJob(origin: string, key: string): Promise<string> {
  let job: JobAnswer | undefined;
  await waitUntil(async () => {
    job = await sendJobCall(origin, 'POST', JOB_PATH, buildSampleJob(key));
    return job !== undefined;
  });
  if (job === undefined) throw new Error(`job ${key} was not accepted`);
  return job.jobId;
}

async function listPhases(origin: string, jobIds: readonly string[]): Promise<string[]> {
  const answers = await Promise.all(
    jobIds.map((jobId) => sendJobCall(origin, 'GET', `${JOB_PATH}/${encodeURIComponent(jobId)}`)),
  );
  return answers.map((answer) => answer?.phase ?? 'unknown');
}

/** Tasks that started on the zone's workers and later on a worker of another zone. */
function countMoved(cluster: LocalCluster): number {
  const firstStarts = new Map<string, number>();
  const moved = new Set<string>();
  for (const { zone, worker } of cluster.workers) {
    if (zone !== ZONE) continue;
    for (const { taskId, incarnation } of worker.starts) firstStarts.set(taskId, incarnation);
  }
  for (const { zone, worker } of cluster.workers) {
    if (zone === ZONE) continue;
    for (const { taskId, incarnation } of worker.starts) {
      if (incarnation > (firstStarts.get(taskId) ?? Infinity)) moved.add(taskId);
    }
  }
  return moved.size;
}

/** Takes the zone out of service, waits until nothing runs there, and brings it back. */
async function runZoneChange(cluster: LocalCluster, operator: string): Promise<void> {
  const workers = cluster.workers.filter(({ zone }) => zone === ZONE);
  const countLive = (): number =>
    workers.reduce((sum, { worker }) => sum + worker.listLive().length, 0);
  await waitUntil(() => countLive() > 0);
  await callOperator({ operator }, 'PUT', `/v1/zones/${ZONE}/out`);
  await Promise.all([waitUntil(() => countLive() === 0), wait(ZONE_IN_FORCE_MS)]);
  await callOperator({ operator }, 'PUT', `/v1/zones/${ZONE}/in`);
}

/**
 * Submits jobs at the entries in turn, the first of them twice, cancels the last one, takes a zone
 * out of service and back in, and waits for the jobs.
 */
export async function runSampleJobs(cluster: LocalCluster, count: number): Promise<JobSummary> {
  const origins = cluster.entries.map((entry) => `http://127.0.0.1:${entry.callerPort}`);
  const operator = `http://127.0.0.1:${cluster.entries[0]?.operatorPort ?? 0}`;
  const keys = Array.from({ length: count }, (_, index) => `sample-${index}`);
  const submissions = [...keys, ...keys.slice(0, 1)];
  const jobIds = await Promise.all(
    submissions.map((key, index) => submitJob(origins[index % origins.length] ?? '', key)),
  );
  const distinct = [...new Set(jobIds)];
  const first = origins[0] ?? '';
  const cancelled = distinct.at(-1);
  const zoneChange = runZoneChange(cluster, operator);
  if (cancelled !== undefined)
    await sendJobCall(first, 'DELETE', `${JOB_PATH}/${encodeURIComponent(cancelled)}`);
  await zoneChange;
  let phases: string[] = [];
  await waitUntil(async () => {
    phases = await listPhases(first, distinct);
    return phases.every((phase) => phase !== 'queued' && phase !== 'assigned');
  });
  const countPhase = (phase: string): number => phases.filter((seen) => seen === phase).length;
  const finished = countPhase('finished');
  return {
    submitted: distinct.length,
    submissions: submissions.length,
    finished,
    cancelled: countPhase('cancelled'),
    open: distinct.length - finished - countPhase('cancelled'),
    movedByZoneChange: countMoved(cluster),
  };
}
