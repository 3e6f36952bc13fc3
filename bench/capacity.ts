import { loadavg } from 'node:os';
import { EntryLoad } from './entryLoad.ts';
import type { EntryLoadFigures, EntryLoadOptions } from './entryLoad.ts';
import { measureEntryMemory } from './entryMemory.ts';
import { measureIdleAgent } from './idleAgent.ts';
import { runLedgerBench } from './ledger.ts';
import { runPlacementBench } from './placement.ts';
import type { BenchReport, BenchRow } from './report.ts';
import { createUpperBoundRow } from './report.ts';

const PEER_ENDPOINTS = [10, 100, 400, 933];
const AGENTS = [10, 100, 300];
const WORKERS = [10, 30, 100, 300];
const TASKS_PER_WORKER = 17;
const MEMORY_TASKS = [0, 10_000, 20_000, 30_600];
const MEASURED_SECONDS = 5;
const TARGET_MEMORY_MB = 64;
const TARGET_CPU_PERCENT = 3.1;
const TARGET_BYTES_PER_SECOND = 3 * 1_024;

/** Least-squares slope of figures over sizes. */
export function computeSlope(points: readonly (readonly [number, number])[]): number {
  const mean = (at: 0 | 1): number =>
    points.reduce((sum, point) => sum + point[at], 0) / points.length;
  const [meanX, meanY] = [mean(0), mean(1)];
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  return covariance / points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
}

/** Exponent with which a figure grows: the slope of its logarithm over that of the size. */
export function computeExponent(points: readonly (readonly [number, number])[]): number {
  return computeSlope(points.map(([x, y]) => [Math.log(x), Math.log(y)] as const));
}

type Point = readonly [number, EntryLoadFigures];

function measurePoints(
  seed: number,
  sizes: readonly number[],
  buildOptions: (size: number) => Partial<EntryLoadOptions>,
): Point[] {
  return sizes.map((size) => {
    const none = { seed, agents: 0, peerEndpoints: 0, workers: 0, tasksPerWorker: 0 };
    const load = EntryLoad.create({ ...none, ...buildOptions(size) });
    return [size, load.measure(MEASURED_SECONDS)] as const;
  });
}

function createRow(metric: string, value: number): BenchRow {
  return createUpperBoundRow(metric, value, null);
}

/** One row per size, then the slope per unit of size. */
function buildSeries(
  figure: string,
  unit: string,
  points: readonly (readonly [number, number])[],
): BenchRow[] {
  return [
    ...points.map(([size, value]) => createRow(`${figure}, ${size} ${unit}s`, value)),
    createRow(`${figure}, slope per ${unit}`, computeSlope(points)),
  ];
}

function listPoints(
  points: readonly Point[],
  get: (figures: EntryLoadFigures) => number,
): (readonly [number, number])[] {
  return points.map(([size, figures]) => [size, get(figures)] as const);
}

function buildEntryRows(seed: number): BenchRow[] {
  const peers = measurePoints(seed, PEER_ENDPOINTS, (peerEndpoints) => ({ peerEndpoints }));
  const agents = measurePoints(seed, AGENTS, (count) => ({ agents: count }));
  const idle = measurePoints(seed, [1], () => ({}))[0]?.[1];
  const percent = (figures: EntryLoadFigures): number => figures.processorPercent;
  return [
    createRow('entry processor % without load', idle?.processorPercent ?? Number.NaN),
    createRow('entry store reads/s', idle?.storeReads ?? Number.NaN),
    createRow('entry store writes/s', idle?.storeWrites ?? Number.NaN),
    ...buildSeries('entry processor %', 'endpoint', listPoints(peers, percent)),
    ...buildSeries('entry processor %', 'agent', listPoints(agents, percent)),
    ...buildSeries(
      'sync bytes/s received',
      'endpoint',
      listPoints(peers, ({ syncBytes }) => syncBytes),
    ),
    ...buildSeries(
      'sync bytes/s sent to one entry',
      'agent',
      listPoints(agents, ({ syncBytes }) => syncBytes),
    ),
    ...buildSeries(
      'exchange bytes/s',
      'agent',
      listPoints(agents, ({ exchangeBytes }) => exchangeBytes),
    ),
  ];
}

function buildOwnerRows(seed: number): BenchRow[] {
  const points = measurePoints(seed, WORKERS, (workers) => ({
    ...{ workers, agents: workers, tasksPerWorker: TASKS_PER_WORKER },
  }));
  const processor = listPoints(points, (figures) => figures.processorPercent);
  const last = points.at(-1)?.[1];
  const isLedger = (row: BenchRow): boolean => !row.metric.startsWith('largest');
  const isPlacement = (row: BenchRow): boolean => !row.metric.includes('share of');
  return [
    ...buildSeries('owner processor %', 'worker', processor),
    createRow('owner processor, exponent over workers', computeExponent(processor)),
    ...buildSeries(
      'owner exchange bytes/s',
      'worker',
      listPoints(points, ({ exchangeBytes }) => exchangeBytes),
    ),
    createRow('owner store reads/s without changes', last?.storeReads ?? Number.NaN),
    createRow('owner store writes/s without changes', last?.storeWrites ?? Number.NaN),
    ...[
      ...runLedgerBench(seed).rows.filter(isLedger),
      ...runPlacementBench(seed).rows.filter(isPlacement),
    ].map(({ metric, chosen }) => createRow(metric, chosen)),
  ];
}

async function buildMemoryRows(): Promise<BenchRow[]> {
  const rows: BenchRow[] = [];
  for (const [kind, sizes] of [
    ['tasks', MEMORY_TASKS],
    ['endpoints', PEER_ENDPOINTS],
  ] as const) {
    const points: (readonly [number, number])[] = [];
    for (const size of sizes) {
      const { heapMb, residentMb } = await measureEntryMemory(kind, size);
      points.push([size, heapMb]);
      if (size === 0) rows.push(createRow('entry resident MB, empty state', residentMb));
    }
    rows.push(...buildSeries('entry heap MB', kind.slice(0, -1), points));
  }
  return rows;
}

async function buildAgentRows(): Promise<BenchRow[]> {
  const rows: BenchRow[] = [];
  for (const [label, hasTask] of [
    ['one endpoint', false],
    ['one endpoint, one worker and one task', true],
  ] as const) {
    const agent = await measureIdleAgent([], hasTask);
    rows.push(
      createUpperBoundRow(`agent memory MB, ${label}`, agent.residentMb, TARGET_MEMORY_MB),
      createUpperBoundRow(`agent processor %, ${label}`, agent.cpuPercent, TARGET_CPU_PERCENT),
      createUpperBoundRow(`agent bytes/s, ${label}`, agent.bytesPerSecond, TARGET_BYTES_PER_SECOND),
    );
  }
  return rows;
}

function formatLoad(): string {
  return (loadavg()[0] ?? Number.NaN).toFixed(1);
}

/** What each role costs at growing sizes; the source of the capacity page. */
export async function runCapacityBench(seed: number): Promise<BenchReport> {
  const before = formatLoad();
  const agentRows = await buildAgentRows();
  const afterAgents = formatLoad();
  const rows = [...buildEntryRows(seed), ...buildOwnerRows(seed)];
  rows.push(...(await buildMemoryRows()), ...agentRows);
  return {
    name: 'capacity',
    seed,
    rows,
    notes: [
      `load average of the machine: ${before} before, ${afterAgents} after the agents, ${formatLoad()} after all; entry, owner and agent figures are processor time, those of the ledger and placement benches elapsed time, which includes waiting for a processor`,
      `entry and owner: all systems of an entry on a manual clock, ${MEASURED_SECONDS} s, one other entry; each message wakes the loop of its own; decoding of requests and encoding of answers included, gRPC and HTTP not`,
      `owner: ${TASKS_PER_WORKER} running tasks on each worker, one usage sample per task every 2 s, no starts; the ledger and placement rows are those of the benches of these names`,
      'memory: heap in use after a collection, in a process of its own; tasks with their run rows',
      'agents: own bundle as a process, 20 s over loopback sockets; bytes are TCP payload of both directions between agent and entries',
    ],
  };
}
