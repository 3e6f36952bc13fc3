import type { ChildProcess } from 'node:child_process';
import { execFileSync, spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { dirname, join } from 'node:path';
import { BOUNDS } from './worldNodes.ts';

const FOLDER = 'node_modules/.cache/bramleyladder';
export const BUNDLES = `${FOLDER}/programs`;

/** Builds the two bundles of the users' platform into a folder of the test's own. */
export function buildPrograms(): void {
  execFileSync(process.execPath, ['tools/buildPlatform.mjs', BUNDLES]);
}

/** Path of the bundle of a role. */
export function findBundle(role: string): string {
  return `${BUNDLES}/${role}.mjs`;
}

/** Ports that nothing listens on at the moment. */
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

/** Settings as the templates in `deploy/` render them. */
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

/** One of the two programs as a process of its own, with its settings file. */
export class PlatformProgram {
  readonly process: ChildProcess;
  /** Output that has been read so far. */
  output = '';
  exitCode: number | null | undefined;
  private readonly settingsFile: string;

  private constructor(name: 'entry' | 'agent', settings: unknown, isRead: boolean) {
    this.settingsFile = join(mkdtempSync(`${FOLDER}/settings-`), 'settings.json');
    this.writeSettings(settings);
    this.process = spawn(process.execPath, [`${BUNDLES}/${name}.mjs`], {
      env: { ...process.env, BRAMLEYLADDER_BOOT: this.settingsFile },
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.process.on('exit', (code) => {
      this.exitCode = code;
    });
    if (isRead) this.process.stdout?.on('data', (chunk: Buffer) => (this.output += String(chunk)));
  }

  /** Without `isRead` nobody reads what the program writes, until its pipe is full. */
  static create(name: 'entry' | 'agent', settings: unknown, isRead = true): PlatformProgram {
    return new PlatformProgram(name, settings, isRead);
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
