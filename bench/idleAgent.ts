import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import type { AddressInfo } from 'node:net';
import { connect, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { LogWriter } from '../src/base/node/logWriter.ts';
import { NodeClock, NodeTimer } from '../src/base/node/nodeClock.ts';
import { EntryDaemon } from '../src/daemons/entryDaemon.ts';
import { StoreServer } from '../src/standins/storeServer.ts';

const HOST = '127.0.0.1';
const WARM_UP_SECONDS = 10;
const MEASURE_SECONDS = 20;
const AGENT_BUNDLE = 'dist/bramleyladder-agent.js';
const ANNOUNCE_PORT = 17_202;
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

/** Runs the agent's bundle as a process beside two entries and measures it while nothing happens. */
export async function measureIdleAgent(
  nodeFlags: readonly string[] = [],
): Promise<IdleAgentFigures> {
  const folder = mkdtempSync(join(tmpdir(), 'bramleyladder-'));
  const store = await StoreServer.create({
    host: HOST,
    port: 0,
    clock: NodeClock.create(),
    timer: NodeTimer.create(),
  });
  const entries = await openEntries(store.origin);
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
    }),
  );
  const agent = spawn(process.execPath, [...nodeFlags, AGENT_BUNDLE, '--settings', settingsPath], {
    stdio: 'ignore',
  });
  try {
    await waitSeconds(WARM_UP_SECONDS / 2);
    await announceEndpoint();
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
    store.dispose();
    rmSync(folder, { recursive: true, force: true });
  }
}
