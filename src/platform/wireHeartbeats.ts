import type { IncomingMessage, ServerResponse } from 'node:http';
import * as z from 'zod/mini';
import { addressSchema } from '../model/address.ts';
import type { WorkerHeartbeat } from '../model/scheduler/runnerAgentState.ts';
import { decodePathSegment } from '../protocol/node/requestPath.ts';
import { readJsonBody } from './wireBody.ts';

const HEARTBEAT_PATH = /^\/bramleyladder\/instances\/([^/]+)\/(heartbeat|leave)$/;
/** Maximum size of a heartbeat on the platform. */
const MAX_HEARTBEAT_BYTES = 4 * 1024 * 1024;

const heartbeatSchema = z.object({
  service: z.string(),
  addr: addressSchema,
  zone: z.string(),
  state: z.enum(['ready', 'draining']),
  /** Increases with each heartbeat; identifies heartbeats that arrive out of order. */
  seq: z.number(),
  /** Start of the incarnation, wall-clock ms since 1970. */
  born: z._default(z.number(), 0),
  capacity: z.object({
    cpu: z.number(),
    mem_mb: z.number(),
    gpu: z._default(z.number(), 0),
  }),
  labels: z._default(z.array(z.string()), []),
  /** Minimum time that remains while the worker drains. */
  drain_left_ms: z._default(z.number(), 0),
});

/** Callbacks for the heartbeats of a worker. */
export interface HeartbeatHandlers {
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
  if (workerId === undefined) return false;
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
