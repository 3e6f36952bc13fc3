import type { Clock } from '../base/common/clock.ts';
import type { EndedRun, RunEnd, RunningRun } from '../model/scheduler/linkMessages.ts';
import type { RunnerCall, RunnerReply } from '../model/scheduler/runnerCall.ts';

/** Processor usage that a task without a latency reports at full pace, in thousandths of a core. */
const FULL_PACE_CPU_MILLIS = 1_000;

interface MemoryRun {
  readonly task: string;
  readonly run: number;
  readonly startedAtMs: number;
  /** Work of the whole task, and the work that the checkpoint at the start contained. */
  readonly workMs: number;
  readonly restoredMs: number;
  readonly checkpointIntervalMs: number;
  endsAtMs: number;
  readonly processorShare: number;
  readonly end: RunEnd;
  readonly computeLatencyMs: ((otherTasks: number) => number) | undefined;
  pacePercent: number;
  /** Latest end of a run that is being stopped; the run is listed as running until it ends. */
  stopDeadlineMs: number;
}

/** Behavior of a simulated task. */
export interface RunBehaviour {
  readonly durationMs: number;
  readonly end: RunEnd;
  /** Work between two checkpoints; without checkpoints a restart repeats all work. */
  readonly checkpointIntervalMs?: number;
  /** Whether the task makes no progress until it is stopped. */
  readonly isStalled?: boolean;
  /** Requested fraction of the worker's processors; scaled down evenly if the sum exceeds 1. */
  readonly processorShare?: number;
  /** Tail latency that a serving task reports beside this many other tasks at full pace. */
  readonly computeLatencyMs?: (otherTasks: number) => number;
}

/** Stand-in of one incarnation of the platform's worker, with the interface for the scheduler. */
export class MemoryRunner {
  readonly running = new Map<string, MemoryRun>();
  readonly ended: EndedRun[] = [];
  /** Accepted starts in order. */
  readonly starts: {
    readonly task: string;
    readonly run: number;
    readonly at: number;
    readonly checkpoint: string;
  }[] = [];
  /** Whether the ticket of a start is valid; every ticket is by default. */
  isTicketValid: (task: string, ticket: string) => boolean = () => true;
  /** Time from a stop to the end of the run; the stop is answered immediately. */
  stopDurationMs = 0;
  /** Maximum duration of a lease; longer leases are shortened to it. */
  maxLeaseMs = Number.POSITIVE_INFINITY;
  /** Maximum number of ended runs in a list. */
  maxListedEnds = Number.POSITIVE_INFINITY;
  private readonly blockedRuns = new Map<string, number>();
  private fence = 0;
  private leaseUntilMs = Number.NEGATIVE_INFINITY;
  private lastEndNumber = 0;
  private advancedAtMs = Number.POSITIVE_INFINITY;

  /** Time at which the clock of this incarnation reads 0. */
  private readonly clockOriginMs: number;

  private constructor(
    private readonly clock: Clock,
    readonly startedMs: number,
    private readonly getBehaviour: (task: string, run: number, payload: string) => RunBehaviour,
  ) {
    this.clockOriginMs = clock.now;
  }

  static create(
    clock: Clock,
    bornMs: number,
    behave: (task: string, run: number, payload: string) => RunBehaviour,
  ): MemoryRunner {
    return new MemoryRunner(clock, bornMs, behave);
  }

  /** Handles one call. A long poll is answered immediately; the caller implements the wait. */
  handle(call: RunnerCall): RunnerReply {
    this.advance();
    if (call.fence < this.fence) return { kind: 'rejected', reason: 'fence' };
    this.fence = call.fence;
    switch (call.op) {
      case 'hold':
        return this.answerLongPoll(call);
      case 'start':
        return this.start(call);
      case 'stop':
        this.stop(call.task, call.run);
        return { kind: 'done', clockMs: this.clockMs };
      case 'pace': {
        const run = this.running.get(call.task);
        if (run !== undefined) run.pacePercent = call.percent;
        return { kind: 'done', clockMs: this.clockMs };
      }
    }
  }

  /** Ends each run that is due, and all runs once the lease has expired. */
  advance(): void {
    this.extendThrottledRuns();
    for (const run of [...this.running.values()]) {
      const isStopping = run.stopDeadlineMs < Number.POSITIVE_INFINITY;
      if (this.clockMs > this.leaseUntilMs) this.recordEnd(run, 'lapsed');
      else if (Math.min(run.endsAtMs, run.stopDeadlineMs) <= this.clock.now)
        this.recordEnd(run, isStopping ? 'stopped' : run.end);
    }
  }

  /** Lists the current runs as a status list reports them. */
  listRunning(): RunningRun[] {
    return [...this.running.values()].map((run) => ({
      task: run.task,
      run: run.run,
      checkpoint: this.formatCheckpoint(run, run.checkpointIntervalMs),
      percent: run.computeLatencyMs === undefined ? this.computePercent(run) : 100,
      load: Math.round(
        run.computeLatencyMs?.(this.countOtherTasks(run.task)) ??
          FULL_PACE_CPU_MILLIS * (run.pacePercent / 100),
      ),
    }));
  }

  private get clockMs(): number {
    return this.clock.now - this.clockOriginMs;
  }

  private extendLease(untilMs: number): void {
    const maxUntilMs = this.clockMs + this.maxLeaseMs;
    this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(untilMs, maxUntilMs));
  }

  private answerLongPoll(call: Extract<RunnerCall, { op: 'hold' }>): RunnerReply {
    if (call.leaseUntilMs !== undefined) this.extendLease(call.leaseUntilMs);
    const unacknowledged = this.ended.filter(({ number }) => number > call.lastSeen);
    this.ended.splice(0, this.ended.length, ...unacknowledged);
    return {
      kind: 'lists',
      clockMs: this.clockMs,
      bornMs: this.startedMs,
      running: this.listRunning(),
      ended: this.ended.slice(0, this.maxListedEnds),
      isComplete: this.ended.length <= this.maxListedEnds,
    };
  }

  private start(call: Extract<RunnerCall, { op: 'start' }>): RunnerReply {
    const existing = this.running.get(call.task);
    if (existing?.run === call.run) return { kind: 'done', clockMs: this.clockMs };
    if (call.leaseUntilMs < this.clockMs) return { kind: 'rejected', reason: 'late' };
    if (call.run <= (this.blockedRuns.get(call.task) ?? 0))
      return { kind: 'rejected', reason: 'old' };
    if (!this.isTicketValid(call.task, call.ticket)) return { kind: 'rejected', reason: 'ticket' };
    this.extendLease(call.leaseUntilMs);
    const { durationMs, end, isStalled, checkpointIntervalMs, processorShare, computeLatencyMs } =
      this.getBehaviour(call.task, call.run, call.payload);
    const restoredMs = Math.min(durationMs, Number(call.checkpoint));
    const { task, run, checkpoint } = call;
    this.starts.push({ task, run, at: this.clock.now, checkpoint });
    this.running.set(call.task, {
      task: call.task,
      run: call.run,
      startedAtMs: this.clock.now,
      workMs: durationMs,
      restoredMs,
      checkpointIntervalMs: checkpointIntervalMs ?? 0,
      endsAtMs:
        isStalled === true ? Number.POSITIVE_INFINITY : this.clock.now + durationMs - restoredMs,
      processorShare: processorShare ?? 0,
      end,
      computeLatencyMs,
      pacePercent: 100,
      stopDeadlineMs: Number.POSITIVE_INFINITY,
    });
    return { kind: 'done', clockMs: this.clockMs };
  }

  /** Postpones the ends of paced tasks and of tasks that get fewer processors than requested. */
  private extendThrottledRuns(): void {
    const elapsedMs = Math.max(0, this.clock.now - this.advancedAtMs);
    this.advancedAtMs = this.clock.now;
    let requestedShare = 0;
    for (const run of this.running.values())
      requestedShare += (run.processorShare * run.pacePercent) / 100;
    for (const run of this.running.values()) {
      const share = run.processorShare > 0 ? 1 / Math.max(1, requestedShare) : 1;
      run.endsAtMs += elapsedMs * (1 - (share * run.pacePercent) / 100);
    }
  }

  private computePercent({ startedAtMs, endsAtMs, workMs, restoredMs }: MemoryRun): number {
    const completedFraction = (this.clock.now - startedAtMs) / (endsAtMs - startedAtMs);
    return Math.floor((100 * (restoredMs + completedFraction * (workMs - restoredMs))) / workMs);
  }

  /** Formats the work that a restart does not repeat, rounded down to the interval. */
  private formatCheckpoint(run: MemoryRun, intervalMs: number): string {
    if (run.checkpointIntervalMs === 0) return '';
    const remainingMs = Math.min(
      run.workMs - run.restoredMs,
      Math.max(0, run.endsAtMs - this.clock.now),
    );
    const savedMs = Math.floor((run.workMs - remainingMs) / intervalMs) * intervalMs;
    return savedMs === 0 ? '' : String(Math.max(savedMs, run.restoredMs));
  }

  /** Counts the other running tasks, each weighted by its pace. */
  private countOtherTasks(task: string): number {
    let otherTasks = 0;
    for (const run of this.running.values())
      if (run.task !== task) otherTasks += run.pacePercent / 100;
    return otherTasks;
  }

  private stop(task: string, run: number): void {
    this.blockedRuns.set(task, Math.max(run, this.blockedRuns.get(task) ?? 0));
    const existing = this.running.get(task);
    if (existing === undefined || existing.run > run) return;
    existing.stopDeadlineMs = Math.min(
      existing.stopDeadlineMs,
      this.clock.now + this.stopDurationMs,
    );
    this.advance();
  }

  private recordEnd(ended: MemoryRun, how: RunEnd): void {
    const { task, run } = ended;
    this.running.delete(task);
    this.blockedRuns.set(task, Math.max(run, this.blockedRuns.get(task) ?? 0));
    this.lastEndNumber += 1;
    // A stop writes a checkpoint of all work; any other end retains the latest regular checkpoint.
    const intervalMs = how === 'stopped' ? 1 : ended.checkpointIntervalMs;
    const checkpoint = this.formatCheckpoint(ended, intervalMs);
    this.ended.push({ number: this.lastEndNumber, task, run, how, checkpoint });
  }
}
