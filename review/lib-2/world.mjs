// A small deployment on loopback addresses: the project's programs as processes, the rest as stand-ins.
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { call } from './http.mjs';
import { Runner } from './runner.mjs';
import { Store } from './store.mjs';

const repository = dirname(dirname(dirname(fileURLToPath(import.meta.url))));
/** Anything unexpected means that the case could not run; Node.js would end with 1, a broken rule. */
for (const event of ['uncaughtException', 'unhandledRejection'])
  process.on(event, (error) => {
    process.stderr.write(`${error?.stack ?? error}\n`);
    process.exit(2);
  });

/** The commands of the deploy file. */
const COMMANDS = {
  entry: ['--max-old-space-size=160', '--max-semi-space-size=4', 'target/entry.mjs'],
  agent: ['--max-old-space-size=64', '--max-semi-space-size=1', 'target/agent.mjs'],
};
/** Bounds of the small deployment on the users' pages. */
export const BOUNDS = {
  holdMaxMs: 10_000,
  stopMs: 200,
  storeLeaseMinMs: 1_000,
  stopGraceSeconds: 6,
  harmMs: 4_000,
  paceMs: 100,
  farFactor: 1.5,
  earlyMs: 250,
  holderLeaseMs: 3_000,
  statusSeconds: 120,
};
export const ROUTE = {
  name: 'r-1',
  host: 'orders.example',
  prefix: '/orders/',
  service: 'svc',
  priority: 0,
  attempts: 3,
  stretch: 1.5,
  slo_ms: 250,
};

export class World {
  processes = [];
  runners = [];
  entries = [];
  folder = mkdtempSync(join(tmpdir(), 'review-'));

  /** `zones` are the zones of the entries; each entry of `runners` describes one runner. */
  static async create({ zones, runners, recordFile, prepareStore = () => undefined, advice }) {
    const world = new World();
    world.recordFile = recordFile;
    world.advice = advice;
    process.once('exit', () => {
      world.dispose();
    });
    for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => process.exit(2));
    writeFileSync(recordFile, '');
    world.startedAt = performance.now();
    world.zones = zones;
    world.store = await Store.create();
    await prepareStore(world.store);
    world.writeConfiguration(1);
    for (const [index, zone] of zones.entries())
      await world.addEntry(`edge-${zone}-1`, zone, index);
    for (const [index, options] of runners.entries()) await world.addRunner(index, options);
    return world;
  }

  writeConfiguration(version) {
    this.store.write('op/config', {
      version,
      routes: [this.advice === undefined ? ROUTE : { ...ROUTE, advice: this.advice.terms }],
      services: [{ name: 'svc' }],
      limits: { max_body_bytes: 262_144 },
    });
  }

  record(line) {
    const at = ((performance.now() - this.startedAt) / 1_000).toFixed(3);
    appendFileSync(this.recordFile, `${at} ${line}\n`);
  }

  async addEntry(id, zone) {
    const [linkPort, callerPort, readyPort] = await findPorts(3);
    const settings = {
      id,
      zone,
      zones: [...new Set(this.zones)],
      host: '127.0.0.1',
      linkPort,
      callerAddress: `127.0.0.1:${callerPort}`,
      readyAddress: `127.0.0.1:${readyPort}`,
      storeAddress: this.store.address,
      adviserAddress: this.advice?.address ?? '',
      instancesAddress: '',
      metricsAddress: '',
      processor: { share: 0.27, speed: 1 },
      bounds: BOUNDS,
    };
    const entry = this.start('entry', id, settings);
    Object.assign(entry, { zone, address: settings.callerAddress, ready: settings.readyAddress });
    this.entries.push(entry);
    return entry;
  }

  async addRunner(index, { zone, ...options }) {
    const id = `side-${zone}-${index + 1}`;
    const [linkPort, beatPort, port] = await findPorts(3);
    this.start('agent', id, {
      id,
      zone,
      host: '127.0.0.1',
      linkPort,
      storeAddress: this.store.address,
      beatAddress: `127.0.0.1:${beatPort}`,
      workerAddress: `127.0.0.1:${port}`,
      metricsAddress: '',
    });
    const runner = await Runner.create({
      id: `i-${(0x7f3a91c2 + index).toString(16)}`,
      service: 'svc',
      zone,
      port,
      beatAddress: `127.0.0.1:${beatPort}`,
      labels: ['a', `r1-${Math.floor(index / 3)}`],
      capacity: { cpu: 32_000, mem_mb: 128_000, gpu: 0 },
      holdMaxMs: BOUNDS.holdMaxMs,
      stopMs: BOUNDS.stopMs,
      ...options,
    });
    this.runners.push(runner);
    return runner;
  }

  /** Starts one of the programs; it is started again 0.5 s after it has ended by itself. */
  start(role, id, settings) {
    const file = join(this.folder, `${id}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const program = { id, role, ends: 0, log: [] };
    const run = () => {
      if (this.isDisposed || program.isRemoved) return;
      const child = spawn(process.execPath, COMMANDS[role], {
        cwd: repository,
        env: { PATH: process.env.PATH, HOME: this.folder, BRAMLEYLADDER_BOOT: file },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      program.child = child;
      for (const output of [child.stdout, child.stderr])
        output.on('data', (chunk) => {
          for (const line of String(chunk).split('\n')) if (line !== '') program.onLine?.(line);
        });
      child.on('exit', (code, signal) => {
        if (this.isDisposed) return;
        program.ends += 1;
        this.record(`${id} ended: ${signal ?? code}`);
        void delay(500).then(run);
      });
    };
    run();
    this.processes.push(program);
    return program;
  }

  /** Waits until every entry is ready. */
  async waitUntilServing() {
    const deadline = performance.now() + 25_000;
    for (const entry of this.entries)
      while ((await call('GET', entry.ready, '/bramleyladder/ready')).status !== 200) {
        if (performance.now() > deadline) throw new Error(`${entry.id} is not ready`);
        await delay(100);
      }
  }

  async submit(entry, id, job, timeoutMs = 3_000) {
    const answer = await this.send(entry, 'POST', id, job, timeoutMs);
    this.record(`POST ${id} at ${entry.id}: ${answer.status} ${JSON.stringify(answer.body)}`);
    return answer.status;
  }

  async getState(entry, id) {
    const answer = await this.send(entry, 'GET', id);
    return answer.status === 200 ? answer.body.state : `status ${answer.status}`;
  }

  async send(entry, method, id, body, timeoutMs = 3_000) {
    return call(method, entry.address, `${ROUTE.prefix}${id}`, {
      headers: { host: ROUTE.host, 'deadline-ms': String(timeoutMs) },
      body,
      timeoutMs: timeoutMs + 500,
    });
  }

  dispose() {
    if (this.isDisposed) return;
    this.isDisposed = true;
    for (const { child } of this.processes) child.kill('SIGKILL');
    for (const runner of this.runners) runner.dispose();
    this.store?.dispose();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Finds free ports below those that the system gives to outgoing connections. */
async function findPorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = 15_000 + Math.floor(Math.random() * 17_000);
    if (!ports.includes(port) && (await canListen(port))) ports.push(port);
  }
  return ports;
}

async function canListen(port) {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
