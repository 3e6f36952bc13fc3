import type { Disposable } from '../base/common/disposable.ts';
import { LogWriter } from '../base/node/logWriter.ts';
import { NodeClock, NodeTimer } from '../base/node/nodeClock.ts';
import type { Tables } from '../model/configuration.ts';
import { AgentDaemon } from '../daemons/agentDaemon.ts';
import { EntryDaemon } from '../daemons/entryDaemon.ts';
import { HttpStoreClient } from '../protocol/node/storeClient.ts';
import { EndpointServer } from '../standins/endpointServer.ts';
import { StoreServer } from '../standins/storeServer.ts';
import { CONFIGURATION_KEY } from '../systems/configuration/configurationReadSystem.ts';

const HOST = '127.0.0.1';
const REGION = 'kr-south';
const ZONES = ['busan-a', 'ulsan-b', 'daegu-c', 'changwon-d'];
const ENTRIES = 2;
const RUNNERS = 4;
const READY_TIMEOUT_MS = 10_000;

async function openEntries(storeOrigin: string, log: LogWriter): Promise<EntryDaemon[]> {
  const entries: EntryDaemon[] = [];
  for (let index = 0; index < ENTRIES; index += 1) {
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

async function openRunners(
  entryAddresses: string[],
  log: LogWriter,
): Promise<{ agents: AgentDaemon[]; endpoints: EndpointServer[] }> {
  const agents: AgentDaemon[] = [];
  const endpoints: EndpointServer[] = [];
  for (let index = 0; index < RUNNERS; index += 1) {
    const endpoint = await EndpointServer.create({
      host: HOST,
      port: 0,
      name: `kit-${index}`,
      timer: NodeTimer.create(),
    });
    const agent = await AgentDaemon.create(
      {
        id: `agent-${index}`,
        region: REGION,
        zone: ZONES[index % ZONES.length] ?? '',
        host: HOST,
        linkPort: 0,
        announcePort: 0,
        entries: entryAddresses,
        stopSeconds: 30,
      },
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

/** The whole system in one process on loopback ports, with stand-ins of the platform. */
export class LocalCluster implements Disposable {
  private constructor(
    readonly store: StoreServer,
    readonly entries: readonly EntryDaemon[],
    readonly agents: readonly AgentDaemon[],
    readonly endpoints: readonly EndpointServer[],
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
    const { agents, endpoints } = await openRunners(
      entries.map((entry) => entry.state.self.info.address),
      log,
    );
    return new LocalCluster(store, entries, agents, endpoints);
  }

  /** Waits until every entry serves and knows every endpoint. */
  async waitReady(): Promise<void> {
    const clock = NodeClock.create();
    const until = clock.now + READY_TIMEOUT_MS;
    while (
      !this.entries.every(
        (entry) => entry.callerPort !== 0 && entry.state.endpoints.size === this.endpoints.length,
      )
    ) {
      if (clock.now > until) throw new Error('the local cluster did not become ready');
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  dispose(): void {
    for (const part of [...this.agents, ...this.entries, ...this.endpoints, this.store])
      part.dispose();
  }
}
