import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { request } from 'undici';
import { LogWriter } from '../../src/base/node/logWriter.ts';
import { NodeClock, NodeTimer } from '../../src/base/node/nodeClock.ts';
import { AgentDaemon } from '../../src/daemons/agentDaemon.ts';
import { EntryDaemon } from '../../src/daemons/entryDaemon.ts';
import { HttpStoreClient } from '../../src/protocol/node/httpStoreClient.ts';
import { MemoryWorker } from '../../src/standins/memoryWorker.ts';
import { StoreServer } from '../../src/standins/storeServer.ts';
import { WorkerServer } from '../../src/standins/workerServer.ts';
import { CONFIGURATION_KEY } from '../../src/systems/configuration/configurationReadSystem.ts';

const HOST = '127.0.0.1';
const REGION = 'kr-south';
const ZONE = 'busan-a';
const JOBS_PATH = '/bramleyladder/v1/jobs';
const WAIT_TIMEOUT_MS = 20_000;

interface JobAnswer {
  jobId: string;
  phase: string;
  attempts: number;
  error?: string;
}

describe('job path over sockets', () => {
  const parts: { dispose(): void }[] = [];
  const entries: EntryDaemon[] = [];
  let worker: MemoryWorker;

  function register<Part extends { dispose(): void }>(part: Part): Part {
    parts.unshift(part);
    return part;
  }

  async function openEntry(index: number, storeOrigin: string): Promise<void> {
    const settings = {
      id: `entry-${index}`,
      region: REGION,
      zone: ZONE,
      host: HOST,
      callerPort: 0,
      operatorPort: 0,
      linkPort: 0,
      storeOrigin,
      peers: [],
      stopSeconds: 30,
    };
    entries.push(register(await EntryDaemon.create(settings, LogWriter.create(true))));
  }

  async function call(
    entry: EntryDaemon,
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body?: unknown,
  ): Promise<JobAnswer> {
    const answer = await request(`http://${HOST}:${entry.callerPort}${path}`, {
      method,
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return (await answer.body.json()) as JobAnswer;
  }

  function submit(entry: EntryDaemon, key: string): Promise<JobAnswer> {
    return call(entry, 'POST', JOBS_PATH, {
      team: 'guides',
      idempotencyKey: key,
      pool: 'batch',
      taskKind: 'render',
      demand: { cores: 1, memoryMb: 500, accelerators: 0 },
    });
  }

  async function waitPhase(entry: EntryDaemon, jobId: string, phase: string): Promise<JobAnswer> {
    const clock = NodeClock.create();
    const untilMs = clock.now + WAIT_TIMEOUT_MS;
    for (;;) {
      const answer = await call(entry, 'GET', `${JOBS_PATH}/${encodeURIComponent(jobId)}`);
      if (answer.phase === phase) return answer;
      if (clock.now > untilMs) throw new Error(`still ${JSON.stringify(answer)}`);
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }

  async function waitServing(): Promise<void> {
    const clock = NodeClock.create();
    const untilMs = clock.now + WAIT_TIMEOUT_MS;
    while (!entries.every((entry) => entry.state.self.phase === 'serving')) {
      if (clock.now > untilMs) throw new Error('the entries are not serving');
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  beforeAll(async () => {
    const clock = NodeClock.create();
    const timer = NodeTimer.create();
    const store = register(await StoreServer.create({ host: HOST, port: 0, clock, timer }));
    const client = register(HttpStoreClient.create(store.origin));
    const pool = { name: 'batch', region: REGION, zones: [ZONE], workClass: 'batch' };
    const pools = [{ ...pool, services: [], quotas: [], spread: 'none', maxWorkerShare: 1 }];
    const value = { revision: 1, token: 'test', routes: [], pools, zonesOut: [] };
    await client.send({ op: 'write', key: CONFIGURATION_KEY, expectedVersion: 0, value }, 1_000);
    await openEntry(0, store.origin);
    await openEntry(1, store.origin);
    worker = MemoryWorker.create({
      id: 'worker-0',
      rack: 'rack-0',
      capacity: { cores: 4, memoryMb: 8_000, accelerators: 0 },
      clock,
      computeWorkMs: (_kind, command) => Number(command[0] ?? 1_000),
    });
    const server = register(await WorkerServer.create({ host: HOST, port: 0, worker, timer }));
    const settings = {
      id: 'agent-0',
      region: REGION,
      zone: ZONE,
      host: HOST,
      linkPort: 0,
      announcePort: 0,
      entries: entries.map((entry) => entry.state.self.info.address),
      workerOrigin: server.origin,
      stopSeconds: 30,
    };
    register(await AgentDaemon.create(settings, LogWriter.create(true)));
    await waitServing();
  });

  afterAll(() => {
    for (const part of parts) part.dispose();
  });

  describe('a job that is submitted at two entries', () => {
    it('is neither run twice nor lost', async () => {
      const [first, second] = await Promise.all([
        submit(entries[0]!, 'a'),
        submit(entries[1]!, 'a'),
      ]);
      expect(first.jobId).toBeDefined();
      expect(second.jobId).toBe(first.jobId);
      const done = await waitPhase(entries[1]!, first.jobId, 'finished');
      expect(done.attempts).toBe(1);
      expect(worker.starts.map((start) => start.taskId)).toEqual([first.jobId]);
    });
  });

  describe('an unknown job', () => {
    it('is not refused without a reason', async () => {
      const answer = await call(entries[0]!, 'GET', `${JOBS_PATH}/kr-south:00`);
      expect(answer.error).toBe('job_unknown');
    });
  });
});
