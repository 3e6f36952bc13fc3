import type { IncomingMessage, ServerResponse } from 'node:http';
import * as z from 'zod/mini';
import type { WorkerHeartbeat } from '../model/scheduler/runnerAgentState.ts';
import { decodePathSegment } from '../protocol/node/requestPath.ts';
import { readJsonBody } from './wireBody.ts';

const HEARTBEAT_PATH = /^\/bramleyladder\/instances\/([^/]+)\/(heartbeat|leave)$/;
/** The platform's bound on a beat. */
const MAX_HEARTBEAT_BYTES = 4 * 1024 * 1024;

const heartbeatSchema = z.object({
  service: z.string(),
  addr: z.string(),
  zone: z.string(),
  state: z.enum(['ready', 'draining']),
  /** Grows with each beat, so that a late one can be told. */
  seq: z.number(),
  /** Wall-clock time of the incarnation's start, ms since 1970. */
  born: z._default(z.number(), 0),
  capacity: z.object({
    cpu: z.number(),
    mem_mb: z.number(),
    gpu: z._default(z.number(), 0),
  }),
  labels: z._default(z.array(z.string()), []),
  /** Least time that is left while draining. */
  drain_left_ms: z._default(z.number(), 0),
});

/** What the beats of the worker lead to. */
export interface HeartbeatHandlers {
  readonly onBeat: (beat: WorkerHeartbeat) => void;
  readonly onLeave: (workerId: string) => void;
  readonly onInvalid: (workerId: string, reason: string) => void;
}

/** Serves the worker's beats; false when the path is another. */
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

function toHeartbeat(id: string, beat: z.infer<typeof heartbeatSchema>): WorkerHeartbeat {
  return {
    sequence: beat.seq,
    identity: {
      id,
      bornMs: beat.born,
      service: beat.service,
      address: beat.addr,
      zone: beat.zone,
      labels: beat.labels,
      cpuMillis: beat.capacity.cpu,
      memoryMb: beat.capacity.mem_mb,
      gpus: beat.capacity.gpu,
      isDraining: beat.state === 'draining',
      drainLeftMs: beat.drain_left_ms,
    },
  };
}

function sendEmpty(response: ServerResponse, status: number): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end('{}');
}
