import { request } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import { LogWriter } from '../../src/base/node/logWriter.ts';
import { RunnerAgentDaemon } from '../../src/daemons/runnerAgentDaemon.ts';
import { SchedulerDaemon } from '../../src/daemons/schedulerDaemon.ts';
import { PlatformStoreClient } from '../../src/platform/platformStoreClient.ts';
import { receiveHeartbeat } from '../../src/platform/wireHeartbeats.ts';
import { WireAdviceClient } from '../../src/platform/wireAdviceClient.ts';
import { createEntryStatusHandler } from '../../src/platform/wireEntryStatus.ts';
import { WireInstanceClient } from '../../src/platform/wireInstanceClient.ts';
import { WireFront } from '../../src/platform/wireFront.ts';
import { WireRunnerClient } from '../../src/platform/wireRunnerClient.ts';
import { StatusServer } from '../../src/protocol/node/statusServer.ts';
import { PlatformRunnerStandIn, PlatformStoreStandIn } from './platformStandIn.ts';
import { BOUNDS } from './worldNodes.ts';

/** Default host of the callers' requests. */
export const HOST = 'kits.example';
/** Id of the submitted job in tests with one job. */
export const JOB = '00000000000000b1';
/** Route of the queue in the first configuration. */
export const ROUTE = {
  name: 'r-1',
  host: HOST,
  prefix: '/kits/',
  service: 'svc',
  attempts: 2,
  stretch: 2,
  slo_ms: 300,
  priority: 0,
};
const LOG = LogWriter.create(true);
/** No test reads the gauges of these daemons. */
const listGauges = (): never[] => [];

/** The response to a caller. */
export interface Answer {
  readonly status: number;
  readonly body: Record<string, unknown>;
  readonly retryAfter: string | undefined;
}

/** Sends one request on a new connection. */
export async function send(
  port: number,
  method: string,
  path: string,
  body?: unknown,
  host = HOST,
): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const outgoing = request(
      { host: '127.0.0.1', port, method, path, headers: { host, 'deadline-ms': '2000' } },
      (response) => {
        let text = '';
        response.on('data', (chunk: Buffer) => (text += chunk.toString()));
        response.on('end', () => {
          resolve({
            status: response.statusCode ?? 0,
            body: text === '' ? {} : (JSON.parse(text) as Record<string, unknown>),
            retryAfter: response.headers['retry-after'],
          });
        });
      },
    );
    outgoing.on('error', reject);
    outgoing.end(typeof body === 'string' ? body : JSON.stringify(body));
  });
}

export async function waitFor(check: () => boolean | Promise<boolean>): Promise<void> {
  for (let attempts = 0; attempts < 300; attempts += 1) {
    if (await check()) return;
    await delay(20);
  }
  throw new Error('the condition did not become true within 6 s');
}

interface WorldParts {
  readonly store: PlatformStoreStandIn;
  readonly runner: PlatformRunnerStandIn;
  readonly entry: SchedulerDaemon;
  readonly agent: RunnerAgentDaemon;
  readonly front: WireFront;
  readonly beats: StatusServer;
  readonly status: StatusServer;
  /** Ids of the workers whose heartbeats were invalid. */
  readonly invalidBeats: string[];
  /** Duration of tasks that start later, ms. */
  readonly times: { taskMs: number };
}

/** An entry, an agent and their fronts on sockets, with stand-ins of the store and the worker. */
export class PlatformWorld {
  private constructor(readonly parts: WorldParts) {}

  /** Creates a world whose owner has a report of the worker `i-1`, which has free capacity. */
  static async create(instancesAddress = ''): Promise<PlatformWorld> {
    const store = await PlatformStoreStandIn.create();
    store.write('op/config', { version: 3, routes: [ROUTE], services: [], limits: {} });
    const times = { taskMs: 150 };
    const runner = await PlatformRunnerStandIn.create(() => ({
      durationMs: times.taskMs,
      end: 'done',
    }));
    const entry = await SchedulerDaemon.create(
      { id: 'e-1', bootId: 'b-1', zone: 'a', zones: ['a', 'b'], cores: 1, bounds: { ...BOUNDS } },
      { host: '127.0.0.1', port: 0 },
      {
        store: PlatformStoreClient.create(store.address),
        adviser: WireAdviceClient.create(''),
        instances: WireInstanceClient.create(instancesAddress),
      },
      LOG,
    );
    const agent = await RunnerAgentDaemon.create(
      { id: 'a-1', zone: 'a' },
      { host: '127.0.0.1', port: 0 },
      PlatformStoreClient.create(store.address),
      WireRunnerClient.create(),
      LOG,
    );
    const invalidBeats: string[] = [];
    const front = await WireFront.create('127.0.0.1:0', entry);
    const beats = await createHeartbeatServer(agent, invalidBeats);
    const status = await StatusServer.create(
      { host: '127.0.0.1', port: 0 },
      { counters: entry.state.counters, metrics: entry.metrics, listGauges },
      createEntryStatusHandler(entry),
    );
    const parts = { store, runner, entry, agent, front, beats, status, invalidBeats, times };
    const world = new PlatformWorld(parts);
    await waitFor(() => entry.isReady && entry.state.ownership.role === 'owner');
    const { status: answered } = await world.sendHeartbeat();
    if (answered !== 200) throw new Error(`the heartbeat was answered with status ${answered}`);
    await waitFor(() =>
      [...entry.state.workers.values()].some(({ hasFencedReport }) => hasFencedReport),
    );
    return world;
  }

  dispose(): void {
    const { store, runner, entry, agent, front, beats, status } = this.parts;
    for (const part of [front, beats, status, entry, agent, store, runner]) part.dispose();
  }

  /** Sends a heartbeat of the worker. */
  async sendHeartbeat(fields: Record<string, unknown> = {}): Promise<Answer> {
    return send(this.parts.beats.port, 'POST', '/bramleyladder/instances/i-1/heartbeat', {
      service: 'svc',
      addr: this.parts.runner.address,
      zone: 'a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      capacity: { cpu: 8_000, mem_mb: 8_000, gpu: 0 },
      labels: ['k'],
      clock_ms: 5,
      seq: Date.now(),
      born: 77,
      ...fields,
    });
  }

  /** Reads the state of the job {@link JOB} as a caller. */
  async readJobState(): Promise<unknown> {
    return (await send(this.parts.front.port, 'GET', `/kits/${JOB}`)).body.state;
  }
}

async function createHeartbeatServer(
  agent: RunnerAgentDaemon,
  invalidBeats: string[],
): Promise<StatusServer> {
  return StatusServer.create(
    { host: '127.0.0.1', port: 0 },
    { counters: agent.state.counters, metrics: agent.metrics, listGauges },
    (incoming, response) =>
      receiveHeartbeat(incoming, response, {
        workerAddress: '',
        onBeat: (heartbeat) => {
          agent.receiveHeartbeat(heartbeat);
        },
        onLeave: (workerId) => {
          agent.receiveLeave(workerId);
        },
        onInvalid: (workerId) => {
          invalidBeats.push(workerId);
        },
      }),
  );
}
