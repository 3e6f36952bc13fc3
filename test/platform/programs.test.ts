import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import {
  buildPrograms,
  createAgentSettings,
  createEntrySettings,
  findPorts,
  PlatformProgram,
  waitForProgram as waitFor,
} from '../support/platformProgram.ts';
import { PlatformStoreStandIn } from '../support/platformStandIn.ts';

/** Interval of the balancer's readiness check; a blocked process does not answer within it. */
const RESPONSE_TIMEOUT_MS = 1_000;

interface Answer {
  readonly status: number;
  readonly text: string;
  readonly retryAfter: string | null;
}

async function call(port: number, path: string, init: RequestInit = {}): Promise<Answer> {
  const signal = AbortSignal.timeout(RESPONSE_TIMEOUT_MS);
  const response = await fetch(`http://127.0.0.1:${port}${path}`, { ...init, signal });
  const retryAfter = response.headers.get('retry-after');
  return { status: response.status, text: await response.text(), retryAfter };
}

async function readGauge(port: number, name: string): Promise<number> {
  const { text } = await call(port, '/metrics');
  return Number(new RegExp(`^bramleyladder_${name} (.*)$`, 'm').exec(text)?.[1]);
}

describe('programs on the platform', () => {
  let store: PlatformStoreStandIn;
  let programs: PlatformProgram[];
  let ports: number[];

  beforeAll(() => {
    buildPrograms();
  });

  beforeEach(async () => {
    store = await PlatformStoreStandIn.create();
    ports = await findPorts(2);
    programs = [];
  });

  afterEach(() => {
    for (const program of programs) program.dispose();
    store.dispose();
  });

  function start(
    name: 'entry' | 'agent',
    changes: object = {},
    isOutputRead = true,
  ): PlatformProgram {
    const create = name === 'entry' ? createEntrySettings : createAgentSettings;
    const settings = { ...create(store.address, ports), ...changes };
    const program = PlatformProgram.create(name, settings, isOutputRead);
    programs.push(program);
    return program;
  }

  function configure(): void {
    const host = `127.0.0.1:${ports[0]}`;
    const routes = [{ name: 'r', host, prefix: '/q/', service: 'svc' }];
    store.write('op/config', { version: 1, routes, services: [], limits: {} });
  }

  async function isListening(port: number): Promise<boolean> {
    return call(port, '/metrics').then(
      () => true,
      () => false,
    );
  }

  /** A ready entry has a configuration, but only the owner can report how many jobs wait. */
  async function waitUntilOwner(): Promise<void> {
    await waitFor(async () => (await isListening(ports[1]!)) && isReadyWith(200));
    await waitFor(async () => (await readGauge(ports[1]!, 'is_owner')) === 1);
  }

  describe('without a configuration', () => {
    it('an entry does not answer that a queue does not exist', async () => {
      start('entry');
      await waitFor(() => isListening(ports[1]!));
      const early = await call(ports[0]!, '/q/');
      expect(early.status).toBe(503);
      expect(Number(early.retryAfter)).toBeGreaterThan(0);
      expect((await call(ports[1]!, '/bramleyladder/ready')).status).toBe(503);
      configure();
      await waitFor(async () => (await call(ports[1]!, '/bramleyladder/ready')).status === 200);
      await waitUntilOwner();
      expect((await call(ports[0]!, '/q/')).status).toBe(200);
      expect((await call(ports[0]!, '/never/')).status).toBe(404);
      expect((await call(ports[0]!, '/q/00000000000000b1')).status).toBe(410);
    });
  });

  describe('with a separate metrics address', () => {
    it.each(['entry', 'agent'] as const)(
      'the %s does not leave the address unserved',
      async (name) => {
        const [metricsPort = 0] = await findPorts(1);
        start(name, { metricsAddress: `127.0.0.1:${metricsPort}` });
        await waitFor(() => isListening(metricsPort));
        expect(await readGauge(metricsPort, 'cpu_seconds')).toBeGreaterThan(0);
        expect((await call(metricsPort, '/bramleyladder/ready')).status).toBe(404);
      },
    );

    it('an entry does not exit when the address is already in use', async () => {
      configure();
      const metricsAddress = store.address;
      const program = start('entry', { metricsAddress });
      await waitUntilOwner();
      expect(program.countLines('metrics_unavailable')).toBe(1);
      expect(program.exitCode).toBeUndefined();
    });
  });

  describe('with invalid settings', () => {
    it.each(['entry', 'agent'] as const)(
      'the %s does not start, and logs every fault in one line',
      async (name) => {
        const program = start(name, { id: '', zone: 7, linkPort: 'x' });
        await waitFor(() => program.exitCode !== undefined);
        expect(program.exitCode).toBe(2);
        expect(program.countLines('settings_invalid')).toBe(1);
        for (const field of ['id', 'zone', 'linkPort'])
          expect(program.output).toMatch(new RegExp(`\\b${field}\\b`));
      },
    );

    it('an entry does not replace the settings in force with invalid ones', async () => {
      configure();
      const program = start('entry');
      await waitUntilOwner();
      for (const settings of [{ id: 'edge-1' }, 'no object', { ...createSettings(), zone: '' }]) {
        program.writeSettings(settings);
        const before = program.countLines('settings_invalid');
        program.reload();
        await waitFor(() => program.countLines('settings_invalid') > before);
        expect((await call(ports[0]!, '/q/')).status).toBe(200);
      }
      program.writeSettings(createSettings());
      program.reload();
      await waitFor(() => program.output.includes('event=settings_reloaded'));
      expect(program.exitCode).toBeUndefined();
    });
  });

  describe('during their start', () => {
    it.each(['entry', 'agent'] as const)('the %s does not exit on a reload', async (name) => {
      const create = name === 'entry' ? createEntrySettings : createAgentSettings;
      const settings = create(store.address, ports);
      const program = PlatformProgram.createReadingFromPipe(name);
      programs.push(program);
      await program.sendSettings(settings, () => {
        program.reload();
      });
      await waitFor(() => program.output.includes('_started '));
      await program.sendSettings(settings);
      await waitFor(() => program.output.includes('event=settings_reloaded'));
      expect(program.exitCode).toBeUndefined();
    });
  });

  describe('whose output is not read', () => {
    it('an entry does not stop serving', async () => {
      configure();
      const program = start('entry', {}, false);
      await waitUntilOwner();
      // Each reload writes a log line of several KB; the pipe and its reader buffer about 128 KB.
      program.writeSettings({ zones: Array.from({ length: 200 }, () => 7) });
      await waitFor(async () => {
        program.reload();
        return (await readGauge(ports[1]!, 'log_lines_left_out')) > 20;
      });
      for (let reload = 0; reload < 50; reload += 1) {
        program.reload();
        expect((await call(ports[0]!, '/q/')).status).toBe(200);
        await delay(10);
      }
      const submission = JSON.stringify({ steps: [{ count: 1, cpu: 1 }] });
      const submitted = await call(ports[0]!, '/q/00000000000000b1', {
        method: 'POST',
        body: submission,
      });
      expect(submitted.status).toBe(200);
      expect(await readGauge(ports[1]!, 'is_owner')).toBe(1);
    });

    it('an agent does not stop accepting heartbeats', async () => {
      const program = start('agent', {}, false);
      const port = ports[0]!;
      await waitFor(() => isListening(port));
      const sendHeartbeat = async (body: object): Promise<number> =>
        (
          await call(port, `/bramleyladder/instances/${'i'.repeat(8_000)}/heartbeat`, {
            method: 'POST',
            body: JSON.stringify(body),
          })
        ).status;
      // Stays below the log's limit of lines per second, so that only a full pipe discards lines.
      for (let batch = 0; batch < 15; batch += 1)
        await Promise.all(
          Array.from({ length: 10 }, async () => sendHeartbeat({ state: 'asleep' })),
        );
      expect(await readGauge(port, 'log_lines_left_out')).toBeGreaterThan(20);
      const heartbeat = { service: 'svc', addr: '127.0.0.1:1', zone: 'a', state: 'ready', seq: 1 };
      expect(await sendHeartbeat({ ...heartbeat, capacity: { cpu: 1_000, mem_mb: 100 } })).toBe(
        200,
      );
      expect(await readGauge(port, 'worker_known')).toBe(1);
      expect(program.exitCode).toBeUndefined();
    });
  });

  function createSettings(): Record<string, unknown> {
    return createEntrySettings(store.address, ports);
  }

  async function isReadyWith(status: number): Promise<boolean> {
    return (await call(ports[1]!, '/bramleyladder/ready')).status === status;
  }
});
