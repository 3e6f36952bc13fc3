import type { IncomingMessage, ServerResponse } from 'node:http';
import * as z from 'zod/mini';
import { readWallClock } from '../base/node/nodeClock.ts';
import { addressSchema } from '../model/address.ts';
import type { WorkerHeartbeat } from '../model/scheduler/runnerAgentState.ts';
import { decodePathSegment } from '../protocol/node/requestPath.ts';
import { readJsonBody } from './wireBody.ts';

const HEARTBEAT_PATH = /^\/bramleyladder\/instances\/([^/]+)\/(heartbeat|leave)$/;
/** Maximum size of a heartbeat on the platform. */
const MAX_HEARTBEAT_BYTES = 4 * 1024 * 1024;

/** Ids of workers become part of worker keys, `AGENT|WORKER|BORN`, and of a header. */
const WORKER_ID = /^[\x21-\x7b\x7d\x7e]+$/;
/**
 * A start time further ahead is not that of a worker: the real one would count as an earlier
 * incarnation for ever. Clocks of instances differ by less.
 */
const MAX_CLOCK_LEAD_MS = 24 * 60 * 60 * 1_000;
const MAX_LABELS = 1_000;
const MAX_TEXT_LENGTH = 1_000;

const textSchema = z.string().check(z.maxLength(MAX_TEXT_LENGTH));
const amountSchema = z.number().check(z.minimum(0), z.maximum(Number.MAX_SAFE_INTEGER));
const wholeSchema = z.int().check(z.minimum(0));

const heartbeatSchema = z.object({
  service: textSchema,
  addr: addressSchema,
  zone: textSchema,
  state: z.enum(['ready', 'draining']),
  /** Increases with each heartbeat; identifies heartbeats that arrive out of order. */
  seq: wholeSchema,
  /** Start of the incarnation, wall-clock ms since 1970. */
  born: z._default(wholeSchema, 0),
  capacity: z.object({
    cpu: amountSchema,
    mem_mb: amountSchema,
    gpu: z._default(amountSchema, 0),
  }),
  labels: z._default(z.array(textSchema).check(z.maxLength(MAX_LABELS)), []),
  /** Minimum time that remains while the worker drains. */
  drain_left_ms: z._default(amountSchema, 0),
});

/** Callbacks for the heartbeats of a worker. */
export interface HeartbeatHandlers {
  /** Address of the worker beside this agent; heartbeats with another one are invalid. Empty for any. */
  readonly workerAddress: string;
  readonly onBeat: (heartbeat: WorkerHeartbeat) => void;
  readonly onLeave: (workerId: string) => void;
  readonly onInvalid: (workerId: string, reason: string) => void;
}

/** Serves the heartbeat and leave requests of a worker; returns false for other requests. */
export function receiveHeartbeat(
  request: IncomingMessage,
  response: ServerResponse,
  handlers: HeartbeatHandlers,
): boolean {
  const match = HEARTBEAT_PATH.exec(request.url ?? '');
  if (match === null || request.method !== 'POST') return false;
  const workerId = decodePathSegment(match[1] ?? '');
  if (workerId === undefined || !WORKER_ID.test(workerId)) return false;
  void readJsonBody(request, MAX_HEARTBEAT_BYTES).then((body) => {
    if (body.kind === 'cut') return;
    if (match[2] === 'leave') {
      handlers.onLeave(workerId);
      sendEmpty(response, 200);
      return;
    }
    const parsed = z.safeParse(heartbeatSchema, body.kind === 'value' ? body.value : undefined);
    if (!parsed.success) {
      const [issue] = parsed.error.issues;
      handlers.onInvalid(workerId, `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`);
      sendEmpty(response, 400);
      return;
    }
    if (handlers.workerAddress !== '' && parsed.data.addr !== handlers.workerAddress) {
      handlers.onInvalid(workerId, 'addr: is not that of the worker beside this agent');
      sendEmpty(response, 400);
      return;
    }
    if (parsed.data.born > readWallClock() + MAX_CLOCK_LEAD_MS) {
      handlers.onInvalid(workerId, 'born: is in the future');
      sendEmpty(response, 400);
      return;
    }
    handlers.onBeat(toHeartbeat(workerId, parsed.data));
    sendEmpty(response, 200);
  });
  return true;
}

function toHeartbeat(id: string, heartbeat: z.infer<typeof heartbeatSchema>): WorkerHeartbeat {
  return {
    sequence: heartbeat.seq,
    identity: {
      id,
      bornMs: heartbeat.born,
      service: heartbeat.service,
      address: heartbeat.addr,
      zone: heartbeat.zone,
      labels: heartbeat.labels,
      cpuMillis: heartbeat.capacity.cpu,
      memoryMb: heartbeat.capacity.mem_mb,
      gpus: heartbeat.capacity.gpu,
      isDraining: heartbeat.state === 'draining',
      drainLeftMs: heartbeat.drain_left_ms,
    },
  };
}

function sendEmpty(response: ServerResponse, status: number): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end('{}');
}
