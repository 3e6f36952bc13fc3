// Stand-in of a runner (one life), after the users' protocol page.
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { call, readBody, sendJson } from './http.mjs';

const BEAT_MS = 1_500;
const ADVANCE_MS = 20;
const MAX_ENDS = 500;
const LASTING_START_MS = 500;

export class Runner {
  running = new Map();
  ended = [];
  stopped = new Map();
  starts = [];
  fence = 0;
  lastEnd = 0;
  seenEnd = 0;
  seq = 0;
  acknowledgedBeats = 0;
  polls = new Set();
  bornMs = Date.now();
  leaseUntil = 0;

  /** `describe(task, run)` gives the work of a task: { workMs, savesMs }. */
  constructor(options) {
    Object.assign(this, options);
    this.origin = performance.now();
  }

  static async create(options) {
    const runner = new Runner(options);
    runner.server = createServer((request, response) => {
      void runner.serve(request, response);
    });
    await new Promise((resolve) => runner.server.listen(runner.port, '127.0.0.1', resolve));
    runner.timers = [
      setInterval(() => {
        runner.advance();
      }, ADVANCE_MS),
      setInterval(() => void runner.sendBeat(), BEAT_MS),
    ];
    void runner.sendBeat();
    return runner;
  }

  get clock() {
    return Math.floor(performance.now() - this.origin);
  }

  dispose() {
    this.isDisposed = true;
    for (const timer of this.timers) clearInterval(timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  async sendBeat() {
    if (this.isDisposed) return;
    this.seq += 1;
    const path = `/bramleyladder/instances/${this.id}/heartbeat`;
    const body = this.buildBeat();
    const answer = await call('POST', this.beatAddress, path, { timeoutMs: 1_000, body });
    if (answer.status === 200) this.acknowledgedBeats += 1;
    else setTimeout(() => void this.sendBeat(), 200);
  }

  buildBeat() {
    return {
      service: this.service,
      addr: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      capacity: this.capacity,
      labels: this.labels,
      clock_ms: this.clock,
      seq: this.seq,
      born: this.bornMs,
    };
  }

  advance() {
    const now = this.clock;
    for (const run of [...this.running.values()]) {
      run.worked += (now - run.countedAt) * (now >= run.workFrom ? 1 : 0);
      run.countedAt = now;
      if (run.savesMs > 0) run.saved = Math.floor(run.worked / run.savesMs) * run.savesMs;
      if (now > this.leaseUntil) this.end(run, 'lapsed');
      else if (run.stopAt !== undefined && now >= run.stopAt) this.end(run, 'stopped');
      else if (run.worked >= run.workMs) this.end(run, 'done');
    }
  }

  end(run, how) {
    this.running.delete(run.task);
    this.lastEnd += 1;
    this.ended.push([this.lastEnd, run.task, run.run, how, formatSaved(run)]);
    this.stopped.set(run.task, Math.max(run.run, this.stopped.get(run.task) ?? 0));
    this.onEnd?.(run.task, run.run, how);
    for (const wake of [...this.polls]) wake();
  }

  extendLease(deadline) {
    if (deadline === undefined) return;
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadline, this.clock + this.holdMaxMs));
  }

  async serve(request, response) {
    const body = await readBody(request);
    if (request.headers['expect-instance'] !== this.id) {
      sendJson(response, 421, {});
      return;
    }
    this.advance();
    const reject = (reason) =>
      sendJson(response, 409, { clock_ms: this.clock, reason, born: this.bornMs });
    const { fence = 0 } = body;
    if (fence < this.fence) {
      reject('fence');
      return;
    }
    this.fence = fence;
    const name = request.url.slice('/bramleyladder/'.length);
    if (name === 'hold') this.serveHold(body, response);
    else if (name === 'run-start') this.serveStart(body, response, reject);
    else if (name === 'run-stop') this.serveStop(body, response);
    else sendJson(response, 200, { clock_ms: this.clock, born: this.bornMs });
  }

  serveStart(
    { task, run, spec, deadline_ms: deadline, checkpoint = '', ticket },
    response,
    reject,
  ) {
    if (this.running.get(task)?.run === run) {
      sendJson(response, 200, { clock_ms: this.clock, born: this.bornMs });
      return;
    }
    this.extendLease(deadline);
    if (run <= (this.stopped.get(task) ?? 0)) reject('old');
    else if (deadline <= this.clock) reject('late');
    else if (this.isTicketValid?.(this, task, ticket) === false) reject('ticket');
    else {
      const { workMs, savesMs = 0, restoreMs = 0 } = this.describe(task, run, spec);
      const worked = checkpoint === '' ? 0 : Number.parseInt(checkpoint.slice(0, 8), 16);
      const countedAt = this.clock;
      const workFrom = countedAt + (worked > 0 ? restoreMs : 0);
      this.running.set(task, {
        task,
        run,
        workMs,
        savesMs,
        worked,
        saved: worked,
        countedAt,
        workFrom,
      });
      this.starts.push({ task, run, at: performance.now() });
      this.onStart?.(task, run, checkpoint);
      sendJson(response, 200, { clock_ms: this.clock, born: this.bornMs });
    }
  }

  serveStop({ task, run }, response) {
    this.stopped.set(task, Math.max(run, this.stopped.get(task) ?? 0));
    const found = this.running.get(task);
    if (found?.run === run) found.stopAt ??= this.clock + this.stopMs;
    sendJson(response, 200, { clock_ms: this.clock, born: this.bornMs });
  }

  serveHold({ last_seen: lastSeen, deadline_ms: deadline, wait_ms: waitMs = 0 }, response) {
    this.extendLease(deadline);
    const forgotten = this.ended.filter(([number]) => number <= lastSeen);
    for (const end of forgotten) this.onSeen?.(end[1], end[2], end[3]);
    this.ended = this.ended.filter(([number]) => number > lastSeen);
    const answer = () => {
      clearTimeout(timer);
      this.polls.delete(answer);
      sendJson(response, 200, {
        clock_ms: this.clock,
        born: this.bornMs,
        running: [...this.running.values()].map((run) => [
          run.task,
          run.run,
          formatSaved(run),
          computePercent(run),
          500,
        ]),
        ended: this.ended.slice(0, MAX_ENDS),
      });
    };
    const timer = setTimeout(answer, this.ended.length > 0 ? 0 : waitMs);
    this.polls.add(answer);
  }
}

/** A task that lasts is at work after a short start. */
function computePercent({ worked, workMs }) {
  if (workMs === Number.POSITIVE_INFINITY) return worked >= LASTING_START_MS ? 100 : 0;
  return Math.min(100, Math.floor((100 * worked) / workMs));
}

function formatSaved({ saved, savesMs, task }) {
  if (savesMs === 0 || saved === 0) return '';
  return saved.toString(16).padStart(8, '0') + task.slice(0, 8);
}
