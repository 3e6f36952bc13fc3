import { NodeClock, NodeTimer } from '../src/base/node/nodeClock.ts';
import { SeededRandom } from '../src/base/common/seededRandom.ts';
import { routeSchema } from '../src/model/configuration.ts';
import { HttpStoreClient } from '../src/protocol/node/httpStoreClient.ts';
import { StoreServer } from '../src/standins/storeServer.ts';
import { CONFIGURATION_KEY } from '../src/systems/configuration/configurationReadSystem.ts';
import type { LoadFigures } from './loadGenerator.ts';
import { LoadGenerator } from './loadGenerator.ts';
import type { ServerThread, TransportName } from './overheadServers.ts';
import { CONNECTIONS, startServer } from './overheadServers.ts';
import type { BenchReport, BenchRow } from './report.ts';

const HOST = '127.0.0.1';
/** Compiled code of the entry and the agent reaches its speed only after some thousand requests. */
const WARM_UP_MS = 4_000;
const SATURATION_MS = 3_000;
const RATE_MS = 4_000;
const READY_TIMEOUT_MS = 8_000;
const MAX_ADDED_MEDIAN_MS = 1;
const MAX_ADDED_P99_MS = 3;
const MIN_RATE_RATIO = 0.5;

const ROUTE = routeSchema.parse({
  name: 'kits',
  pathPrefix: '/kits',
  service: 'kit',
  pool: 'kits',
  idempotent: false,
});

async function openStore(): Promise<StoreServer> {
  const clock = NodeClock.create();
  const store = await StoreServer.create({ host: HOST, port: 0, clock, timer: NodeTimer.create() });
  const client = HttpStoreClient.create(store.origin);
  const value = { revision: 1, token: 'bench', routes: [ROUTE], pools: [], zonesOut: [] };
  await client.send({ op: 'write', key: CONFIGURATION_KEY, expectedVersion: 0, value }, 1_000);
  client.dispose();
  return store;
}

async function waitReady(load: LoadGenerator): Promise<void> {
  const clock = NodeClock.create();
  const untilMs = clock.now + READY_TIMEOUT_MS;
  while ((await load.measureSaturation(1, 20)).failed > 0)
    if (clock.now > untilMs) throw new Error('the entry does not serve');
}

const TRANSPORTS: readonly TransportName[] = ['grpc', 'http'];

/** The servers of one run and what has to be closed after it. */
class OverheadServers {
  readonly loads: LoadGenerator[] = [];
  private readonly threads: ServerThread[] = [];
  private readonly stores: StoreServer[] = [];

  private constructor() {
    // Built by create().
  }

  static create(): OverheadServers {
    return new OverheadServers();
  }

  /** Starts the endpoint, the forwarder, and an entry with an agent for each transport. */
  async start(): Promise<void> {
    const origin = await this.startLoaded({ overheadRole: 'endpoint' });
    await this.startLoaded({ overheadRole: 'forwarder', origin: origin.origin });
    for (const transport of TRANSPORTS) {
      // A store of its own keeps the entries of the transports from sharing endpoints.
      const store = await openStore();
      this.stores.push(store);
      const { origin: storeOrigin } = store;
      const entry = await this.startLoaded({ overheadRole: 'entry', storeOrigin, transport });
      this.threads.push(
        await startServer({
          overheadRole: 'agent',
          origin: origin.origin,
          entry: entry.linkAddress,
          transport,
        }),
      );
    }
  }

  async dispose(): Promise<void> {
    for (const load of this.loads) await load.dispose();
    for (const { worker } of this.threads) await worker.terminate();
    for (const store of this.stores) store.dispose();
  }

  private async startLoaded(
    role: Parameters<typeof startServer>[0],
  ): Promise<{ origin: string; linkAddress: string }> {
    const thread = await startServer(role);
    this.threads.push(thread);
    const origin = `http://${HOST}:${thread.port}`;
    this.loads.push(LoadGenerator.create(origin, CONNECTIONS));
    return { origin, linkAddress: thread.linkAddress };
  }
}

interface Figures {
  readonly full: LoadFigures;
  readonly half: LoadFigures;
}

/** Measures entry and agent against a bare forwarder and a direct call. Takes about 50 s. */
export async function runOverheadBench(seed: number): Promise<BenchReport> {
  const servers = OverheadServers.create();
  try {
    await servers.start();
    const notes = [
      'entry and agent run on threads of their own; the baseline is named in the metric',
    ];
    return { name: 'overhead', seed, rows: await measureRows(seed, servers.loads), notes };
  } finally {
    await servers.dispose();
  }
}

async function measureRows(seed: number, loads: readonly LoadGenerator[]): Promise<BenchRow[]> {
  for (const load of loads) await waitReady(load);
  const full: LoadFigures[] = [];
  for (const load of loads) {
    await load.measureSaturation(CONNECTIONS, WARM_UP_MS);
    full.push(await load.measureSaturation(CONNECTIONS, SATURATION_MS));
  }
  // Every latency is taken at half of the saturation of the transport in use.
  const rate = (full.at(-1)?.perSecond ?? 0) / 2;
  const figures: Figures[] = [];
  for (const [index, load] of loads.entries()) {
    const half = await load.measureRate(rate, RATE_MS, SeededRandom.create(seed));
    const saturated = full[index];
    if (saturated !== undefined) figures.push({ full: saturated, half });
  }
  const [direct, forwarder, grpc, http] = figures;
  if (!direct || !forwarder || !grpc || !http) return [];
  return [
    ...createTargetRows(direct, forwarder, http, rate),
    ...createTransportRows(grpc, http, rate),
  ];
}

function createTargetRows(
  direct: Figures,
  forwarder: Figures,
  http: Figures,
  rate: number,
): BenchRow[] {
  const minRate = MIN_RATE_RATIO * forwarder.full.perSecond;
  const maxMedian = direct.half.medianMs + MAX_ADDED_MEDIAN_MS;
  const maxP99 = direct.half.p99Ms + MAX_ADDED_P99_MS;
  const at = `at ${Math.round(rate)}/s`;
  const { full, half } = http;
  const failed = full.failed + half.failed;
  return [
    createRow('direct call at saturation', '1/s', direct.full.perSecond, full.perSecond),
    createRow(
      'forwarder at saturation',
      '1/s',
      forwarder.full.perSecond,
      full.perSecond,
      minRate,
      full.perSecond >= minRate,
    ),
    createRow('forwarder processor time', 'ms', forwarder.full.cpuMs, full.cpuMs),
    createRow('direct call processor time', 'ms', direct.full.cpuMs, full.cpuMs),
    createRow('forwarder p99 at saturation', 'ms', forwarder.full.p99Ms, full.p99Ms),
    createRow(
      `direct call median ${at}`,
      'ms',
      direct.half.medianMs,
      half.medianMs,
      maxMedian,
      half.medianMs <= maxMedian,
    ),
    createRow(
      `direct call p99 ${at}`,
      'ms',
      direct.half.p99Ms,
      half.p99Ms,
      maxP99,
      half.p99Ms <= maxP99,
    ),
    createRow('forwarder median at that rate', 'ms', forwarder.half.medianMs, half.medianMs),
    createRow('forwarder p99 at that rate', 'ms', forwarder.half.p99Ms, half.p99Ms),
    createRow(
      'requests not answered with 200',
      '1',
      direct.full.failed + direct.half.failed + forwarder.full.failed + forwarder.half.failed,
      failed,
      0,
      failed === 0,
    ),
  ];
}

function createTransportRows(grpc: Figures, http: Figures, rate: number): BenchRow[] {
  const at = `at ${Math.round(rate)}/s`;
  return [
    createRow('gRPC transport at saturation', '1/s', grpc.full.perSecond, http.full.perSecond),
    createRow('gRPC transport processor time', 'ms', grpc.full.cpuMs, http.full.cpuMs),
    createRow('gRPC transport p99 at saturation', 'ms', grpc.full.p99Ms, http.full.p99Ms),
    createRow(`gRPC transport median ${at}`, 'ms', grpc.half.medianMs, http.half.medianMs),
    createRow(`gRPC transport p99 ${at}`, 'ms', grpc.half.p99Ms, http.half.p99Ms),
  ];
}

function createRow(
  name: string,
  unit: string,
  baseline: number,
  chosen: number,
  target: number | null = null,
  isMet = true,
): BenchRow {
  const ratio = baseline === 0 ? null : chosen / baseline;
  return { metric: `${name} (${unit})`, baseline, chosen, ratio, target, isMet };
}
