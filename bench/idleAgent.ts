import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import type { AddressInfo } from 'node:net';
import { connect, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { LogWriter } from '../src/base/node/logWriter.ts';
import { NodeClock, NodeTimer } from '../src/base/node/nodeClock.ts';
import { EntryDaemon } from '../src/daemons/entryDaemon.ts';
import { JOB_PATH } from '../src/protocol/node/jobFront.ts';
import { MemoryWorker } from '../src/standins/memoryWorker.ts';
import { StoreServer } from '../src/standins/storeServer.ts';
import { WorkerServer } from '../src/standins/workerServer.ts';

const HOST = '127.0.0.1';
const WARM_UP_SECONDS = 10;
const MEASURE_SECONDS = 20;
const AGENT_BUNDLE = 'dist/bramleyladder-agent.js';
const ANNOUNCE_PORT = 17_202;
/** Longer than the bench, so that the task runs until its end. */
const TASK_MS = 600_000;
const TAKEOVER_SECONDS = 10;
const TICKS_PER_SECOND = 100;
const KB_PER_MB = 1_024;

/** What an idle agent process costs. */
export interface IdleAgentFigures {
  readonly residentMb: number;
  readonly cpuPercent: number;
  readonly bytesPerSecond: number;
  readonly seconds: number;
}

async function waitSeconds(seconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, seconds * 1_000));
}

/** Passes connections on to a port and counts the bytes of both directions. */
async function openCountingRelay(
  targetPort: number,
): Promise<{ address: string; getBytes: () => number; close: () => void }> {
  let bytes = 0;
  const server = createServer((socket) => {
    const target = connect(targetPort, HOST);
    for (const [from, to] of [
      [socket, target],
      [target, socket],
    ] as const) {
      from.on('data', (chunk: Buffer) => {
        bytes += chunk.byteLength;
        to.write(chunk);
      });
      from.on('error', () => to.destroy());
      from.on('close', () => to.destroy());
    }
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  return {
    address: `${HOST}:${(server.address() as AddressInfo).port}`,
    getBytes: () => bytes,
    close: () => server.close(),
  };
}

function readProcess(pid: number): { residentMb: number; cpuSeconds: number } {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const residentKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? Number.NaN);
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return { residentMb: residentKb / KB_PER_MB, cpuSeconds: ticks / TICKS_PER_SECOND };
}

async function openEntries(
  storeOrigin: string,
): Promise<{ daemon: EntryDaemon; relay: Awaited<ReturnType<typeof openCountingRelay>> }[]> {
  const zones = ['busan-a', 'ulsan-b'];
  return Promise.all(
    zones.map(async (zone, index) => {
      const settings = { id: `entry-${index}`, region: 'kr-south', zone, host: HOST, storeOrigin };
      const ports = { callerPort: 0, operatorPort: 0, linkPort: 0, peers: [], stopSeconds: 30 };
      const daemon = await EntryDaemon.create({ ...settings, ...ports }, LogWriter.create(true));
      const { info } = daemon.state.self;
      const relay = await openCountingRelay(Number(info.address.split(':')[1]));
      // Set before the first turn of the loop, so that agents learn only the relay's address.
      info.address = relay.address;
      return { daemon, relay };
    }),
  );
}

async function announceEndpoint(): Promise<void> {
  const announcement = {
    name: 'kit',
    service: 'kit',
    origin: `http://${HOST}:9`,
    slots: 8,
    connections: 60,
  };
  await fetch(`http://${HOST}:${ANNOUNCE_PORT}/v1/endpoints`, {
    method: 'PUT',
    body: JSON.stringify(announcement),
  });
}

async function openWorker(): Promise<{ memory: MemoryWorker; server: WorkerServer }> {
  const memory = MemoryWorker.create({
    ...{ id: 'worker-0', rack: 'rack-0', clock: NodeClock.create(), computeWorkMs: () => TASK_MS },
    capacity: { cores: 60, memoryMb: 250_000, accelerators: 0 },
  });
  const timer = NodeTimer.create();
  const server = await WorkerServer.create({ host: HOST, port: 0, worker: memory, timer });
  return { memory, server };
}

/** Applies a pool, submits one job and waits until the worker runs it. */
async function startTask(
  entries: readonly { daemon: EntryDaemon }[],
  worker: MemoryWorker,
): Promise<void> {
  const daemon = entries[0]?.daemon;
  if (daemon === undefined) throw new Error('there is no entry');
  const pool = { name: 'batch', region: 'kr-south', zones: ['busan-a'], workClass: 'batch' };
  await send(`http://${HOST}:${daemon.operatorPort}/v1/config`, 'PUT', {
    baseRevision: 0,
    tables: { routes: [], pools: [pool] },
  });
  await waitSeconds(TAKEOVER_SECONDS);
  const demand = { cores: 2, memoryMb: 4_096, accelerators: 0 };
  const job = { team: 'guides', idempotencyKey: 'k', pool: 'batch', taskKind: 'render', demand };
  await send(`http://${HOST}:${daemon.callerPort}${JOB_PATH}`, 'POST', job);
  for (let tries = 0; worker.starts.length === 0; tries += 1) {
    if (tries > TAKEOVER_SECONDS) throw new Error('the task was not started');
    await waitSeconds(1);
  }
}

async function send(url: string, method: string, body: unknown): Promise<void> {
  const answer = await fetch(url, { method, body: JSON.stringify(body) });
  if (!answer.ok) throw new Error(`${url}: ${answer.status} ${await answer.text()}`);
}

/** Runs the agent's bundle as a process beside two entries, with or without a worker and one task, and measures it while nothing changes. */
export async function measureIdleAgent(
  nodeFlags: readonly string[] = [],
  hasTask = false,
): Promise<IdleAgentFigures> {
  const folder = mkdtempSync(join(tmpdir(), 'bramleyladder-'));
  const store = await StoreServer.create({
    host: HOST,
    port: 0,
    clock: NodeClock.create(),
    timer: NodeTimer.create(),
  });
  const entries = await openEntries(store.origin);
  const worker = hasTask ? await openWorker() : undefined;
  const settingsPath = join(folder, 'agent.json');
  writeFileSync(
    settingsPath,
    JSON.stringify({
      id: 'agent-0',
      region: 'kr-south',
      zone: 'busan-a',
      host: HOST,
      linkPort: 0,
      announcePort: ANNOUNCE_PORT,
      entries: entries.map(({ relay }) => relay.address),
      ...(worker === undefined ? {} : { workerOrigin: worker.server.origin }),
    }),
  );
  const agent = spawn(process.execPath, [...nodeFlags, AGENT_BUNDLE, '--settings', settingsPath], {
    stdio: 'ignore',
  });
  try {
    await waitSeconds(WARM_UP_SECONDS / 2);
    await announceEndpoint();
    if (worker !== undefined) await startTask(entries, worker.memory);
    await waitSeconds(WARM_UP_SECONDS / 2);
    const pid = agent.pid ?? 0;
    const countBytes = (): number => entries.reduce((sum, { relay }) => sum + relay.getBytes(), 0);
    const before = { ...readProcess(pid), bytes: countBytes() };
    await waitSeconds(MEASURE_SECONDS);
    const after = { ...readProcess(pid), bytes: countBytes() };
    if (entries[0]?.daemon.state.endpoints.size !== 1) throw new Error('the agent is not known');
    return {
      residentMb: after.residentMb,
      cpuPercent: ((after.cpuSeconds - before.cpuSeconds) / MEASURE_SECONDS) * 100,
      bytesPerSecond: (after.bytes - before.bytes) / MEASURE_SECONDS,
      seconds: MEASURE_SECONDS,
    };
  } finally {
    agent.kill('SIGKILL');
    for (const { daemon, relay } of entries) {
      daemon.dispose();
      relay.close();
    }
    worker?.server.dispose();
    store.dispose();
    rmSync(folder, { recursive: true, force: true });
  }
}
