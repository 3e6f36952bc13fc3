import type { System } from '../src/base/common/system.ts';
import type { PoolConfig } from '../src/model/configuration.ts';
import type { EntryState } from '../src/model/entryState.ts';
import { createPlacementSystems } from '../src/systems/entrySystems.ts';
import { OrderedMove } from '../src/systems/evacuation/evacuationPolicy.ts';
import { LargestTaskEvictionSystem } from '../src/systems/interference/largestTaskEvictionSystem.ts';
import {
  FirstFitPlacement,
  InterferenceAwarePlacement,
} from '../src/systems/placement/placementPolicy.ts';
import type { BenchReport, BenchRow } from './report.ts';
import { createBenchRow } from './report.ts';
import { computeQuantile } from './quantile.ts';
import { SHARD, WorkerModel } from './workerModel.ts';

interface Site {
  readonly name: string;
  readonly zones: readonly string[];
  readonly cores: number;
  readonly memoryMb: number;
  readonly serviceCores: number;
}

export const SITES: readonly Site[] = [
  {
    name: 'Hanbit',
    zones: ['busan-a', 'ulsan-b', 'daegu-c', 'changwon-d'],
    ...{ cores: 60, memoryMb: 250_000, serviceCores: 6 },
  },
  {
    name: 'Thanh Son',
    zones: ['hn-a', 'hn-b', 'hp-a'],
    ...{ cores: 30, memoryMb: 125_000, serviceCores: 3 },
  },
];
/** Offered batch work as a share of all cores, inside and outside waves. */
const LOADS = [
  { name: 'half load', inWave: 0.6, between: 0.35 },
  { name: 'full load', inWave: 1.1, between: 0.8 },
];
type Load = (typeof LOADS)[number];
const WORKERS = 10;
const REPLICAS = 10;
const WARM_UP_MS = 300_000;
const MEASURED_MS = 900_000;
const WAVE_MS = 120_000;
const SHIFT_MS = WARM_UP_MS + MEASURED_MS / 2;
const START_MS = 1_000_000;

/** Service latency under waves of noisy tasks, compared with first fit and largest-task eviction. */
export function runInterferenceBench(seed: number): BenchReport {
  const notes: string[] = [
    'baseline: first fit; evicts the largest batch task beside a slow service',
    'latency is in units of the mean service time of a replica that runs alone',
  ];
  const rows = SITES.flatMap((site) =>
    LOADS.flatMap((load) => {
      const baseline = measureSite(seed, site, load, false);
      const chosen = measureSite(seed, site, load, true);
      const { throttles, finished } = chosen;
      const label = `${site.name}, ${load.name}`;
      notes.push(`${label}: ${throttles} throttles, ${finished} batch tasks finished`);
      return listRows(label, baseline, chosen);
    }),
  );
  return { name: 'interference', seed, rows, notes };
}

function listRows(site: string, baseline: SiteFigures, chosen: SiteFigures): BenchRow[] {
  const buildHalfRow = (metric: string, a: number, b: number): BenchRow =>
    createBenchRow(`${site}: ${metric}`, a, b, 'ratio <= 0.5', b <= a / 2);
  return [
    buildHalfRow('service p99', baseline.p99, chosen.p99),
    buildHalfRow('service p99.9', baseline.p999, chosen.p999),
    createBenchRow(
      `${site}: batch core-seconds done`,
      ...([baseline.work, chosen.work] as const),
      ...(['ratio >= 0.95', chosen.work >= 0.95 * baseline.work] as const),
    ),
    createBenchRow(
      `${site}: evictions`,
      ...([baseline.evictions, chosen.evictions] as const),
      ...(['ratio < 1', chosen.evictions < baseline.evictions] as const),
    ),
  ];
}

interface SiteFigures {
  readonly p99: number;
  readonly p999: number;
  readonly work: number;
  readonly evictions: number;
  readonly throttles: number;
  readonly finished: number;
}

function measureSite(seed: number, site: Site, load: Load, isAware: boolean): SiteFigures {
  const model = createSiteModel(seed, site, listSystems(isAware));
  const waves = createWaves(model, site, load);
  model.runFor(WARM_UP_MS, waves);
  model.latencies.length = 0;
  const doneBefore = model.doneCores - model.lostCores;
  const { counters } = model.state;
  const evictionsBefore = counters.get('evictions');
  model.runFor(MEASURED_MS, waves);
  return {
    p99: computeQuantile(model.latencies, 0.99),
    p999: computeQuantile(model.latencies, 0.999),
    work: model.doneCores - model.lostCores - doneBefore,
    evictions: counters.get('evictions') - evictionsBefore,
    throttles: counters.get('interference_throttles'),
    finished: model.finished,
  };
}

function listSystems(isAware: boolean): System<EntryState>[] {
  const move = OrderedMove.create();
  if (isAware) return createPlacementSystems(InterferenceAwarePlacement.create(), move);
  return createPlacementSystems(FirstFitPlacement.create(), move).map((system) =>
    system.name === 'steering' ? LargestTaskEvictionSystem.create() : system,
  );
}

function createSiteModel(seed: number, site: Site, systems: System<EntryState>[]): WorkerModel {
  return WorkerModel.create({
    ...{ seed, stepMs: 200, advanceMs: 1_000, systems },
    pools: listSitePools(site),
    workers: listSiteWorkers(site),
    computeEffect: (victim, aggressor, nowMs) =>
      computeTrueEffect(victim, aggressor, nowMs - START_MS > SHIFT_MS),
    ...{ checkpointMs: 2_000, hasStopCheckpoint: true, periodicCheckpointMs: 60_000 },
  });
}

export function listSiteWorkers(
  site: Site,
): { id: string; zone: string; rack: string; cores: number; memoryMb: number }[] {
  return Array.from({ length: WORKERS }, (_, index) => ({
    ...{ id: `w${index}`, zone: site.zones[index % site.zones.length] ?? '' },
    ...{ rack: `r${Math.floor(index / 3)}`, cores: site.cores, memoryMb: site.memoryMb },
  }));
}

export function listSitePools(site: Site): PoolConfig[] {
  const shared = { region: SHARD, zones: [...site.zones], quotas: [], maxWorkerShare: 1 };
  const demand = { cores: site.serviceCores, memoryMb: 2_000, accelerators: 0 };
  return [
    {
      ...{ ...shared, name: 'services', workClass: 'latency-critical', spread: 'zone' },
      services: [{ name: 'kit', replicas: REPLICAS, demand, taskKind: 'kit', command: [] }],
    },
    { ...shared, name: 'batch', workClass: 'batch', spread: 'none', services: [] },
  ];
}

/** The model's true numbers. Half-way the roles of two noisy kinds change over. */
function computeTrueEffect(victim: string, aggressor: string, hasShifted: boolean): number {
  const noisy = hasShifted ? 'noisy-b' : 'noisy-a';
  const mild = hasShifted ? 'noisy-a' : 'noisy-b';
  if (victim === 'kit') {
    if (aggressor === noisy) return 2.5;
    if (aggressor === mild) return 0.9;
    return aggressor === 'kit' ? 0.15 : 0.25;
  }
  if (aggressor === noisy) return 0.5;
  return 0.2;
}

/** A steady stream of quiet batch tasks, and waves of noisy ones for half of each period. */
function createWaves(model: WorkerModel, site: Site, load: Load): () => void {
  let nextId = 0;
  let owed = 0;
  const totalCores = site.cores * WORKERS;
  const submit = (taskKind: string): number => {
    const cores = model.random.takeInt(1, Math.max(2, site.cores / 10));
    const seconds = model.random.takeInt(20, 80);
    const demand = { cores, memoryMb: cores * 500, accelerators: 0 };
    model.submit({ id: `job-${nextId}`, pool: 'batch', taskKind, demand }, seconds);
    nextId += 1;
    return cores * seconds;
  };
  return () => {
    const isWave = (model.clock.now - START_MS) % WAVE_MS < WAVE_MS / 2;
    owed += totalCores * (isWave ? load.inWave : load.between) * 0.2;
    while (owed > 0) {
      const draw = model.random.takeUnit();
      const isNoisy = isWave && draw < 0.5;
      owed -= submit(isNoisy ? (draw < 0.3 ? 'noisy-a' : 'noisy-b') : 'quiet');
    }
  };
}
