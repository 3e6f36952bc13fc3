import * as z from 'zod/mini';
import type { InstanceCall, InstanceInfo, InstanceReply } from '../model/scheduler/instanceCall.ts';
import { InstanceClient } from '../protocol/node/instanceClient.ts';
import type { WireCall } from './wireHttp.ts';
import { WireHttp } from './wireHttp.ts';

const ROOT = '/bramleyladder';

const machineSchema = z.object({
  machine: z.string(),
  pool: z.string(),
  state: z.enum(['up', 'moving', 'upkeep', 'down']),
  zone: z.string(),
  /** Kind and rack of the machine. */
  labels: z._default(z.array(z.string()), []),
  capacity: z.object({ cpu: z.number(), mem_mb: z.number(), gpu: z._default(z.number(), 0) }),
  /** Id of the runner on the machine. */
  id: z.optional(z.nullable(z.string())),
});
const pageSchema = z.object({
  machines: z.array(machineSchema),
  next_token: z.optional(z.nullable(z.string())),
});
const rejectionSchema = z.object({ reason: z.enum(['fence', 'busy', 'wave']) });

/** Client of the platform's service that lists machines and accepts commands for them. */
export class WireInstanceClient extends InstanceClient {
  private readonly http = WireHttp.create();

  private constructor(private readonly address: string) {
    super();
  }

  /** An empty address means that the deployment has no instance service. */
  static create(address: string): WireInstanceClient {
    return new WireInstanceClient(address);
  }

  override async send(call: InstanceCall, timeoutMs: number): Promise<InstanceReply> {
    if (this.address === '') return { kind: 'refused', message: 'no service is configured' };
    const outcome = await this.http.send({
      ...buildRequest(call),
      address: this.address,
      timeoutMs,
    });
    if (outcome.kind === 'notSent') return { kind: 'refused', message: outcome.message };
    if (outcome.kind === 'noAnswer') return { kind: 'unavailable', message: outcome.message };
    return decodeReply(call, outcome.status, outcome.body);
  }

  override dispose(): void {
    this.http.dispose();
  }
}

function buildRequest(call: InstanceCall): Pick<WireCall, 'method' | 'path' | 'headers' | 'body'> {
  if (call.op === 'list') {
    const token = call.pageToken === '' ? '' : `?page_token=${encodeURIComponent(call.pageToken)}`;
    return { method: 'GET', path: `${ROOT}/machines${token}` };
  }
  const headers = {
    'duty-holder': call.authority.holder,
    'fence-token': String(call.authority.fence),
  };
  return call.op === 'move'
    ? {
        method: 'POST',
        path: `${ROOT}/machine-move`,
        headers,
        body: { machine: call.instanceId, pool: call.pool },
      }
    : {
        method: 'POST',
        path: `${ROOT}/machine-upkeep`,
        headers,
        body: { machine: call.instanceId, wave: call.wave },
      };
}

function decodeReply(call: InstanceCall, status: number, body: unknown): InstanceReply {
  if (status === 429) return { kind: 'refused', message: 'the service answered 429' };
  if (call.op === 'list') return decodePage(status, body);
  if (status === 200) return { kind: 'done' };
  if (status === 400) return { kind: 'rejected', reason: 'unknown' };
  const rejection = z.safeParse(rejectionSchema, body);
  if (status !== 409 || !rejection.success)
    return { kind: 'unavailable', message: `unexpected answer ${status}` };
  const { reason } = rejection.data;
  return { kind: 'rejected', reason: reason === 'wave' ? 'notInWave' : reason };
}

/** Rejects a page with an invalid item: a machine that is not listed would count as removed. */
function decodePage(status: number, body: unknown): InstanceReply {
  const page = z.safeParse(pageSchema, body);
  if (status !== 200 || !page.success)
    return { kind: 'unavailable', message: `unexpected answer ${status}` };
  return {
    kind: 'page',
    instances: page.data.machines.map(toInstance),
    nextToken: page.data.next_token ?? '',
  };
}

function toInstance(machine: z.infer<typeof machineSchema>): InstanceInfo {
  return {
    id: machine.machine,
    pool: machine.pool,
    state: machine.state === 'upkeep' ? 'maintenance' : machine.state,
    zone: machine.zone,
    kind: machine.labels[0] ?? '',
    cpuMillis: machine.capacity.cpu,
    memoryMb: machine.capacity.mem_mb,
    gpus: machine.capacity.gpu,
    workerId: machine.id ?? '',
  };
}
