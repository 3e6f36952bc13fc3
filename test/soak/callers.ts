import { Agent, request } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { SeededRandom } from '../../src/base/common/seededRandom.ts';
import type { SoakHistory } from './history.ts';
import type { SoakJob } from './jobs.ts';
import { createLastingSoakJob, createSoakJob } from './jobs.ts';
import { hasLastingTasks, hasReachedLastingState } from './jobTasks.ts';
import type { Attempt, JobRow } from './rows.ts';

export const SOAK_HOST = 'soak.example';
export const JOB_PREFIX = '/q/';
const DEADLINE_MS = 3_000;
/** A caller waits for so long beyond its deadline. */
const PATIENCE_MS = 200;
const SESSIONS = 12;
/** Attempts of a submission, as the platform's callers make them. */
const MAX_ATTEMPTS = 5;
const DEFAULT_RETRY_MS = 300;
const LOOK_GAP_MS = 600;
const READY_GAP_MS = 1_000;
/** Share of the accepted submissions that arrive again. */
const RESEND_SHARE = 0.05;
const FINAL_STATES = ['completed', 'failed', 'cancelled'];

/** An entry as callers see it. */
export interface FrontAddress {
  readonly process: string;
  /** Through its proxy. */
  readonly address: string;
  readonly readyAddress: string;
}

interface Reply {
  readonly attempt: Attempt;
  readonly body: Record<string, unknown>;
  readonly retryAfterMs: number | undefined;
}

/** A caller that keeps its connection to one entry until that closes. */
interface Session {
  readonly agent: Agent;
  front: FrontAddress;
}

/** Callers that submit jobs, ask for their states and cancel them. */
export class SoakCallers {
  private readonly sessions: Session[];
  private readonly misses = new Map<string, number>();
  private readonly openJobs = new Set<string>();
  private isStopped = false;

  private constructor(
    private readonly fronts: readonly FrontAddress[],
    private readonly history: SoakHistory,
    private readonly random: SeededRandom,
    private readonly lastingRandom: SeededRandom,
  ) {
    this.sessions = Array.from({ length: SESSIONS }, () => ({
      agent: new Agent({ keepAlive: true, maxSockets: 2 }),
      front: this.choose(fronts),
    }));
  }

  static create(
    fronts: readonly FrontAddress[],
    history: SoakHistory,
    random: SeededRandom,
    lastingRandom: SeededRandom,
  ): SoakCallers {
    return new SoakCallers(fronts, history, random, lastingRandom);
  }

  /**
   * Jobs that were accepted and whose end no caller has seen; of those with lasting tasks the ones that
   * do not have all of them at work, or that were cancelled.
   */
  get openCount(): number {
    const { jobs } = this.history;
    const runs = this.history.listRunsByTask();
    return [...this.openJobs].filter((id) => {
      const job = jobs.get(id);
      if (job?.acceptedAt === undefined) return false;
      if (!hasLastingTasks(job) || job.cancelSentAt !== undefined) return true;
      return !hasReachedLastingState(job, runs, performance.now());
    }).length;
  }

  /** Watches which entries are ready, as the platform's balancer does. */
  async watchReady(): Promise<void> {
    while (!this.isStopped) {
      for (const { process, readyAddress } of this.fronts)
        void send(new Agent(), readyAddress, 'GET', '/bramleyladder/ready', READY_GAP_MS).then(
          ({ status }) => {
            this.misses.set(process, status === 200 ? 0 : (this.misses.get(process) ?? 0) + 1);
          },
        );
      await delay(READY_GAP_MS);
    }
  }

  /** Submits a new job and follows it until it has ended. */
  submit(): void {
    this.start(createSoakJob(this.random));
  }

  /** Submits jobs with lasting tasks until so many have not been cancelled or failed. */
  submitLasting(count: number): void {
    const open = [...this.openJobs].filter((id) => {
      const job = this.history.jobs.get(id);
      return job !== undefined && hasLastingTasks(job) && job.cancelSentAt === undefined;
    });
    for (let left = count - open.length; left > 0; left -= 1)
      this.start(createLastingSoakJob(this.lastingRandom));
  }

  private start(job: SoakJob): void {
    this.history.jobs.set(job.row);
    this.openJobs.add(job.row.id);
    void this.run(job).finally(() => this.openJobs.delete(job.row.id));
  }

  /** Cancels a share of the jobs that have not ended. */
  cancel(share: number): void {
    for (const id of this.openJobs) {
      const row = this.history.jobs.get(id);
      if (row?.acceptedAt === undefined || row.cancelSentAt !== undefined) continue;
      if (this.random.takeUnit() < share) void this.cancelJob(row);
    }
  }

  /** Asks for a job that nobody submitted. */
  readUnknown(): void {
    const { row } = createSoakJob(this.random);
    this.history.jobs.set(row);
    void this.readState(row);
  }

  dispose(): void {
    this.isStopped = true;
    for (const { agent } of this.sessions) agent.destroy();
  }

  private async run({ row, body }: SoakJob): Promise<void> {
    for (let count = 1; count <= MAX_ATTEMPTS && !this.isStopped; count += 1) {
      const reply = await this.post(row, body);
      const status = reply.attempt.status ?? 0;
      if (status === 200) break;
      if (status === 404 || status === 400) return;
      await delay(reply.retryAfterMs ?? DEFAULT_RETRY_MS);
    }
    if (this.history.jobs.get(row.id)?.acceptedAt === undefined) return;
    if (this.random.takeUnit() < RESEND_SHARE)
      void delay(this.random.takeInt(500, 5_000)).then(() => this.post(row, body));
    while (!this.isStopped) {
      await delay(LOOK_GAP_MS * (0.5 + this.random.takeUnit()));
      const state = await this.readState(row);
      if (FINAL_STATES.includes(state)) return;
      if (this.history.jobs.get(row.id)?.cancelledAt !== undefined && state === 'gone') return;
    }
  }

  private async post(row: JobRow, body: string): Promise<Reply> {
    const reply = await this.call(
      'POST',
      `${JOB_PREFIX}${row.id}`,
      (attempt) => {
        row.submissions.push(attempt);
      },
      body,
    );
    const { status, endedAt } = reply.attempt;
    if (status === 200 && endedAt !== undefined)
      if (this.history.jobs.get(row.id)?.acceptedAt === undefined)
        this.history.jobs.update(row.id, { acceptedAt: endedAt });
    return reply;
  }

  /** The state, `gone` for a job that does not exist, or nothing without an answer. */
  private async readState(row: JobRow): Promise<string> {
    const { attempt, body } = await this.call('GET', `${JOB_PREFIX}${row.id}`, () => undefined);
    const state = attempt.status === 200 ? String(body.state) : '';
    row.looks.push({ ...attempt, state });
    return attempt.status === 410 ? 'gone' : state;
  }

  private async cancelJob({ id }: JobRow): Promise<void> {
    this.history.jobs.update(id, { cancelSentAt: performance.now() });
    for (let count = 1; count <= MAX_ATTEMPTS && !this.isStopped; count += 1) {
      const { attempt } = await this.call('DELETE', `${JOB_PREFIX}${id}`, () => undefined);
      if (attempt.status === 200) {
        this.history.jobs.update(id, { cancelledAt: performance.now() });
        return;
      }
      await delay(DEFAULT_RETRY_MS);
    }
  }

  private async call(
    method: string,
    path: string,
    onSent: (attempt: Attempt) => void,
    body?: string,
  ): Promise<Reply> {
    const session = this.choose(this.sessions);
    const { front, agent } = session;
    const attempt: Attempt = { process: front.process, sentAt: performance.now() };
    onSent(attempt);
    const answer = await send(agent, front.address, method, path, DEADLINE_MS + PATIENCE_MS, body);
    const { status, error, closes } = answer;
    Object.assign(attempt, { endedAt: performance.now(), status });
    if (status === 0 || closes) session.front = this.chooseReady();
    if (error !== '' && error !== 'timeout')
      this.history.brokenCalls.set({
        id: this.history.takeId(),
        process: front.process,
        sentAt: attempt.sentAt,
        endedAt: performance.now(),
        deadlineAt: attempt.sentAt + DEADLINE_MS,
        message: `${method} ${path} ${error}`,
      });
    return { attempt, body: answer.body, retryAfterMs: answer.retryAfterMs };
  }

  /** Two misses take an entry out of the rotation; without any in it, all are used. */
  private chooseReady(): FrontAddress {
    const ready = this.fronts.filter(({ process }) => (this.misses.get(process) ?? 0) < 2);
    return this.choose(ready.length === 0 ? this.fronts : ready);
  }

  private choose<Item>(items: readonly Item[]): Item {
    const item = items[this.random.takeInt(0, items.length - 1)];
    if (item === undefined) throw new Error('nothing to choose from');
    return item;
  }
}

export interface CallAnswer {
  /** 0 without an answer. */
  readonly status: number;
  readonly body: Record<string, unknown>;
  readonly retryAfterMs: number | undefined;
  /** Whether the entry asks the caller to leave. */
  readonly closes: boolean;
  /** Why no complete answer came; empty otherwise. */
  readonly error: string;
}

/** Sends one call of a caller. Never throws. */
export async function send(
  agent: Agent,
  address: string,
  method: string,
  path: string,
  timeoutMs: number,
  body?: string,
): Promise<CallAnswer> {
  return new Promise((resolve) => {
    const headers = { host: SOAK_HOST, 'deadline-ms': String(DEADLINE_MS) };
    const outgoing = request(`http://${address}${path}`, { agent, method, headers });
    const none = { status: 0, body: {}, retryAfterMs: undefined, closes: true };
    let text = '';
    const timer = setTimeout(() => {
      resolve({ ...none, error: 'timeout' });
      outgoing.destroy();
    }, timeoutMs);
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      resolve({ ...none, error: error.code ?? error.message });
      clearTimeout(timer);
    });
    outgoing.on('response', (response) => {
      response.on('data', (chunk: Buffer) => (text += chunk.toString('utf8')));
      response.on('close', () => {
        clearTimeout(timer);
        if (!response.complete) resolve({ ...none, error: 'the answer was cut off' });
        const retryAfter = response.headers['retry-after'];
        resolve({
          status: response.statusCode ?? 0,
          body: parseBody(text),
          retryAfterMs: retryAfter === undefined ? undefined : Number(retryAfter) * 1_000,
          closes: response.headers.connection === 'close',
          error: '',
        });
      });
    });
    outgoing.end(body);
  });
}

function parseBody(text: string): Record<string, unknown> {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    return {};
  }
}
