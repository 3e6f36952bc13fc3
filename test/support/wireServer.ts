import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RunnerCall, RunnerReply } from '../../src/model/scheduler/runnerCall.ts';

export async function readBody(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : (JSON.parse(text) as unknown);
}

export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
}

/** Decodes a call to the platform's worker; the caller implements the wait of a poll. */
export function decodeRunnerCall(path: string, body: Record<string, unknown>): RunnerCall {
  const fence = Number(body.fence);
  const run = Number(body.run);
  const task = String(body.task);
  if (path.endsWith('hold'))
    return {
      op: 'hold',
      fence,
      lastSeen: Number(body.last_seen),
      waitMs: 0,
      ...(body.deadline_ms === undefined ? {} : { leaseUntilMs: Number(body.deadline_ms) }),
    };
  if (path.endsWith('run-stop')) return { op: 'stop', task, run, fence };
  if (path.endsWith('pace')) return { op: 'pace', task, run, fence, percent: Number(body.percent) };
  const leaseUntilMs = Number(body.deadline_ms);
  const ticket = typeof body.ticket === 'string' ? body.ticket : '';
  const checkpoint = typeof body.checkpoint === 'string' ? body.checkpoint : '';
  const payload = typeof body.spec === 'string' ? body.spec : '';
  return { op: 'start', task, run, fence, payload, leaseUntilMs, checkpoint, ticket };
}

/** Encodes and sends a reply as the platform's worker does. */
export function sendRunnerReply(response: ServerResponse, reply: RunnerReply): void {
  if (reply.kind === 'lists')
    sendJson(response, 200, {
      clock_ms: reply.clockMs,
      born: reply.bornMs,
      running: reply.running.map((run) => [
        run.task,
        run.run,
        run.checkpoint,
        run.percent,
        run.load,
      ]),
      ended: reply.ended.map((end) => [end.number, end.task, end.run, end.how, end.checkpoint]),
    });
  else if (reply.kind === 'rejected')
    sendJson(response, 409, { reason: reply.reason, clock_ms: 1 });
  else sendJson(response, 200, { clock_ms: reply.kind === 'done' ? reply.clockMs : 1 });
}
