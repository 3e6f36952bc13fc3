import type { Disposable } from '../base/common/disposable.ts';
import { LogWriter } from '../base/node/logWriter.ts';
import { NodeClock, NodeTimer } from '../base/node/nodeClock.ts';
import type { Tables } from '../model/configuration.ts';
import { AgentDaemon } from '../daemons/agentDaemon.ts';
import { EntryDaemon } from '../daemons/entryDaemon.ts';
import type { AgentSettings } from '../daemons/settings.ts';
import { HttpStoreClient } from '../protocol/node/httpStoreClient.ts';
import { EndpointServer } from '../standins/endpointServer.ts';
import { MemoryWorker } from '../standins/memoryWorker.ts';
import { StoreServer } from '../standins/storeServer.ts';
import { WorkerServer } from '../standins/workerServer.ts';
import { CONFIGURATION_KEY } from '../systems/configuration/configurationReadSystem.ts';
import { parseTaskDuration } from './worker.ts';

const HOST = '127.0.0.1';
const REGION = 'kr-south';
const ZONES = ['busan-a', 'ulsan-b', 'daegu-c', 'changwon-d'];
const ENTRY_COUNT = 2;
const RUNNER_COUNT = 4;
const WORKER_COUNT = 4;
/** A fifth of a Hanbit worker (60 cores, 250 GB), so that a few small jobs use all capacity. */
const WORKER_CAPACITY = { cores: 12, memoryMb: 50_000, accelerators: 0 };
const READY_TIMEOUT_MS = 10_000;

interface LocalWorker {
  readonly zone: string;
  readonly worker: MemoryWorker;
  readonly server: WorkerServer;
  readonly agent: AgentDaemon;
}

async function openEntries(storeOrigin: string, log: LogWriter): Promise<EntryDaemon[]> {
  const entries: EntryDaemon[] = [];
  for (let index = 0; index < ENTRY_COUNT; index += 1) {
    entries.push(
      await EntryDaemon.create(
        {
          id: `entry-${index}`,
          region: REGION,
          zone: ZONES[index] ?? '',
          host: HOST,
          callerPort: 0,
          operatorPort: 0,
          linkPort: 0,
          storeOrigin,
          peers: [],
          stopSeconds: 30,
        },
        log,
      ),
    );
  }
  return entries;
}

function buildAgentSettings(id: string, index: number, entries: string[]): AgentSettings {
  return {
    id,
    region: REGION,
    zone: ZONES[index % ZONES.length] ?? '',
    host: HOST,
    linkPort: 0,
    announcePort: 0,
    entries,
    stopSeconds: 30,
  };
}

async function openWorkers(entryAddresses: string[], log: LogWriter): Promise<LocalWorker[]> {
  const workers: LocalWorker[] = [];
  for (let index = 0; index < WORKER_COUNT; index += 1) {
    const worker = MemoryWorker.create({
      id: `worker-${index}`,
      rack: `rack-${index}`,
      capacity: WORKER_CAPACITY,
      clock: NodeClock.create(),
      computeWorkMs: parseTaskDuration,
    });
    const timer = NodeTimer.create();
    const server = await WorkerServer.create({ host: HOST, port: 0, worker, timer });
    const settings = buildAgentSettings(`worker-agent-${index}`, index, entryAddresses);
    const agent = await AgentDaemon.create({ ...settings, workerOrigin: server.origin }, log);
    workers.push({ zone: settings.zone, worker, server, agent });
  }
  return workers;
}

async function openRunners(
  entryAddresses: string[],
  log: LogWriter,
): Promise<{ agents: AgentDaemon[]; endpoints: EndpointServer[] }> {
  const agents: AgentDaemon[] = [];
  const endpoints: EndpointServer[] = [];
  for (let index = 0; index < RUNNER_COUNT; index += 1) {
    const endpoint = await EndpointServer.create({
      host: HOST,
      port: 0,
      name: `kit-${index}`,
      timer: NodeTimer.create(),
    });
    const agent = await AgentDaemon.create(
      buildAgentSettings(`agent-${index}`, index, entryAddresses),
      log,
    );
    agent.register({
      name: 'kit',
      service: 'kit',
      origin: endpoint.origin,
      slots: 8,
      connections: 60,
    });
    endpoints.push(endpoint);
    agents.push(agent);
  }
  return { agents, endpoints };
}

/** Runs the whole system in one process on loopback ports with stand-ins of the platform. */
export class LocalCluster implements Disposable {
  private constructor(
    readonly store: StoreServer,
    readonly entries: readonly EntryDaemon[],
    readonly agents: readonly AgentDaemon[],
    readonly endpoints: readonly EndpointServer[],
    readonly workers: readonly LocalWorker[],
  ) {}

  static async create(
    tables: Tables,
    log: LogWriter = LogWriter.create(true),
  ): Promise<LocalCluster> {
    const clock = NodeClock.create();
    const timer = NodeTimer.create();
    const store = await StoreServer.create({ host: HOST, port: 0, clock, timer });
    const client = HttpStoreClient.create(store.origin);
    const value = { revision: 1, token: 'local', ...tables, zonesOut: [] };
    await client.send({ op: 'write', key: CONFIGURATION_KEY, expectedVersion: 0, value }, 1_000);
    client.dispose();
    const entries = await openEntries(store.origin, log);
    const addresses = entries.map((entry) => entry.state.self.info.address);
    const { agents, endpoints } = await openRunners(addresses, log);
    const workers = await openWorkers(addresses, log);
    return new LocalCluster(store, entries, agents, endpoints, workers);
  }

  /** Waits until every entry listens for callers and has every endpoint in its table. */
  async waitReady(): Promise<void> {
    const clock = NodeClock.create();
    const deadlineMs = clock.now + READY_TIMEOUT_MS;
    while (
      !this.entries.every(
        (entry) => entry.callerPort !== 0 && entry.state.endpoints.size === this.endpoints.length,
      )
    ) {
      if (clock.now > deadlineMs)
        throw new Error('the local cluster did not become ready before the timeout');
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  dispose(): void {
    const workers = this.workers.flatMap(({ agent, server }) => [agent, server]);
    for (const disposable of [
      ...workers,
      ...this.agents,
      ...this.entries,
      ...this.endpoints,
      this.store,
    ])
      disposable.dispose();
  }
}
