import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { appendFileSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { SOAK_BOUNDS } from './bounds.ts';
import type { SoakHistory } from './history.ts';

/** Time after which a process that ended by itself is started again. */
const RESTART_MS = 500;

/** One of the programs as a process of its own that signals stop, suspend and end. */
export class SoakProcess {
  private child: ChildProcess | undefined;
  private isAsked = false;
  private isDisposed = false;
  private starts = 0;
  private restartAt = 0;
  /** When a signal of the soak ended the process; undefined at the first start and after an end by itself. */
  private endedAt: number | undefined;
  private isPlanned = false;

  private constructor(
    readonly name: string,
    private readonly bundle: string,
    private readonly folder: string,
    private readonly history: SoakHistory,
    /** Tells the proxies whether the process listens. */
    private readonly onChange: (isUp: boolean) => void,
  ) {}

  /** Writes the settings; the process runs after {@link start}. */
  static create(
    name: string,
    bundle: string,
    settings: object,
    folder: string,
    history: SoakHistory,
    onChange: (isUp: boolean) => void,
  ): SoakProcess {
    const started = new SoakProcess(name, bundle, folder, history, onChange);
    writeFileSync(started.settingsFile, JSON.stringify(settings));
    return started;
  }

  /** Name and number of the present start. */
  get incarnation(): string {
    return `${this.name}#${this.starts}`;
  }

  get pid(): number | undefined {
    return this.child?.pid;
  }

  start(): void {
    if (this.child !== undefined || this.isDisposed) return;
    this.recordRestart();
    this.starts += 1;
    this.isAsked = false;
    const child = spawn(process.execPath, [this.bundle], {
      env: { ...process.env, BRAMLEYLADDER_BOOT: this.settingsFile },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const output of [child.stdout, child.stderr])
      output.on('data', (chunk: Buffer) => {
        this.log(String(chunk));
      });
    child.on('exit', (code, signal) => {
      this.handleExit(child, code, signal);
    });
    this.child = child;
    this.onChange(true);
  }

  /** Ends the process at once; it starts again after a time. */
  stop(restartMs: number): void {
    this.isAsked = true;
    this.isPlanned = false;
    this.restartAt = performance.now() + restartMs;
    this.child?.kill('SIGKILL');
  }

  /** Asks the process to stop, and ends it after the platform's time. */
  drain(restartMs: number): void {
    const { child } = this;
    // A second signal would end the process at once.
    if (child === undefined || this.isAsked) return;
    this.isAsked = true;
    this.isPlanned = true;
    this.restartAt = performance.now() + restartMs;
    child.kill('SIGTERM');
    setTimeout(() => {
      if (this.child === child) child.kill('SIGKILL');
    }, SOAK_BOUNDS.graceMs);
  }

  /** Suspends the process, or lets it go on. */
  setFrozen(isFrozen: boolean): void {
    this.child?.kill(isFrozen ? 'SIGSTOP' : 'SIGCONT');
  }

  /** Asks the process to read its settings again, once its program has begun to handle that. */
  reload(): void {
    if (this.child?.pid !== undefined && canReload(this.child.pid)) this.child.kill('SIGHUP');
  }

  dispose(): void {
    this.isDisposed = true;
    this.isAsked = true;
    this.child?.kill('SIGKILL');
  }

  /** Adds the time on the clock of the soak, because the programs leave times to the platform. */
  private log(text: string): void {
    // What the process wrote before its end may arrive when its folder has been removed.
    if (this.isDisposed) return;
    const at = Math.round(performance.now());
    const lines = text.trimEnd().replaceAll('\n', `\nt=${at} `);
    appendFileSync(join(this.folder, `${this.name}.log`), `t=${at} ${lines}\n`);
  }

  private get settingsFile(): string {
    return join(this.folder, `${this.name}.json`);
  }

  /** A process that was ended is out of touch until it runs again. */
  private recordRestart(): void {
    if (this.endedAt === undefined) return;
    this.history.disruptions.set({
      id: this.history.takeId(),
      process: this.name,
      kind: 'restart',
      isPlanned: this.isPlanned,
      from: this.endedAt,
      to: performance.now(),
    });
  }

  private handleExit(child: ChildProcess, code: number | null, signal: string | null): void {
    this.child = undefined;
    const now = performance.now();
    const isAsked = this.isAsked && (code === 0 || signal === 'SIGKILL' || signal === 'SIGTERM');
    this.history.exits.set({
      id: this.history.takeId(),
      process: this.name,
      at: now,
      code: `pid ${child.pid ?? 0} ${signal ?? code ?? ''}`,
      isAsked,
    });
    this.endedAt = isAsked ? now : undefined;
    if (this.isDisposed) return;
    this.onChange(false);
    setTimeout(
      () => {
        this.start();
      },
      this.isAsked ? Math.max(0, this.restartAt - now) : RESTART_MS,
    );
  }
}

/** Bit of SIGHUP in the mask of the signals that a process handles. */
const HANGUP_BIT = 1n;

/** Until the first line of a program runs, Node.js leaves SIGHUP to the system, which ends the process. */
function canReload(pid: number): boolean {
  try {
    const mask = /^SigCgt:\s*([0-9a-f]+)$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1];
    return (BigInt(`0x${mask ?? '0'}`) & HANGUP_BIT) !== 0n;
  } catch {
    return false;
  }
}
