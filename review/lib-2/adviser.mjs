// Stand-in of the service that knows which runners may run a step, after the users' protocol page.
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';
import { readBody, sendJson } from './http.mjs';

const MAX_WAITING = 32;

export class Adviser {
  tickets = new Map();
  /** Calls that wait, by calling machine; here all entries have one address, so by connection. */
  queues = new Map();
  calls = [];

  /** `terms` are the `advice` of the queue; `isAllowed(step, worker)` is its policy. */
  static async create(terms, isAllowed) {
    const adviser = new Adviser();
    Object.assign(adviser, { terms, isAllowed });
    adviser.server = createServer((request, response) => {
      void adviser.serve(request, response);
    });
    await new Promise((resolve) => adviser.server.listen(0, '127.0.0.1', resolve));
    adviser.address = `127.0.0.1:${adviser.server.address().port}`;
    return adviser;
  }

  dispose() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Whether the ticket lets the step of a task start on a runner now. */
  isTicketValid(workerId, task, ticket) {
    const known = this.tickets.get(ticket);
    const step = task.split('.').slice(0, 3).join('.');
    return known?.step === step && known.workerId === workerId && performance.now() < known.until;
  }

  async serve(request, response) {
    const { step, workers } = await readBody(request);
    const caller = request.socket.remotePort;
    const queue = this.queues.get(caller) ?? { waiting: 0, last: Promise.resolve() };
    this.queues.set(caller, queue);
    if (queue.waiting >= MAX_WAITING) {
      sendJson(response, 429, {});
      return;
    }
    queue.waiting += 1;
    const { decide_ms: decideMs, each_ms: eachMs, valid_ms: validMs } = this.terms;
    queue.last = queue.last.then(() => delay(decideMs + eachMs * workers.length));
    await queue.last;
    queue.waiting -= 1;
    this.calls.push({ step, workers, at: performance.now() });
    this.onCall?.(step, workers);
    const good = workers.filter((id) => this.isAllowed(step, id));
    const until = performance.now() + validMs;
    sendJson(response, 200, {
      good: good.map((workerId) => {
        const ticket = `t-${this.tickets.size + 1}`;
        this.tickets.set(ticket, { step, workerId, until });
        return [workerId, ticket];
      }),
    });
  }
}
