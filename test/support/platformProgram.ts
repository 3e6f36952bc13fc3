import type { ChildProcess } from 'node:child_process';
import { execFileSync, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { open } from 'node:fs/promises';
import { createServer } from 'node:net';
import { dirname, join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { BOUNDS } from './worldNodes.ts';

export const CACHE_FOLDER = 'node_modules/.cache/bramleyladder';
export const BUNDLE_FOLDER = `${CACHE_FOLDER}/programs`;

const WAIT_TIMEOUT_MS = 10_000;

/** Waits until a condition about running programs holds. */
export async function waitForProgram(check: () => boolean | Promise<boolean>): Promise<void> {
  const deadline = performance.now() + WAIT_TIMEOUT_MS;
  while (!(await check())) {
    if (performance.now() > deadline) throw new Error('the condition did not become true');
    await delay(20);
  }
}

/** Builds the two bundles of the users' platform into a separate folder. */
export function buildPrograms(folder = BUNDLE_FOLDER): void {
  execFileSync(process.execPath, ['tools/buildPlatform.mjs', folder]);
}

/** Finds ports that are free at the moment of the call. */
export async function findPorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports = await Promise.all(
    servers.map(
      (server) =>
        new Promise<number>((resolve) => {
          server.listen(0, '127.0.0.1', () => {
            const address = server.address();
            resolve(typeof address === 'object' && address !== null ? address.port : 0);
          });
        }),
    ),
  );
  for (const server of servers) server.close();
  return ports;
}

/** Creates settings as the templates in `deploy/` render them. */
export function createEntrySettings(
  storeAddress: string,
  [callerPort, readyPort]: readonly number[],
): Record<string, unknown> {
  return {
    id: 'edge-1',
    zone: 'a',
    zones: ['a', 'b'],
    host: '127.0.0.1',
    linkPort: 0,
    callerAddress: `127.0.0.1:${callerPort}`,
    readyAddress: `127.0.0.1:${readyPort}`,
    storeAddress,
    adviserAddress: '',
    bounds: { ...BOUNDS },
  };
}

export function createAgentSettings(
  storeAddress: string,
  [beatPort]: readonly number[],
): Record<string, unknown> {
  return {
    id: 'side-1',
    zone: 'a',
    host: '127.0.0.1',
    linkPort: 0,
    storeAddress,
    beatAddress: `127.0.0.1:${beatPort}`,
  };
}

/** Runs one of the two programs as a child process with a settings file. */
export class PlatformProgram {
  readonly process: ChildProcess;
  /** Output read so far. */
  output = '';
  exitCode: number | null | undefined;
  private readonly settingsFile: string;

  private constructor(name: 'entry' | 'agent', settings: unknown, isOutputRead: boolean) {
    this.settingsFile = join(mkdtempSync(`${CACHE_FOLDER}/settings-`), 'settings.json');
    if (settings === undefined) execFileSync('mkfifo', [this.settingsFile]);
    else this.writeSettings(settings);
    this.process = spawn(process.execPath, [`${BUNDLE_FOLDER}/${name}.mjs`], {
      env: { ...process.env, BRAMLEYLADDER_BOOT: this.settingsFile },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.process.on('exit', (code) => {
      this.exitCode = code;
    });
    if (isOutputRead)
      this.process.stdout?.on('data', (chunk: Buffer) => (this.output += String(chunk)));
  }

  /** Without `isOutputRead` the output of the program is not read, so its pipe fills up. */
  static create(name: 'entry' | 'agent', settings: unknown, isOutputRead = true): PlatformProgram {
    return new PlatformProgram(name, settings, isOutputRead);
  }

  /** Starts a program that waits for {@link sendSettings} each time it reads its settings. */
  static createReadingFromPipe(name: 'entry' | 'agent'): PlatformProgram {
    return new PlatformProgram(name, undefined, true);
  }

  /** Sends settings to a waiting program, and calls `onOpen` once the program reads. */
  async sendSettings(settings: unknown, onOpen: () => void = () => undefined): Promise<void> {
    const pipe = await open(this.settingsFile, 'w');
    onOpen();
    await pipe.writeFile(JSON.stringify(settings));
    await pipe.close();
  }

  writeSettings(settings: unknown): void {
    writeFileSync(this.settingsFile, JSON.stringify(settings));
  }

  reload(): void {
    this.process.kill('SIGHUP');
  }

  countLines(event: string): number {
    return this.output.split('\n').filter((line) => line.includes(` event=${event} `)).length;
  }

  dispose(): void {
    this.process.kill('SIGKILL');
    rmSync(dirname(this.settingsFile), { recursive: true, force: true });
  }
}
