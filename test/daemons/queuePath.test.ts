import { request } from 'undici';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { ENDLESS_PAYLOAD, LOCAL_QUEUE, LocalScheduler } from '../../src/cli/localScheduler.ts';

const WAIT_TIMEOUT_MS = 10_000;
const JOBS_PATH = `/v1/queues/${LOCAL_QUEUE.name}/jobs`;
const JOB = '00000000000000d1';

interface Answer {
  readonly status: number;
  readonly body: Record<string, unknown>;
  readonly retryAfter: string | string[] | undefined;
}

describe('queue path over sockets', () => {
  let scheduler: LocalScheduler;

  beforeEach(async () => {
    scheduler = await LocalScheduler.create();
    await scheduler.waitReady();
  });

  afterEach(() => {
    scheduler.dispose();
  });

  async function call(
    method: 'GET' | 'PUT' | 'DELETE',
    path: string,
    body?: unknown,
  ): Promise<Answer> {
    const answer = await request(`${scheduler.origin}${path}`, {
      method,
      ...(body === undefined
        ? {}
        : { body: typeof body === 'string' ? body : JSON.stringify(body) }),
    });
    return {
      status: answer.statusCode,
      body: (await answer.body.json()) as Record<string, unknown>,
      retryAfter: answer.headers['retry-after'],
    };
  }

  async function waitFor(check: () => boolean | Promise<boolean>): Promise<void> {
    const deadline = performance.now() + WAIT_TIMEOUT_MS;
    while (!(await check())) {
      if (performance.now() > deadline) throw new Error('the condition did not become true');
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  async function waitPhase(id: string, phase: string): Promise<void> {
    await waitFor(async () => (await call('GET', `${JOBS_PATH}/${id}`)).body.phase === phase);
  }

  describe('jobs', () => {
    it('are not lost before completion or run twice after a repeated submission', async () => {
      const body = { payload: '300', steps: [{ count: 2 }, { count: 1, after: [0] }] };
      for (let submissions = 0; submissions < 2; submissions += 1)
        expect(await call('PUT', `${JOBS_PATH}/${JOB}`, body)).toMatchObject({
          status: 200,
          body: { jobId: JOB, accepted: true },
        });
      await waitPhase(JOB, 'completed');
      const starts = scheduler.listStarts(JOB);
      expect(starts.map(({ task }) => task).sort()).toEqual(['0.0.0', '0.0.1', '0.1.0']);
      expect(starts[2]!.task).toBe('0.1.0');
      expect(starts[2]!.atMs - starts[1]!.atMs).toBeGreaterThanOrEqual(300);
      expect((await call('GET', `/v1/queues/${LOCAL_QUEUE.name}`)).body).toEqual({
        queue: LOCAL_QUEUE.name,
        waiting: 0,
      });
    });

    it('do not start only a part of a gang', async () => {
      const endless = { payload: ENDLESS_PAYLOAD };
      const longRunning = {
        ...endless,
        steps: [{ count: 1, cpuMillis: 4_000, longRunning: true }],
      };
      await call('PUT', `${JOBS_PATH}/${JOB}`, longRunning);
      await waitFor(() => scheduler.countRunning(JOB) === 1);
      const gang = '00000000000000d2';
      const steps = [{ count: 3, cpuMillis: 2_000, gang: true }];
      await call('PUT', `${JOBS_PATH}/${gang}`, { payload: '300', steps });
      // One worker is full and the other has capacity for two of the three tasks.
      await new Promise((resolve) => setTimeout(resolve, 500));
      expect(scheduler.listStarts(gang)).toEqual([]);
      await call('DELETE', `${JOBS_PATH}/${JOB}`);
      await waitPhase(gang, 'completed');
      expect(scheduler.listStarts(gang)).toHaveLength(3);
    });

    it('with long-running tasks do not continue after a cancellation', async () => {
      const steps = [{ count: 2, cpuMillis: 500, longRunning: true }];
      await call('PUT', `${JOBS_PATH}/${JOB}`, { payload: ENDLESS_PAYLOAD, steps });
      await waitFor(() => scheduler.countRunning(JOB) === 2);
      expect((await call('DELETE', `${JOBS_PATH}/${JOB}`)).status).toBe(200);
      await waitPhase(JOB, 'cancelled');
      await waitFor(() => scheduler.countRunning(JOB) === 0);
    });
  });

  describe('refusals', () => {
    it('do not create a job from an invalid body', async () => {
      for (const [body, path] of [
        ['{', undefined],
        [{ steps: [{ count: 1, memoryMB: 1 }] }, 'steps[0].memoryMB'],
      ] as const) {
        const answer = await call('PUT', `${JOBS_PATH}/${JOB}`, body);
        expect(answer).toMatchObject({ status: 400, body: { error: 'bad_request', ran: 'no' } });
        if (path !== undefined) expect(answer.body.details).toMatchObject([{ path }]);
      }
      expect((await call('GET', `${JOBS_PATH}/${JOB}`)).body.error).toBe('job_unknown');
    });

    it('are not missing for a body above the configured size limit', async () => {
      const maxBodyBytes = scheduler.entry.state.operator.configuration!.maxBodyBytes;
      const answer = await call('PUT', `${JOBS_PATH}/${JOB}`, `"${'x'.repeat(maxBodyBytes)}"`);
      expect(answer).toMatchObject({ status: 413, body: { error: 'body_too_large' } });
    });

    it('do not confuse an unknown queue, an unknown job and a missing configuration', async () => {
      const unknownQueue = await call('GET', '/v1/queues/absent');
      expect(unknownQueue).toMatchObject({ status: 404, body: { error: 'no_route' } });
      const unknownJob = await call('DELETE', `${JOBS_PATH}/${JOB}`);
      expect(unknownJob).toMatchObject({ status: 404, body: { error: 'job_unknown' } });
      scheduler.entry.state.operator.configuration = undefined;
      const unready = await call('GET', `${JOBS_PATH}/${JOB}`);
      expect(unready).toMatchObject({
        status: 503,
        body: { error: 'store_unavailable', retryable: true },
      });
      expect(Number(unready.retryAfter)).toBeGreaterThan(0);
    });
  });

  describe('explanations and metrics in local mode', () => {
    it('do not omit why a job waits, or its queue and capacity', async () => {
      const tooLarge = { payload: '100', steps: [{ count: 1, cpuMillis: 900_000 }] };
      expect((await call('PUT', `${JOBS_PATH}/${JOB}`, tooLarge)).status).toBeLessThan(300);
      const status = `http://${scheduler.statusAddress}`;
      await waitFor(async () => {
        const { body } = await request(`${status}/v1/explain/job/${JOB}`);
        return JSON.stringify(await body.json()).includes('no room');
      });
      const page = await (await request(`${status}/metrics`)).body.text();
      expect(page).toContain('bramleyladder_is_owner 1');
      expect(page).toContain(`queue_waiting_tasks{queue="${LOCAL_QUEUE.name}"} 1`);
      expect(page).toMatch(/room_free\{.*resource="cpu_millis"\} [1-9]/);
      expect(page).toContain('job_submit_duration_ms_count');
    });
  });
});
