import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { answer, call, closeServer, HOST, openServer } from './wire.mjs';

const TURN_MS = 10;
const STARTUP_MS = 300;
/** Stands for the response to a call whose answer is lost. */
const NO_RESPONSE = { destroyed: true };

/**
 * Stand-in of a platform runner, as PROTOCOL.md describes it. The `spec` of a job is a JSON list
 * with the behaviour of each step: `ms` of work, `fails` (each run, or so many), `gang` (members),
 * `lasts`.
 */
export class Runner {
  static async create(options, deployment) {
    const runner = new Runner(options, deployment);
    runner.server = await openServer(options.port, (incoming, body, response) => {
      runner.receive(incoming, body, response);
    });
    runner.timers = [
      setInterval(() => {
        runner.advance();
      }, TURN_MS),
      setInterval(() => {
        void runner.beat();
      }, options.heartbeatMs),
    ];
    void runner.beat();
    return runner;
  }

  constructor(options, { record, gangs, bounds }) {
    this.options = options;
    this.record = record;
    this.gangs = gangs;
    this.bounds = bounds;
    this.id = options.id;
    /** The Unix millisecond of the start, by the clock of the runner's machine. */
    this.born = Math.round(Date.now() + (options.clockOffsetMs ?? 0));
    this.startedAt = performance.now();
    this.running = new Map();
    this.ended = [];
    this.blocked = new Map();
    this.lastEnd = 0;
    this.fence = 0;
    this.leaseUntil = 0;
    this.seq = 0;
    this.isUp = true;
    /** While set, every start fails at once. */
    this.isFailing = false;
    this.isDraining = false;
    /** Chooses the fault of a call by its path: `busy`, `lost`, `{ lateMs }`, or undefined for none. */
    this.chooseFault = () => undefined;
    record('runner up', { runner: this.id, born: this.born });
  }

  get clockMs() {
    return Math.floor(performance.now() - this.startedAt) + 1_000;
  }

  /** Ends at once with all that runs. */
  crash() {
    if (!this.isUp) return;
    this.record('runner down', { runner: this.id });
    this.isUp = false;
    for (const timer of this.timers) clearInterval(timer);
    closeServer(this.server);
    for (const run of this.running.values()) {
      this.gangs.leave(run, 'crashed');
      this.record('lost', { task: run.task, run: run.run, runner: this.id });
    }
    this.running.clear();
  }

  /** Announces its end, runs on for a while after the acknowledgement, and leaves. */
  async drain(extraMs) {
    this.isDraining = true;
    while (this.isUp && (await this.beat()) !== 200) await delay(300);
    this.record('draining acknowledged', { runner: this.id });
    await delay(this.bounds.drain_ms + extraMs);
    await this.beat('leave');
    this.crash();
  }

  async beat(path = 'heartbeat') {
    if (!this.isUp) return 0;
    this.seq += 1;
    const { zone, port, service, capacity, labels, beatPort } = this.options;
    const { status } = await call({
      port: beatPort,
      method: 'POST',
      path: `/bramleyladder/instances/${this.id}/${path}`,
      timeoutMs: 1_000,
      body: {
        service,
        addr: `${HOST}:${port}`,
        zone,
        version: 'v1',
        slots: 8,
        state: this.isDraining ? 'draining' : 'ready',
        cold_left_ms: 0,
        capacity,
        labels,
        clock_ms: this.clockMs,
        seq: this.seq,
        born: this.born,
        ...(this.isDraining ? { drain_left_ms: this.bounds.drain_ms } : {}),
      },
    });
    return status;
  }

  receive(incoming, body, response) {
    if (!this.isUp) return;
    if (incoming.headers['expect-instance'] !== this.id) {
      answer(response, 421, { clock_ms: this.clockMs });
      return;
    }
    const path = incoming.url.replace('/bramleyladder/', '');
    const fault = this.chooseFault(path, body);
    if (fault === undefined) this.execute(path, body, response);
    else if (fault === 'busy') answer(response, 503);
    else if (fault === 'lost') this.execute(path, body, NO_RESPONSE);
    else
      setTimeout(() => {
        this.record('late call', { runner: this.id, path, task: body.task, run: body.run });
        this.execute(path, body, NO_RESPONSE);
      }, fault.lateMs);
  }

  execute(path, body, response) {
    if (!this.isUp) return;
    this.advance();
    const fence = body.fence ?? 0;
    if (fence < this.fence) {
      answer(response, 409, { clock_ms: this.clockMs, reason: 'fence' });
      return;
    }
    this.fence = fence;
    if (path === 'hold') this.hold(body, response);
    else if (path === 'run-start') this.start(body, response);
    else if (path === 'run-stop') this.stop(body, response);
    else if (path === 'pace') answer(response, 200, { clock_ms: this.clockMs });
    else answer(response, 404);
  }

  extendLease(deadlineMs) {
    if (deadlineMs === undefined) return;
    const limit = this.clockMs + this.bounds.hold_max_ms;
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadlineMs, limit));
  }

  start(body, response) {
    const { task, run } = body;
    const reject = (reason) => {
      this.record('rejected', { task, run, runner: this.id, reason });
      answer(response, 409, { clock_ms: this.clockMs, reason });
    };
    if (this.running.get(task)?.run === run) {
      answer(response, 200, { clock_ms: this.clockMs });
      return;
    }
    if (run <= (this.blocked.get(task) ?? 0) || this.running.has(task)) {
      this.extendLease(body.deadline_ms);
      reject('old');
      return;
    }
    if (body.deadline_ms <= this.clockMs) {
      reject('late');
      return;
    }
    this.extendLease(body.deadline_ms);
    const step = JSON.parse(body.spec)[Number(task.split('.')[2])];
    const now = performance.now();
    const entry = { task, run, step, runner: this, startedAt: now, endsAt: now + step.ms };
    this.running.set(task, entry);
    this.record('start', { task, run, runner: this.id });
    if (step.gang !== undefined) this.gangs.join(entry);
    if (this.isFailing) this.end(entry, 'failed');
    answer(response, 200, { clock_ms: this.clockMs });
  }

  stop({ task, run }, response) {
    const entry = this.running.get(task);
    if (entry?.run === run) entry.stopAt ??= performance.now() + this.bounds.kill_grace_ms / 3;
    else this.blocked.set(task, Math.max(run, this.blocked.get(task) ?? 0));
    this.record('stop', { task, run, runner: this.id, known: entry?.run === run });
    answer(response, 200, { clock_ms: this.clockMs });
  }

  hold(body, response) {
    this.extendLease(body.deadline_ms);
    const noted = this.ended.filter(([number]) => number <= body.last_seen);
    this.ended = this.ended.filter(([number]) => number > body.last_seen);
    for (const [number, task, run, how] of noted)
      this.record('noted', { task, run, runner: this.id, number, how });
    const until = performance.now() + (body.wait_ms ?? 0);
    const list = () => {
      if (!this.isUp || response.destroyed) return;
      if (this.ended.length === 0 && performance.now() < until) {
        setTimeout(list, TURN_MS);
        return;
      }
      answer(response, 200, {
        clock_ms: this.clockMs,
        born: this.born,
        running: [...this.running.values()].map((entry) => this.listRunning(entry)),
        ended: this.ended.slice(0, 500),
      });
    };
    list();
  }

  listRunning({ task, run, step, startedAt, endsAt }) {
    const now = performance.now();
    const share = step.lasts
      ? (now - startedAt) / STARTUP_MS
      : (now - startedAt) / Math.max(1, endsAt - startedAt);
    return [task, run, '', Math.floor(100 * Math.min(step.lasts ? 1 : 0.99, share)), 500];
  }

  advance() {
    if (!this.isUp) return;
    const now = performance.now();
    for (const entry of [...this.running.values()]) {
      const { run, step, stopAt, endsAt } = entry;
      if (!this.running.has(entry.task)) continue;
      if (this.clockMs > this.leaseUntil) this.end(entry, 'lapsed');
      else if (stopAt !== undefined && now >= stopAt) this.end(entry, 'stopped');
      else if (step.gang !== undefined) this.gangs.advance(entry, now);
      else if (now >= endsAt && isFailingRun(step, run)) this.end(entry, 'failed');
      else if (now >= endsAt && !step.lasts) this.end(entry, 'done');
    }
  }

  end(entry, how) {
    const { task, run } = entry;
    if (this.running.get(task) !== entry) return;
    this.running.delete(task);
    this.blocked.set(task, Math.max(run, this.blocked.get(task) ?? 0));
    this.lastEnd += 1;
    this.ended.push([this.lastEnd, task, run, how, '']);
    this.record('end', { task, run, runner: this.id, number: this.lastEnd, how });
    this.gangs.leave(entry, how);
  }
}

/** Whether the run fails by its own fault: `fails` is true, or the number of runs that fail. */
function isFailingRun({ fails }, run) {
  return fails === true || run <= (fails ?? 0);
}

/** Keeps the members of gangs together across runners. */
export class Gangs {
  constructor(bounds) {
    this.bounds = bounds;
    this.members = new Map();
  }

  findKey({ task, run }) {
    return `${task.split('.').slice(0, 3).join('.')}#${run}`;
  }

  join(entry) {
    const key = this.findKey(entry);
    const gang = this.members.get(key) ?? { entries: new Set(), isBroken: false };
    this.members.set(key, gang);
    gang.entries.add(entry);
    if (gang.entries.size < entry.step.gang || gang.isBroken) return;
    const now = performance.now();
    gang.completeAt = now;
    for (const member of gang.entries) member.endsAt = now + member.step.ms;
  }

  advance(entry, now) {
    const gang = this.members.get(this.findKey(entry));
    if (gang.completeAt === undefined) {
      if (now - entry.startedAt > this.bounds.gang_wait_ms) entry.runner.end(entry, 'alone');
    } else if (now >= entry.endsAt) {
      for (const member of [...gang.entries]) member.runner.end(member, 'done');
    }
  }

  /** The end of one member breaks the others, unless it is done. */
  leave(entry, how) {
    const gang = this.members.get(this.findKey(entry));
    if (gang === undefined || !gang.entries.delete(entry) || how === 'done') return;
    if (gang.completeAt === undefined) return;
    gang.isBroken = true;
    for (const member of [...gang.entries]) member.runner.end(member, 'broken');
  }
}
