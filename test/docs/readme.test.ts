import type { ChildProcess } from 'node:child_process';
import { execFile, spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { basename, join } from 'node:path';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { buildBundle } from '../support/builtBundle.ts';

const READY_MS = 20_000;
/** Requests at once to the endpoint that is left in service. */
const REQUESTS = 20;
/** Characters of each process's log in the message of a failed check. */
const LOG_TAIL = 600;

/** Below the ports that the system gives to outgoing connections, which could take one meanwhile. */
const FIRST_PORT = 20_000;
const PORT_COUNT = 10_000;

async function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

/** Ports that nobody uses and that differ from each other. */
async function findFreePorts(count: number): Promise<string[]> {
  const found: string[] = [];
  let port = FIRST_PORT + randomInt(PORT_COUNT);
  while (found.length < count) {
    if (await isFree(port)) found.push(String(port));
    port += 1;
  }
  return found;
}

function listCommands(): string[] {
  const text = readFileSync('README.md', 'utf8');
  return [...text.matchAll(/```sh\n([\s\S]*?)```/g)]
    .flatMap((block) => block[1]!.trim().split('\n'))
    .filter((line) => line.startsWith('node dist/') || line.startsWith('curl '));
}

async function waitFor(
  label: string,
  check: () => Promise<boolean>,
  describeState: () => string,
): Promise<void> {
  const until = Date.now() + READY_MS;
  for (;;) {
    if (await check().catch(() => false)) return;
    if (Date.now() > until) throw new Error(`not ready: ${label}\n${describeState()}`);
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
}

describe('walk-through of the README', () => {
  const children: ChildProcess[] = [];
  /** Entries and agents, which stop gracefully. */
  const daemonChildren: ChildProcess[] = [];
  const ports = new Map<string, string>();
  let folder = '';
  let bundle = '';

  function setPorts(text: string): string {
    return text.replace(/\b7\d{3}\b/g, (port) => ports.get(port) ?? port);
  }

  /** The command with free ports, copies of the settings and the test's own bundle. */
  function parseCommand(line: string): string[] {
    return setPorts(line)
      .replace('dist/', `${bundle}/`)
      .split(' ')
      .map((word) => {
        if (!word.startsWith('examples/settings/')) return word;
        const copy = join(folder, basename(word));
        writeFileSync(copy, setPorts(readFileSync(word, 'utf8')));
        return copy;
      });
  }

  /** Sends what a curl line of the README asks for: a GET, or a POST of a file after `-d @`. */
  async function sendCurl(line: string): Promise<Response> {
    const words = setPorts(line).split(' ').slice(1);
    const url = words.at(-1)!;
    if (words.length === 1) return fetch(url);
    expect(words[0]).toBe('-d');
    return fetch(url, { method: 'POST', body: readFileSync(words[1]!.replace('@', ''), 'utf8') });
  }

  /** The last lines of every process, for the message of a failed check. */
  function readLogs(): string {
    return children
      .map((_, index) => readFileSync(join(folder, `log-${index}`), 'utf8').slice(-LOG_TAIL))
      .join('\n');
  }

  async function runCommand(line: string): Promise<{ code: number; output: string }> {
    const [, ...args] = parseCommand(line);
    return new Promise((resolve) => {
      execFile(process.execPath, args, (error, stdout, stderr) => {
        resolve({ code: error === null ? 0 : Number(error.code), output: stdout + stderr });
      });
    });
  }

  /** Takes every zone but one out of service, or back in. */
  async function changeZones(direction: 'in' | 'out', kept: string): Promise<void> {
    for (const zone of ['busan-a', 'ulsan-b', 'daegu-c'].filter((other) => other !== kept)) {
      const line = `node dist/bramleyladder.js zone ${direction} ${zone} --operator http://127.0.0.1:7102`;
      const { code, output } = await runCommand(line);
      expect(`${line}: ${code}${code === 0 ? '' : output}`).toBe(`${line}: 0`);
    }
  }

  beforeAll(async () => {
    bundle = buildBundle('readme');
    folder = mkdtempSync(join(tmpdir(), 'bramleyladder-'));
    const text =
      readFileSync('README.md', 'utf8') +
      [0, 1].map((i) => readFileSync(`examples/settings/entry-${i}.json`, 'utf8')).join('') +
      [0, 1, 2, 3].map((i) => readFileSync(`examples/settings/agent-${i}.json`, 'utf8')).join('');
    const written = [...new Set([...text.matchAll(/\b7\d{3}\b/g)].map(([port]) => port))];
    const free = await findFreePorts(written.length);
    written.forEach((port, index) => ports.set(port, free[index]!));
  });

  afterAll(() => {
    for (const child of children) child.kill('SIGKILL');
    rmSync(folder, { recursive: true, force: true });
  });

  it('does not contain a command that fails', async () => {
    const daemons = / (store|entry|agent|endpoint|worker) |bramleyladder-agent/;
    const commands = listCommands();
    expect(commands.length).toBeGreaterThan(15);
    for (const line of commands.filter((command) => daemons.test(command))) {
      const [, ...args] = parseCommand(line);
      const log = openSync(join(folder, `log-${children.length}`), 'w');
      const child = spawn(process.execPath, args, { stdio: ['ignore', log, log] });
      children.push(child);
      if (/ (entry|agent) |bramleyladder-agent/.test(line)) daemonChildren.push(child);
      // The store and the entries first: a reader also waits for the first log line.
      if (line.includes(' store ')) await new Promise((resolve) => setTimeout(resolve, 500));
    }
    for (const port of ['7102', '7112'])
      await waitFor(
        `entry ${port}`,
        async () => {
          const answer = await fetch(setPorts(`http://127.0.0.1:${port}/v1/status`));
          return ((await answer.json()) as { endpoints: unknown[] }).endpoints.length === 3;
        },
        readLogs,
      );
    for (const line of commands.filter((command) => !daemons.test(command))) {
      if (line.startsWith('curl ')) {
        await waitFor(line, async () => (await sendCurl(line)).status === 200, readLogs);
        continue;
      }
      const { code, output } = await runCommand(line);
      expect(`${line}: ${code}${code === 0 ? '' : output}`).toBe(`${line}: 0`);
    }
  });

  it.each([
    { endpoint: 'kit-0', zone: 'busan-a' },
    { endpoint: 'kit-1', zone: 'ulsan-b' },
    // This one is behind the agent's own bundle.
    { endpoint: 'kit-2', zone: 'daegu-c' },
  ])('does not leave out endpoint $endpoint', async ({ endpoint, zone }) => {
    const readEndpoint = async (): Promise<string> => {
      const answer = await fetch(setPorts('http://127.0.0.1:7101/kits/7'));
      return ((await answer.json()) as { endpoint: string }).endpoint;
    };
    // Routing prefers the own zone while it has room, so the other zones are taken out of service.
    await changeZones('out', zone);
    await waitFor(endpoint, async () => (await readEndpoint()) === endpoint, readLogs);
    const names = await Promise.all(Array.from({ length: REQUESTS }, readEndpoint));
    expect(new Set(names), readLogs()).toEqual(new Set([endpoint]));
    await changeZones('in', zone);
  });

  it('does not lose the job that was submitted twice, or run it twice', async () => {
    const line = listCommands().find((command) => /\/v1\/jobs\/\S+$/.test(command))!;
    let job = { jobId: '', phase: '', attempts: 0 };
    await waitFor(
      line,
      async () => {
        job = (await (await sendCurl(line)).json()) as typeof job;
        return job.phase === 'finished';
      },
      readLogs,
    );
    expect(line.endsWith(job.jobId)).toBe(true);
    expect(job.attempts).toBe(1);
  });

  it('does not end an agent or an entry without a graceful stop', async () => {
    const codes = await Promise.all(
      daemonChildren.map(
        async (child) =>
          new Promise((resolve) => {
            child.once('exit', resolve);
            child.kill('SIGTERM');
          }),
      ),
    );
    expect(codes).toEqual([0, 0, 0, 0, 0, 0]);
  });
});
