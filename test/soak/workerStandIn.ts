import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer, request } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { Clock } from '../../src/base/common/clock.ts';
import type { SeededRandom } from '../../src/base/common/seededRandom.ts';
import { openHttpServer } from '../../src/base/node/httpListening.ts';
import type { RunnerCall } from '../../src/model/scheduler/runnerCall.ts';
import type { RunBehaviour } from '../../src/standins/memoryRunner.ts';
import { MemoryRunner } from '../../src/standins/memoryRunner.ts';
import { decodeRunnerCall, readBody, sendJson, sendRunnerReply } from '../support/wireServer.ts';
import { SOAK_BOUNDS } from './bounds.ts';
import type { SoakHistory } from './history.ts';
import { readTaskText } from './jobs.ts';
import { WorkerClock } from './workerClock.ts';

const TURN_MS = 15;
const BEAT_MS = 500;
const BEAT_TIMEOUT_MS = 1_000;
/** A call that is not answered may be carried out so long after, ms. */
const LATE_MS = [2_000, 12_000] as const;
/** Time that a worker serves on after its draining was acknowledged, beyond the bound, ms. */
const DRAIN_EXTRA_MS = 1_500;
/** A worker without an acknowledgement of its draining ends anyway, ms. */
const DRAIN_LIMIT_MS = 6_000;
/** Load that a lasting task reports. */
const LASTING_LOAD = 100;
const STATUS_OTHER_INCARNATION = 421;

/** What goes wrong with the orders of a worker: the share of its calls, by fault. */
export interface WorkerTrouble {
  losesAnswers: number;
  actsLate: number;
  refuses: number;
  fails: boolean;
  stalls: boolean;
}

export interface WorkerOptions {
  readonly agent: string;
  readonly zone: string;
  readonly host: string;
  readonly port: number;
  /** Where its agent reaches it, and where it sends its beats. */
  readonly address: string;
  readonly beatAddress: string;
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly labels: readonly string[];
}

/** One incarnation of a worker over HTTP; it writes what it ran into the history. */
export class WorkerStandIn {
  /** Id of its row in the history. */
  readonly rowId: string;
  private readonly runner: MemoryRunner;
  private readonly server: Server;
  private readonly timers: NodeJS.Timeout[];
  private readonly clock: Clock;
  private readonly bornMs = Date.now();
  /** Time at which the runner's clock, on which leases are given, reads 0. */
  private readonly clockOriginMs: number;
  private leaseUntil = Number.POSITIVE_INFINITY;
  private lastEnd = 0;
  /** Ends that were not acknowledged, in their order. */
  private readonly unnoted: { readonly id: string; readonly number: number }[] = [];
  private sequence = 0;
  private drainingSince: number | undefined;
  private isUp = true;

  private constructor(
    readonly id: string,
    private readonly options: WorkerOptions,
    private readonly trouble: WorkerTrouble,
    private readonly history: SoakHistory,
    private readonly random: SeededRandom,
  ) {
    this.rowId = `${id}@${history.takeId()}`;
    this.clock = WorkerClock.create(random);
    this.clockOriginMs = this.clock.now;
    this.runner = MemoryRunner.create(this.clock, this.bornMs, (task, run, payload) =>
      this.createBehaviour(task, run, payload),
    );
    this.runner.stopDurationMs = SOAK_BOUNDS.stopMs * random.takeUnit();
    const { agent, zone, cpuMillis, memoryMb, labels } = options;
    history.workers.set({
      id: this.rowId,
      agent,
      zone,
      cpuMillis,
      memoryMb,
      labels: [...labels],
      upAt: performance.now(),
      lapses: [],
    });
    this.server = createServer((incoming, response) => {
      void this.serve(incoming, response);
    });
    this.timers = [
      setInterval(() => {
        this.advance();
      }, TURN_MS),
      setInterval(() => {
        void this.sendBeat();
      }, BEAT_MS),
    ];
  }

  static async create(
    id: string,
    options: WorkerOptions,
    trouble: WorkerTrouble,
    history: SoakHistory,
    random: SeededRandom,
  ): Promise<WorkerStandIn> {
    const worker = new WorkerStandIn(id, options, trouble, history, random);
    await openHttpServer(worker.server, options.host, options.port);
    void worker.sendBeat();
    return worker;
  }

  /** Announces its end, and ends once its agent acknowledged that and the platform's time is over. */
  async drain(): Promise<void> {
    this.drainingSince ??= performance.now();
    const getAckedAt = (): number | undefined =>
      this.history.workers.get(this.rowId)?.drainingAckedAt;
    while (this.isUp) {
      const ackedAt = getAckedAt();
      const now = performance.now();
      if (ackedAt !== undefined && now > ackedAt + SOAK_BOUNDS.drainMs + DRAIN_EXTRA_MS) break;
      if (now > this.drainingSince + DRAIN_LIMIT_MS) break;
      await delay(TURN_MS);
    }
    if (!this.isUp) return;
    await this.post('leave', {});
    this.dispose();
  }

  /** Ends at once, with everything that runs on it. */
  dispose(): void {
    if (!this.isUp) return;
    this.advance();
    this.isUp = false;
    const now = performance.now();
    for (const timer of this.timers) clearInterval(timer);
    this.server.close();
    this.server.closeAllConnections();
    this.history.workers.update(this.rowId, { downAt: now });
    for (const { task, run } of this.runner.running.values())
      this.history.runs.update(this.formatRunId(task, run), { endedAt: now });
  }

  private async serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readBody(incoming).catch(() => undefined)) as
      Record<string, unknown> | undefined;
    if (body === undefined || !this.isUp) return;
    if (incoming.headers['expect-instance'] !== this.id) {
      sendJson(response, STATUS_OTHER_INCARNATION, {});
      return;
    }
    const call = decodeRunnerCall(incoming.url ?? '', body);
    if (this.random.takeUnit() < this.trouble.refuses) {
      sendJson(response, 503, {});
    } else if (this.random.takeUnit() < this.trouble.actsLate) {
      setTimeout(() => this.handle(call, true), this.random.takeInt(...LATE_MS));
    } else if (this.random.takeUnit() < this.trouble.losesAnswers) {
      this.handle(call, false);
      // The connection is reset, or stays silent.
      if (this.random.takeUnit() < 0.5) incoming.socket.resetAndDestroy();
    } else {
      await this.answer(call, Number(body.wait_ms ?? 0), response);
    }
  }

  private async answer(call: RunnerCall, waitMs: number, response: ServerResponse): Promise<void> {
    const until = performance.now() + waitMs;
    let reply = this.handle(call, false);
    while (
      reply.kind === 'lists' &&
      reply.ended.length === 0 &&
      performance.now() < until &&
      this.isUp &&
      !response.destroyed
    ) {
      await delay(TURN_MS);
      this.advance();
      if (this.runner.ended.length > 0) reply = this.handle(call, false);
    }
    if (!this.isUp) return;
    // A list that waited has to tell what runs now.
    if (call.op === 'hold' && waitMs > 0) reply = this.handle(call, false);
    sendRunnerReply(response, reply);
  }

  private handle(call: RunnerCall, isLate: boolean): ReturnType<MemoryRunner['handle']> {
    if (!this.isUp) return { kind: 'noAnswer', message: 'the worker is down' };
    this.advance();
    const starts = this.runner.starts.length;
    const reply = this.runner.handle(
      call.op === 'start' ? { ...call, checkpoint: call.checkpoint.split(':')[1] ?? '' } : call,
    );
    if (reply.kind === 'rejected') return reply;
    const now = performance.now();
    if (call.op === 'start' || (call.op === 'hold' && call.leaseUntilMs !== undefined)) {
      const until = Math.min(call.leaseUntilMs ?? 0, this.clockMs + this.runner.maxLeaseMs);
      this.leaseUntil = this.leaseUntil === Infinity ? until : Math.max(this.leaseUntil, until);
    }
    if (call.op === 'start' && this.runner.starts.length > starts)
      this.recordStart(call, isLate, now);
    if (call.op !== 'hold' || reply.kind !== 'lists') return reply;
    for (; (this.unnoted[0]?.number ?? Infinity) <= call.lastSeen; this.unnoted.shift())
      this.history.runs.update(this.unnoted[0]?.id ?? '', { notedAt: now });
    return {
      ...reply,
      running: reply.running.map(addTaskToCheckpoint),
      ended: reply.ended.map(addTaskToCheckpoint),
    };
  }

  private recordStart(
    { task, run, payload, checkpoint }: Extract<RunnerCall, { op: 'start' }>,
    isLate: boolean,
    startedAt: number,
  ): void {
    const [job = '', , step = '0'] = task.split('.');
    this.history.runs.set({
      id: this.formatRunId(task, run),
      task,
      job,
      step: Number(step),
      run,
      worker: this.rowId,
      payload,
      checkpoint,
      startedAt,
      isLate,
    });
  }

  /** Lets the work go on, and records what ended and whether the lease is over. */
  private advance(): void {
    if (!this.isUp) return;
    this.runner.advance();
    const now = performance.now();
    for (const end of this.runner.ended) {
      if (end.number <= this.lastEnd) continue;
      this.lastEnd = end.number;
      const id = this.formatRunId(end.task, end.run);
      this.history.runs.update(id, { endedAt: now, how: end.how });
      this.unnoted.push({ id, number: end.number });
    }
    if (this.clockMs <= this.leaseUntil) return;
    this.leaseUntil = Number.POSITIVE_INFINITY;
    this.history.workers.get(this.rowId)?.lapses.push(now);
  }

  private get clockMs(): number {
    return this.clock.now - this.clockOriginMs;
  }

  private createBehaviour(task: string, run: number, payload: string): RunBehaviour {
    const { workMs, failsRuns, savesEveryMs, lasts } = readTaskText(payload, task);
    const isFailing = this.trouble.fails || run <= failsRuns;
    // A task with a latency is listed as fully at work, which a lasting one is from its start on.
    if (lasts)
      return {
        durationMs: workMs,
        end: 'failed',
        isStalled: !isFailing,
        computeLatencyMs: () => LASTING_LOAD,
      };
    return {
      durationMs: workMs,
      end: isFailing ? 'failed' : 'done',
      isStalled: this.trouble.stalls,
      ...(savesEveryMs === 0 ? {} : { checkpointIntervalMs: savesEveryMs }),
    };
  }

  private formatRunId(task: string, run: number): string {
    return `${this.rowId}/${task}/${run}`;
  }

  /** Sends the agent a heartbeat of an incarnation that does not exist, as another writer may. */
  async sendFalseBeat(bornMs: number, keepsId: boolean): Promise<void> {
    await this.post('heartbeat', { ...this.buildBeat(), born: bornMs }, keepsId ? this.id : 'odd');
  }

  private async sendBeat(): Promise<void> {
    if (!this.isUp) return;
    this.sequence += 1;
    const isDraining = this.drainingSince !== undefined;
    const isAcked = await this.post('heartbeat', this.buildBeat());
    const row = this.history.workers.get(this.rowId);
    if (isDraining && isAcked && row?.drainingAckedAt === undefined)
      this.history.workers.update(this.rowId, { drainingAckedAt: performance.now() });
  }

  private buildBeat(): object {
    const { zone, address, cpuMillis, memoryMb, labels } = this.options;
    const isDraining = this.drainingSince !== undefined;
    return {
      service: 'svc',
      addr: address,
      zone,
      version: 'v1',
      slots: 8,
      state: isDraining ? 'draining' : 'ready',
      cold_left_ms: 0,
      capacity: { cpu: cpuMillis, mem_mb: memoryMb, gpu: 0 },
      labels,
      clock_ms: Math.floor(this.clock.now),
      seq: this.sequence,
      born: this.bornMs,
      ...(isDraining ? { drain_left_ms: SOAK_BOUNDS.drainMs } : {}),
    };
  }

  /** Whether the agent acknowledged it in time. */
  private async post(name: string, body: object, id = this.id): Promise<boolean> {
    return new Promise((resolve) => {
      const outgoing = request(
        `http://${this.options.beatAddress}/bramleyladder/instances/${id}/${name}`,
        { method: 'POST', agent: false, signal: AbortSignal.timeout(BEAT_TIMEOUT_MS) },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      outgoing.on('error', () => {
        resolve(false);
      });
      outgoing.end(JSON.stringify(body));
    });
  }
}

/** The checkpoint names its task, so that a start with another task's checkpoint shows. */
function addTaskToCheckpoint<Run extends { readonly task: string; readonly checkpoint: string }>(
  run: Run,
): Run {
  return run.checkpoint === '' ? run : { ...run, checkpoint: `${run.task}:${run.checkpoint}` };
}
