import * as z from 'zod/mini';
import type { EndedRun, RunningRun } from '../model/scheduler/linkMessages.ts';
import { runEndSchema } from '../model/scheduler/linkMessages.ts';
import type { RunnerCall, RunnerReply } from '../model/scheduler/runnerCall.ts';
import { RunnerClient } from '../protocol/node/runnerClient.ts';
import { WireHttp } from './wireHttp.ts';

const ROOT = '/bramleyladder';
/** Status with which a runner rejects a call to another incarnation. */
const STATUS_OTHER_INCARNATION = 421;

/** Maximum number of ended runs in one answer of the platform. */
const MAX_LISTED_ENDS = 500;

/** Task, run, checkpoint, percent of the work done, and an optional load figure. */
const runningRowSchema = z.tuple(
  [z.string(), z.int().check(z.minimum(1)), z.string(), z.number()],
  z.number(),
);
/** Number of the end, task, run, outcome, and checkpoint. */
const endedRowSchema = z.tuple([
  z.int().check(z.minimum(1)),
  z.string(),
  z.int().check(z.minimum(1)),
  runEndSchema,
  z.string(),
]);

const listsSchema = z.object({
  clock_ms: z.number().check(z.minimum(0), z.maximum(Number.MAX_SAFE_INTEGER)),
  /** Start of the incarnation, wall-clock time. */
  born: z.optional(z.int()),
  running: z.array(z.unknown()),
  ended: z.array(z.unknown()),
});
const answerSchema = z.object({ clock_ms: z._default(z.number(), 0) });
const rejectionSchema = z.object({ reason: z.string() });

/** Implements the system's runner interface over the platform's wire. */
export class WireRunnerClient extends RunnerClient {
  private readonly http = WireHttp.create();

  private constructor() {
    super();
  }

  static create(): WireRunnerClient {
    return new WireRunnerClient();
  }

  override async send(
    address: string,
    workerId: string,
    call: RunnerCall,
    timeoutMs: number,
  ): Promise<RunnerReply> {
    const outcome = await this.http.send({
      method: 'POST',
      address,
      ...buildRequest(call),
      headers: { 'expect-instance': workerId },
      timeoutMs,
    });
    if (outcome.kind === 'notSent') return { kind: 'unreachable', message: outcome.message };
    if (outcome.kind === 'noAnswer') return { kind: 'noAnswer', message: outcome.message };
    return decodeReply(call, outcome.status, outcome.body);
  }

  override dispose(): void {
    this.http.dispose();
  }
}

function buildRequest(call: RunnerCall): { readonly path: string; readonly body: unknown } {
  switch (call.op) {
    case 'hold':
      return {
        path: `${ROOT}/hold`,
        body: {
          fence: call.fence,
          last_seen: call.lastSeen,
          wait_ms: call.waitMs,
          ...(call.leaseUntilMs === undefined ? {} : { deadline_ms: call.leaseUntilMs }),
        },
      };
    case 'start':
      return {
        path: `${ROOT}/run-start`,
        body: {
          task: call.task,
          run: call.run,
          spec: call.payload,
          deadline_ms: call.leaseUntilMs,
          fence: call.fence,
          ...(call.checkpoint === '' ? {} : { checkpoint: call.checkpoint }),
          ...(call.ticket === '' ? {} : { ticket: call.ticket }),
        },
      };
    case 'stop':
      return {
        path: `${ROOT}/run-stop`,
        body: { task: call.task, run: call.run, fence: call.fence },
      };
    case 'pace':
      return {
        path: `${ROOT}/pace`,
        body: { task: call.task, run: call.run, percent: call.percent, fence: call.fence },
      };
  }
}

function decodeReply(call: RunnerCall, status: number, body: unknown): RunnerReply {
  if (status === STATUS_OTHER_INCARNATION) return { kind: 'otherIncarnation' };
  if (status === 429 || status === 503)
    return { kind: 'refused', message: `the worker answered ${status}` };
  if (status === 409 || status === 400) {
    const rejection = z.safeParse(rejectionSchema, body);
    return { kind: 'rejected', reason: rejection.success ? rejection.data.reason : `${status}` };
  }
  if (status !== 200) return { kind: 'noAnswer', message: `unexpected status ${status}` };
  return call.op === 'hold' ? decodeLists(body) : decodeDone(body);
}

function decodeDone(body: unknown): RunnerReply {
  const parsed = z.safeParse(answerSchema, body ?? {});
  return { kind: 'done', clockMs: parsed.success ? parsed.data.clock_ms : 0 };
}

/**
 * Leaves rows aside that cannot be read, and lists without them count as incomplete, so that no run
 * is missed. Ends after an unreadable one are left aside too: acknowledging them would acknowledge
 * it. Other invalid lists count as no answer, so that the known runs stay unchanged.
 */
function decodeLists(body: unknown): RunnerReply {
  const parsed = z.safeParse(listsSchema, body);
  if (!parsed.success) return { kind: 'noAnswer', message: 'the lists of runs are invalid' };
  const { clock_ms: clockMs, born: bornMs } = parsed.data;
  const running = parsed.data.running.flatMap(decodeRunning);
  const ended: EndedRun[] = [];
  for (const row of parsed.data.ended) {
    const end = decodeEnd(row);
    if (end === undefined) break;
    ended.push(end);
  }
  const hasAllRows =
    running.length === parsed.data.running.length && ended.length === parsed.data.ended.length;
  const isComplete = hasAllRows && ended.length < MAX_LISTED_ENDS;
  return { kind: 'lists', clockMs, bornMs, isComplete, running, ended };
}

function decodeRunning(row: unknown): RunningRun[] {
  const parsed = z.safeParse(runningRowSchema, row);
  if (!parsed.success) return [];
  const [task, run, checkpoint, percent, load] = parsed.data;
  return [{ task, run, checkpoint, percent, load: load ?? 0 }];
}

function decodeEnd(row: unknown): EndedRun | undefined {
  const parsed = z.safeParse(endedRowSchema, row);
  if (!parsed.success) return undefined;
  const [number, task, run, how, checkpoint] = parsed.data;
  return { number, task, run, how, checkpoint };
}
