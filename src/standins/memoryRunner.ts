import type { Clock } from '../base/common/clock.ts';
import type { EndedRun, RunEnd, RunningRun } from '../model/scheduler/linkMessages.ts';
import type { RunnerCall, RunnerReply } from '../model/scheduler/runnerCall.ts';

/** Processor use that a task without a latency reports at full pace, thousandths of a core. */
const MILLIS_IN_USE = 1_000;

interface MemoryRun {
  readonly task: string;
  readonly run: number;
  readonly startedAt: number;
  /** Work of the whole task, and the part of it that the checkpoint of the start held, ms. */
  readonly workMs: number;
  readonly restoredMs: number;
  readonly savesEveryMs: number;
  endsAt: number;
  readonly processors: number;
  readonly how: RunEnd;
  readonly computeLatency: ((others: number) => number) | undefined;
  pacePercent: number;
  /** When a stopped run ends at the latest; it is listed as running until then. */
  stopsAt: number;
}

/** How a task behaves on the stand-in. */
export interface RunBehaviour {
  readonly durationMs: number;
  readonly how: RunEnd;
  /** Work after which the task writes a checkpoint, ms; without it a restart begins anew. */
  readonly savesEveryMs?: number;
  /** Whether the task stands still until it is stopped. */
  readonly isStalled?: boolean;
  /** Part of the worker's processors that the task asks for; such tasks share the processors evenly. */
  readonly processors?: number;
  /** Tail latency that a serving task reports beside this many others at full pace, ms. */
  readonly computeLatency?: (others: number) => number;
}

/** Stand-in of one incarnation of the platform's worker, as the scheduler speaks to it. */
export class MemoryRunner {
  readonly running = new Map<string, MemoryRun>();
  readonly ended: EndedRun[] = [];
  /** Every start that was carried out, in order. */
  readonly starts: {
    readonly task: string;
    readonly run: number;
    readonly at: number;
    readonly checkpoint: string;
  }[] = [];
  /** Whether a start's ticket is good; every one is unless a test sets this. */
  checkTicket: (task: string, ticket: string) => boolean = () => true;
  /** Time that a stopped run takes to end, ms; the stop is answered at once. */
  stopMs = 0;
  /** Longest lease; a longer one is shortened to it, ms. */
  maxLeaseMs = Number.POSITIVE_INFINITY;
  /** Most ends that a list names. */
  maxListedEnds = Number.POSITIVE_INFINITY;
  private readonly blocked = new Map<string, number>();
  private fence = 0;
  private leaseUntil = Number.NEGATIVE_INFINITY;
  private lastEnd = 0;
  private advancedAt = Number.POSITIVE_INFINITY;

  /** Each incarnation's clock starts anew. */
  private readonly startedAt: number;

  private constructor(
    private readonly clock: Clock,
    readonly bornMs: number,
    private readonly behave: (task: string, run: number, payload: string) => RunBehaviour,
  ) {
    this.startedAt = clock.now;
  }

  static create(
    clock: Clock,
    bornMs: number,
    behave: (task: string, run: number, payload: string) => RunBehaviour,
  ): MemoryRunner {
    return new MemoryRunner(clock, bornMs, behave);
  }

  /** Carries out one call. A waiting look is answered at once; waiting is up to the caller. */
  handle(call: RunnerCall): RunnerReply {
    this.advance();
    if (call.fence < this.fence) return { kind: 'rejected', reason: 'fence' };
    this.fence = call.fence;
    switch (call.op) {
      case 'hold':
        return this.answerHold(call);
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

  /** Ends what is over by now, and everything when the lease has lapsed. */
  advance(): void {
    this.recordSharing();
    for (const run of [...this.running.values()]) {
      const isStopping = run.stopsAt < Number.POSITIVE_INFINITY;
      if (this.clockMs > this.leaseUntil) this.recordEnd(run, 'lapsed');
      else if (Math.min(run.endsAt, run.stopsAt) <= this.clock.now)
        this.recordEnd(run, isStopping ? 'stopped' : run.how);
    }
  }

  /** What runs now, as a list reports it. */
  listRunning(): RunningRun[] {
    return [...this.running.values()].map((run) => ({
      task: run.task,
      run: run.run,
      checkpoint: this.formatCheckpoint(run, run.savesEveryMs),
      percent: run.computeLatency === undefined ? this.computePercent(run) : 100,
      load: Math.round(
        run.computeLatency?.(this.countOthers(run.task)) ?? MILLIS_IN_USE * (run.pacePercent / 100),
      ),
    }));
  }

  private get clockMs(): number {
    return this.clock.now - this.startedAt;
  }

  private extendLease(untilMs: number): void {
    const longest = this.clockMs + this.maxLeaseMs;
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(untilMs, longest));
  }

  private answerHold(call: Extract<RunnerCall, { op: 'hold' }>): RunnerReply {
    if (call.leaseUntilMs !== undefined) this.extendLease(call.leaseUntilMs);
    const kept = this.ended.filter(({ number }) => number > call.lastSeen);
    this.ended.splice(0, this.ended.length, ...kept);
    return {
      kind: 'lists',
      clockMs: this.clockMs,
      bornMs: this.bornMs,
      running: this.listRunning(),
      ended: this.ended.slice(0, this.maxListedEnds),
      isComplete: this.ended.length <= this.maxListedEnds,
    };
  }

  private start(call: Extract<RunnerCall, { op: 'start' }>): RunnerReply {
    const known = this.running.get(call.task);
    if (known?.run === call.run) return { kind: 'done', clockMs: this.clockMs };
    if (call.leaseUntilMs < this.clockMs) return { kind: 'rejected', reason: 'late' };
    if (call.run <= (this.blocked.get(call.task) ?? 0)) return { kind: 'rejected', reason: 'old' };
    if (!this.checkTicket(call.task, call.ticket)) return { kind: 'rejected', reason: 'ticket' };
    this.extendLease(call.leaseUntilMs);
    const { durationMs, how, isStalled, savesEveryMs, processors, computeLatency } = this.behave(
      call.task,
      call.run,
      call.payload,
    );
    const restoredMs = Math.min(durationMs, Number(call.checkpoint));
    const { task, run, checkpoint } = call;
    this.starts.push({ task, run, at: this.clock.now, checkpoint });
    this.running.set(call.task, {
      task: call.task,
      run: call.run,
      startedAt: this.clock.now,
      workMs: durationMs,
      restoredMs,
      savesEveryMs: savesEveryMs ?? 0,
      endsAt:
        isStalled === true ? Number.POSITIVE_INFINITY : this.clock.now + durationMs - restoredMs,
      processors: processors ?? 0,
      how,
      computeLatency,
      pacePercent: 100,
      stopsAt: Number.POSITIVE_INFINITY,
    });
    return { kind: 'done', clockMs: this.clockMs };
  }

  /** Puts off the ends of the tasks that are slowed or got only a part of the processors they ask for. */
  private recordSharing(): void {
    const elapsedMs = Math.max(0, this.clock.now - this.advancedAt);
    this.advancedAt = this.clock.now;
    let asked = 0;
    for (const run of this.running.values()) asked += (run.processors * run.pacePercent) / 100;
    for (const run of this.running.values()) {
      const part = run.processors > 0 ? 1 / Math.max(1, asked) : 1;
      run.endsAt += elapsedMs * (1 - (part * run.pacePercent) / 100);
    }
  }

  private computePercent({ startedAt, endsAt, workMs, restoredMs }: MemoryRun): number {
    const part = (this.clock.now - startedAt) / (endsAt - startedAt);
    return Math.floor((100 * (restoredMs + part * (workMs - restoredMs))) / workMs);
  }

  /** Work that a restart need not repeat, in steps of so many ms, as the text of a checkpoint. */
  private formatCheckpoint(run: MemoryRun, everyMs: number): string {
    if (run.savesEveryMs === 0) return '';
    const left = Math.min(run.workMs - run.restoredMs, Math.max(0, run.endsAt - this.clock.now));
    const savedMs = Math.floor((run.workMs - left) / everyMs) * everyMs;
    return savedMs === 0 ? '' : String(Math.max(savedMs, run.restoredMs));
  }

  /** Other tasks at work, each counted by its pace. */
  private countOthers(task: string): number {
    let others = 0;
    for (const run of this.running.values()) if (run.task !== task) others += run.pacePercent / 100;
    return others;
  }

  private stop(task: string, run: number): void {
    this.blocked.set(task, Math.max(run, this.blocked.get(task) ?? 0));
    const known = this.running.get(task);
    if (known === undefined || known.run > run) return;
    known.stopsAt = Math.min(known.stopsAt, this.clock.now + this.stopMs);
    this.advance();
  }

  private recordEnd(ended: MemoryRun, how: RunEnd): void {
    const { task, run } = ended;
    this.running.delete(task);
    this.blocked.set(task, Math.max(run, this.blocked.get(task) ?? 0));
    this.lastEnd += 1;
    // A stop writes a checkpoint of all work; any other end leaves the latest regular one.
    const everyMs = how === 'stopped' ? 1 : ended.savesEveryMs;
    const checkpoint = this.formatCheckpoint(ended, everyMs);
    this.ended.push({ number: this.lastEnd, task, run, how, checkpoint });
  }
}
