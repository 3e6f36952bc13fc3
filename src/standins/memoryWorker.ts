import type { Clock } from '../base/common/clock.ts';
import type { Resources } from '../model/resources.ts';
import { addResources, hasCapacity, NO_RESOURCES, removeResources } from '../model/resources.ts';
import { formatRunId } from '../model/run.ts';
import type { RunPhase, UsageSample } from '../model/worker.ts';
import type { WorkerCall, WorkerReply, WorkerStatus } from '../model/workerCall.ts';

export interface MemoryWorkerOptions {
  readonly id: string;
  readonly rack: string;
  readonly capacity: Resources;
  readonly clock: Clock;
  /** Reading of the worker's own clock when `clock` reads 0; differs between instances. */
  readonly clockOffsetMs?: number;
  /** Computes a task's run time at full speed without other tasks, in milliseconds. */
  readonly computeWorkMs?: (taskKind: string, command: readonly string[]) => number;
}

interface Run {
  readonly taskId: string;
  readonly incarnation: number;
  readonly taskKind: string;
  readonly demand: Resources;
  readonly workMs: number;
  phase: RunPhase;
  completedMs: number;
  checkpoint: string | undefined;
  throttle: number;
  leaseUntilMs: number;
  advancedAtMs: number;
  message: string | undefined;
}

type StartCall = Extract<WorkerCall, { op: 'start' }>;

const DEFAULT_WORK_MS = 1_000;
/** Work between two regular checkpoints of a running task. */
const CHECKPOINT_INTERVAL_MS = 1_000;
const DONE: WorkerReply = { kind: 'done' };

function isLive(run: Run): boolean {
  return run.phase === 'running' || run.phase === 'suspended';
}

/** Stand-in of the platform's worker. Enforces the leases of its runs on its own clock. */
export class MemoryWorker {
  /** While set, each start is accepted and its run fails immediately. */
  failsStarts = false;
  /** While set, no call is answered; runs and leases continue. */
  isSilent = false;
  /** Run time of every run relative to its run time without other tasks. */
  slowdown = 1;
  /** Accepted starts in order, with the time of `options.clock`. */
  readonly starts: { taskId: string; incarnation: number; atMs: number; checkpoint?: string }[] =
    [];
  /** Number of refused calls, by reason. */
  readonly refusals = new Map<string, number>();

  private readonly runs = new Map<string, Run>();
  /** Highest incarnation of each task that was started or stopped in this boot. */
  private readonly newestIncarnations = new Map<string, number>();
  private bootNumber = 1;
  private clockOffsetMs: number;

  private constructor(readonly options: MemoryWorkerOptions) {
    this.clockOffsetMs = options.clockOffsetMs ?? 0;
  }

  static create(options: MemoryWorkerOptions): MemoryWorker {
    return new MemoryWorker(options);
  }

  get clockMs(): number {
    return this.options.clock.now + this.clockOffsetMs;
  }

  /** Simulates a reboot: removes every run and sets the worker's clock to 0. */
  reset(): void {
    this.runs.clear();
    this.newestIncarnations.clear();
    this.bootNumber += 1;
    this.clockOffsetMs = -this.options.clock.now;
  }

  /** Handles one call. Returns undefined if the worker does not answer. */
  handle(call: WorkerCall): WorkerReply | undefined {
    this.update();
    if (this.isSilent) return undefined;
    switch (call.op) {
      case 'status':
        return { kind: 'status', status: this.getStatus() };
      case 'start':
        return this.start(call);
      case 'renew':
        for (const { taskId, incarnation } of call.runs)
          this.renew(taskId, incarnation, call.leaseUntil);
        return DONE;
      case 'checkpoint':
        return this.updateRun(call.taskId, call.incarnation, markCheckpoint);
      case 'throttle':
        return this.updateRun(call.taskId, call.incarnation, (run) => {
          run.throttle = call.share;
        });
      case 'stop':
        return this.stop(call.taskId, call.incarnation, call.withCheckpoint);
      case 'forget':
        return this.forget(call.taskId, call.incarnation);
    }
  }

  /** Lists the running and suspended runs. */
  listLiveRuns(): { taskId: string; incarnation: number; phase: RunPhase; demand: Resources }[] {
    this.update();
    return [...this.runs.values()].filter(isLive).map((run) => ({ ...run }));
  }

  /** Computes the resources that running and suspended runs occupy. */
  computeUsedResources(): Resources {
    return this.listLiveRuns()
      .map((run) => run.demand)
      .reduce(addResources, NO_RESOURCES);
  }

  /** Advances every run to the current time of the worker's clock. */
  update(): void {
    const now = this.clockMs;
    for (const run of this.runs.values()) {
      if (run.phase !== 'running') continue;
      const workedUntilMs = Math.min(now, run.leaseUntilMs);
      const progressMs = Math.max(
        0,
        ((workedUntilMs - run.advancedAtMs) * run.throttle) / this.slowdown,
      );
      run.completedMs = Math.min(run.workMs, run.completedMs + progressMs);
      run.advancedAtMs = now;
      if (run.completedMs >= run.workMs) run.phase = 'finished';
      else if (now >= run.leaseUntilMs) run.phase = 'suspended';
      if (run.completedMs - Number(run.checkpoint ?? 0) >= CHECKPOINT_INTERVAL_MS)
        markCheckpoint(run);
    }
  }

  private getStatus(): WorkerStatus {
    const { id, rack, capacity } = this.options;
    const runs = [...this.runs.values()];
    return {
      workerId: id,
      bootId: `${id}-boot-${this.bootNumber}`,
      rack,
      capacity,
      clockMs: this.clockMs,
      runs: runs.map(({ taskId, incarnation, phase, checkpoint, throttle, message }) => ({
        taskId,
        incarnation,
        phase,
        throttle,
        ...(checkpoint === undefined ? {} : { checkpoint }),
        ...(message === undefined ? {} : { message }),
      })),
      samples: runs.filter((run) => run.phase === 'running').map((run) => this.buildSample(run)),
    };
  }

  private buildSample(run: Run): UsageSample {
    const { taskId, incarnation, demand } = run;
    return {
      taskId,
      incarnation,
      ageMs: 0,
      cores: demand.cores * run.throttle,
      memoryMb: demand.memoryMb,
      slowdown: this.slowdown,
    };
  }

  private start(call: StartCall): WorkerReply {
    const { taskId, incarnation } = call;
    if (this.runs.has(formatRunId(taskId, incarnation))) return DONE;
    if ((this.newestIncarnations.get(taskId) ?? 0) >= incarnation)
      return this.refuse('old_incarnation');
    if (this.clockMs > Math.min(call.startBefore, call.leaseUntil)) return this.refuse('too_late');
    for (const run of this.runs.values()) {
      if (run.taskId === taskId && isLive(run)) run.phase = 'stopped';
    }
    const free = removeResources(this.options.capacity, this.computeUsedResources());
    if (!hasCapacity(free, call.demand)) return this.refuse('no_room');
    this.newestIncarnations.set(taskId, incarnation);
    this.starts.push({
      taskId,
      incarnation,
      atMs: this.options.clock.now,
      ...(call.checkpoint === undefined ? {} : { checkpoint: call.checkpoint }),
    });
    this.runs.set(formatRunId(taskId, incarnation), this.createRun(call));
    return DONE;
  }

  private createRun(call: StartCall): Run {
    const { computeWorkMs: workMs } = this.options;
    return {
      taskId: call.taskId,
      incarnation: call.incarnation,
      taskKind: call.taskKind,
      demand: call.demand,
      workMs: workMs?.(call.taskKind, call.command) ?? DEFAULT_WORK_MS,
      phase: this.failsStarts ? 'failed' : 'running',
      completedMs: Number(call.checkpoint ?? 0),
      checkpoint: call.checkpoint,
      throttle: 1,
      leaseUntilMs: call.leaseUntil,
      advancedAtMs: this.clockMs,
      message: this.failsStarts ? 'the program did not start' : undefined,
    };
  }

  /** Extends the lease and resumes a suspended run. Shortens no lease and revives no ended run. */
  private renew(taskId: string, incarnation: number, leaseUntil: number): void {
    const run = this.runs.get(formatRunId(taskId, incarnation));
    if (run === undefined || !isLive(run) || leaseUntil <= this.clockMs) return;
    run.leaseUntilMs = Math.max(run.leaseUntilMs, leaseUntil);
    run.advancedAtMs = this.clockMs;
    run.phase = 'running';
  }

  private updateRun(taskId: string, incarnation: number, apply: (run: Run) => void): WorkerReply {
    const run = this.runs.get(formatRunId(taskId, incarnation));
    if (run === undefined || !isLive(run)) return this.refuse('no_such_run');
    apply(run);
    return DONE;
  }

  /** Also records the stop of an unknown run, so that its start is refused if it arrives later. */
  private stop(taskId: string, incarnation: number, withCheckpoint: boolean): WorkerReply {
    const id = formatRunId(taskId, incarnation);
    const run = this.runs.get(id);
    this.newestIncarnations.set(
      taskId,
      Math.max(incarnation, this.newestIncarnations.get(taskId) ?? 0),
    );
    if (run === undefined) {
      this.runs.set(id, {
        taskId,
        incarnation,
        taskKind: '',
        demand: NO_RESOURCES,
        workMs: 0,
        phase: 'stopped',
        completedMs: 0,
        checkpoint: undefined,
        throttle: 1,
        leaseUntilMs: 0,
        advancedAtMs: 0,
        message: undefined,
      });
    } else if (isLive(run)) {
      if (withCheckpoint) markCheckpoint(run);
      run.phase = 'stopped';
    }
    return DONE;
  }

  private forget(taskId: string, incarnation: number): WorkerReply {
    const id = formatRunId(taskId, incarnation);
    const run = this.runs.get(id);
    if (run !== undefined && isLive(run)) return this.refuse('still_running');
    this.runs.delete(id);
    return DONE;
  }

  private refuse(reason: string): WorkerReply {
    this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1);
    return { kind: 'refused', reason };
  }
}

function markCheckpoint(run: Run): void {
  run.checkpoint = String(Math.floor(run.completedMs));
}
