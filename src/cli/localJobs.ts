import { setTimeout as wait } from 'node:timers/promises';
import { request as sendRequest } from 'undici';
import * as z from 'zod/mini';
import { NodeClock } from '../base/node/nodeClock.ts';
import { JOB_PATH } from '../protocol/node/jobFront.ts';
import type { LocalCluster } from './localCluster.ts';
import { callOperator } from './operatorClient.ts';

/** Zone that the sample run takes out of service and returns to service. */
const OUT_OF_SERVICE_ZONE = 'ulsan-b';
const TASK_DURATION_MS = 4_000;
const POLL_INTERVAL_MS = 100;
/** Bounds each wait, so that a faulty run ends too. */
const WAIT_TIMEOUT_MS = 12_000;
/** Every entry and agent applies a zone change within 3 s. */
const ZONE_CHANGE_PROPAGATION_MS = 3_000;

const jobAnswerSchema = z.object({ jobId: z.string(), phase: z.string() });
type JobAnswer = z.infer<typeof jobAnswerSchema>;

/** Outcome of the sample jobs. */
export interface JobSummary {
  /** Number of distinct jobs; one of them is submitted twice. */
  readonly submitted: number;
  readonly submissions: number;
  readonly finished: number;
  readonly cancelled: number;
  /** Number of jobs that were neither finished nor cancelled when the wait ended. */
  readonly open: number;
  /** Number of tasks that started on a worker of the zone and later in another zone. */
  readonly movedByZoneChange: number;
}

/** Builds the submission body of a sample job. */
export function buildSampleJob(key: string): object {
  return {
    team: 'guides',
    idempotencyKey: key,
    pool: 'kit-batch',
    taskKind: 'render',
    demand: { cores: 2, memoryMb: 4_000, accelerators: 0 },
    command: [String(TASK_DURATION_MS)],
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

/** Repeats a check until it passes. Returns false when it does not pass before the timeout. */
async function waitUntil(check: () => boolean | Promise<boolean>): Promise<boolean> {
  const clock = NodeClock.create();
  const deadlineMs = clock.now + WAIT_TIMEOUT_MS;
  while (!(await check())) {
    if (clock.now > deadlineMs) return false;
    await wait(POLL_INTERVAL_MS);
  }
  return true;
}

/** Retries a submission until the shard has an owner. The idempotency key prevents duplicates. */
async function submitJob(origin: string, key: string): Promise<string> {
  let job: JobAnswer | undefined;
  await waitUntil(async () => {
    job = await sendJobCall(origin, 'POST', JOB_PATH, buildSampleJob(key));
    return job !== undefined;
  });
  if (job === undefined) throw new Error(`no entry accepted job ${key} before the timeout`);
  return job.jobId;
}

async function listPhases(origin: string, jobIds: readonly string[]): Promise<string[]> {
  const answers = await Promise.all(
    jobIds.map((jobId) => sendJobCall(origin, 'GET', `${JOB_PATH}/${encodeURIComponent(jobId)}`)),
  );
  return answers.map((answer) => answer?.phase ?? 'unknown');
}

/** Counts the tasks that started on a worker of the zone and later in another zone. */
function countMovedTasks(cluster: LocalCluster): number {
  const firstIncarnations = new Map<string, number>();
  const movedTaskIds = new Set<string>();
  for (const { zone, worker } of cluster.workers) {
    if (zone !== OUT_OF_SERVICE_ZONE) continue;
    for (const { taskId, incarnation } of worker.starts) firstIncarnations.set(taskId, incarnation);
  }
  for (const { zone, worker } of cluster.workers) {
    if (zone === OUT_OF_SERVICE_ZONE) continue;
    for (const { taskId, incarnation } of worker.starts) {
      if (incarnation > (firstIncarnations.get(taskId) ?? Infinity)) movedTaskIds.add(taskId);
    }
  }
  return movedTaskIds.size;
}

/** Takes the zone out of service, waits until it runs no tasks, and returns it to service. */
async function runZoneChange(cluster: LocalCluster, operator: string): Promise<void> {
  const workers = cluster.workers.filter(({ zone }) => zone === OUT_OF_SERVICE_ZONE);
  const countLiveTasks = (): number =>
    workers.reduce((sum, { worker }) => sum + worker.listLiveRuns().length, 0);
  await waitUntil(() => countLiveTasks() > 0);
  await callOperator({ operator }, 'PUT', `/v1/zones/${OUT_OF_SERVICE_ZONE}/out`);
  await Promise.all([waitUntil(() => countLiveTasks() === 0), wait(ZONE_CHANGE_PROPAGATION_MS)]);
  await callOperator({ operator }, 'PUT', `/v1/zones/${OUT_OF_SERVICE_ZONE}/in`);
}

/**
 * Submits jobs to the entries round-robin, the first job twice. Cancels the last job, takes a zone
 * out of service and returns it, and waits until the jobs end.
 */
export async function runSampleJobs(cluster: LocalCluster, count: number): Promise<JobSummary> {
  const origins = cluster.entries.map((entry) => `http://127.0.0.1:${entry.callerPort}`);
  const operator = `http://127.0.0.1:${cluster.entries[0]?.operatorPort ?? 0}`;
  const keys = Array.from({ length: count }, (_, index) => `sample-${index}`);
  const submissions = [...keys, ...keys.slice(0, 1)];
  const jobIds = await Promise.all(
    submissions.map((key, index) => submitJob(origins[index % origins.length] ?? '', key)),
  );
  const distinctJobIds = [...new Set(jobIds)];
  const firstOrigin = origins[0] ?? '';
  const cancelledJobId = distinctJobIds.at(-1);
  const zoneChangeDone = runZoneChange(cluster, operator);
  if (cancelledJobId !== undefined)
    await sendJobCall(firstOrigin, 'DELETE', `${JOB_PATH}/${encodeURIComponent(cancelledJobId)}`);
  await zoneChangeDone;
  let phases: string[] = [];
  await waitUntil(async () => {
    phases = await listPhases(firstOrigin, distinctJobIds);
    return phases.every((phase) => phase !== 'queued' && phase !== 'assigned');
  });
  const countPhase = (phase: string): number =>
    phases.filter((jobPhase) => jobPhase === phase).length;
  const finished = countPhase('finished');
  return {
    submitted: distinctJobIds.length,
    submissions: submissions.length,
    finished,
    cancelled: countPhase('cancelled'),
    open: distinctJobIds.length - finished - countPhase('cancelled'),
    movedByZoneChange: countMovedTasks(cluster),
  };
}
