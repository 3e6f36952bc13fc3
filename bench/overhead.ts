import { NodeClock, NodeTimer } from '../src/base/node/nodeClock.ts';
import { SeededRandom } from '../src/base/common/seededRandom.ts';
import { routeSchema } from '../src/model/configuration.ts';
import { HttpStoreClient } from '../src/protocol/node/storeClient.ts';
import { StoreServer } from '../src/standins/storeServer.ts';
import { CONFIGURATION_KEY } from '../src/systems/configuration/configurationReadSystem.ts';
import type { LoadFigures } from './loadGenerator.ts';
import { LoadGenerator } from './loadGenerator.ts';
import type { ServerThread } from './overheadServers.ts';
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

/** Measures entry and agent against a bare forwarder and a direct call. Takes about 36 s. */
export async function runOverheadBench(seed: number): Promise<BenchReport> {
  const store = await openStore();
  const threads: ServerThread[] = [];
  const start = async (...role: Parameters<typeof startServer>): Promise<ServerThread> => {
    const thread = await startServer(...role);
    threads.push(thread);
    return thread;
  };
  const toOrigin = (thread: ServerThread): string => `http://${HOST}:${thread.port}`;
  const endpoint = await start({ overheadRole: 'endpoint' });
  const origin = toOrigin(endpoint);
  const forwarder = await start({ overheadRole: 'forwarder', origin });
  const entry = await start({ overheadRole: 'entry', storeOrigin: store.origin });
  await start({ overheadRole: 'agent', origin, entry: entry.linkAddress });
  const loads = [endpoint, forwarder, entry].map((thread) =>
    LoadGenerator.create(toOrigin(thread), CONNECTIONS),
  );
  try {
    const notes = [
      'entry and agent run on threads of their own; the baseline is named in the metric',
    ];
    return { name: 'overhead', seed, rows: await measureRows(seed, loads), notes };
  } finally {
    for (const load of loads) await load.dispose();
    for (const { worker } of threads) await worker.terminate();
    store.dispose();
  }
}

async function measureRows(seed: number, loads: readonly LoadGenerator[]): Promise<BenchRow[]> {
  const [direct, forwarder, entry] = loads;
  if (direct === undefined || forwarder === undefined || entry === undefined) return [];
  await waitReady(entry);
  const saturation: LoadFigures[] = [];
  for (const load of [direct, forwarder, entry]) {
    await load.measureSaturation(CONNECTIONS, WARM_UP_MS);
    saturation.push(await load.measureSaturation(CONNECTIONS, SATURATION_MS));
  }
  const [directFull, forwarderFull, entryFull] = saturation;
  if (directFull === undefined || forwarderFull === undefined || entryFull === undefined) return [];
  const rate = entryFull.perSecond / 2;
  const half: LoadFigures[] = [];
  for (const load of [direct, forwarder, entry])
    half.push(await load.measureRate(rate, RATE_MS, SeededRandom.create(seed)));
  const [directHalf, forwarderHalf, entryHalf] = half;
  if (directHalf === undefined || forwarderHalf === undefined || entryHalf === undefined) return [];
  return [
    createRow('direct call at saturation', '1/s', directFull.perSecond, entryFull.perSecond),
    createRow(
      'forwarder at saturation',
      '1/s',
      forwarderFull.perSecond,
      entryFull.perSecond,
      MIN_RATE_RATIO * forwarderFull.perSecond,
      entryFull.perSecond >= MIN_RATE_RATIO * forwarderFull.perSecond,
    ),
    createRow('forwarder processor time', 'ms', forwarderFull.cpuMs, entryFull.cpuMs),
    createRow('direct call processor time', 'ms', directFull.cpuMs, entryFull.cpuMs),
    createRow('forwarder p99 at saturation', 'ms', forwarderFull.p99Ms, entryFull.p99Ms),
    createRow(
      `direct call median at ${Math.round(rate)}/s`,
      'ms',
      directHalf.medianMs,
      entryHalf.medianMs,
      directHalf.medianMs + MAX_ADDED_MEDIAN_MS,
      entryHalf.medianMs - directHalf.medianMs <= MAX_ADDED_MEDIAN_MS,
    ),
    createRow(
      `direct call p99 at ${Math.round(rate)}/s`,
      'ms',
      directHalf.p99Ms,
      entryHalf.p99Ms,
      directHalf.p99Ms + MAX_ADDED_P99_MS,
      entryHalf.p99Ms - directHalf.p99Ms <= MAX_ADDED_P99_MS,
    ),
    createRow('forwarder median at that rate', 'ms', forwarderHalf.medianMs, entryHalf.medianMs),
    createRow('forwarder p99 at that rate', 'ms', forwarderHalf.p99Ms, entryHalf.p99Ms),
    createRow(
      'requests not answered with 200',
      '1',
      directFull.failed + directHalf.failed + forwarderFull.failed + forwarderHalf.failed,
      entryFull.failed + entryHalf.failed,
      0,
      entryFull.failed + entryHalf.failed === 0,
    ),
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
