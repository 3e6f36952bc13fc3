import { createPlacementSystems } from '../src/systems/entrySystems.ts';
import type { EvacuationPolicy } from '../src/systems/evacuation/evacuationPolicy.ts';
import { OrderedMove, PlainRestart } from '../src/systems/evacuation/evacuationPolicy.ts';
import { InterferenceAwarePlacement } from '../src/systems/placement/placementPolicy.ts';
import { listSitePools, listSiteWorkers, SITES } from './interference.ts';
import type { BenchReport } from './report.ts';
import { createBenchRow } from './report.ts';
import { WorkerModel } from './workerModel.ts';

const WARM_UP_MS = 180_000;
const OUT_MS = 600_000;
const STEP_MS = 200;
const ADVANCE_MS = 1_000;
const JOB_SECONDS = 400;
const SHARE_OF_CORES = 1.3;

/** Work done from zone out to zone in, as a share of what the remaining capacity allows. */
export function runZoneChangeBench(seed: number): BenchReport {
  const notes: string[] = [
    'baseline: plain restart; both place with the interference-aware policy',
    'possible work: cores of the other zones that services do not take there at the time, and ' +
      'cores of batch tasks that still wait in the leaving zone for their stop',
  ];
  const rows = SITES.flatMap((site) => {
    const baseline = measureChange(seed, site, PlainRestart.create());
    const chosen = measureChange(seed, site, OrderedMove.create());
    notes.push(
      `${site.name}: lost core-seconds ${baseline.lost.toFixed(0)} and ${chosen.lost.toFixed(0)}; ` +
        `replicas at least ${baseline.fewestReplicas} and ${chosen.fewestReplicas} of 10; ` +
        `evictions after zone in ${baseline.evictionsAfter} and ${chosen.evictionsAfter}`,
    );
    return [
      createBenchRow(
        `${site.name}: share of possible work`,
        ...([baseline.share, chosen.share] as const),
        ...(['>= 0.95', chosen.share >= 0.95] as const),
      ),
      createBenchRow(
        `${site.name}: value of jobs finished in time`,
        ...([baseline.value, chosen.value] as const),
        ...(['ratio >= 1', chosen.value >= baseline.value] as const),
      ),
    ];
  });
  return { name: 'zoneChange', seed, rows, notes };
}

interface ChangeFigures {
  readonly share: number;
  readonly lost: number;
  readonly value: number;
  readonly fewestReplicas: number;
  readonly evictionsAfter: number;
}

function measureChange(
  seed: number,
  site: (typeof SITES)[number],
  policy: EvacuationPolicy,
): ChangeFigures {
  const model = WorkerModel.create({
    ...{ seed, stepMs: STEP_MS, advanceMs: ADVANCE_MS },
    systems: createPlacementSystems(InterferenceAwarePlacement.create(), policy),
    ...{ pools: listSitePools(site), workers: listSiteWorkers(site) },
    // Without interference a task does one core-second of work per core and second.
    computeEffect: () => 0,
    checkpointMs: 1_000,
    hasStopCheckpoint: policy.replacesReplicasFirst,
    periodicCheckpointMs: 60_000,
  });
  const jobs = submitJobs(model, site);
  model.runFor(WARM_UP_MS);
  const [zone] = site.zones;
  const outMs = model.clock.now;
  const before = model.doneCores - model.lostCores;
  model.setZonesOut([zone ?? '']);
  let fewestReplicas = Number.POSITIVE_INFINITY;
  let possible = 0;
  model.runFor(OUT_MS, () => {
    // Work advances in the step after this one; a task that works then is assigned already.
    if ((model.clock.now + STEP_MS) % ADVANCE_MS === 0)
      possible += (computePossibleCores(model, site, zone ?? '') * ADVANCE_MS) / 1_000;
    fewestReplicas = Math.min(fewestReplicas, countReplicas(model));
  });
  const done = model.doneCores - model.lostCores - before;
  const value = jobs
    .filter((job) => model.state.tasks.get(job.id)?.phase === 'finished')
    .filter((job) => (model.finishedMs.get(job.id) ?? Infinity) - outMs <= job.deadlineMs)
    .reduce((sum, job) => sum + job.value, 0);
  const evictions = model.state.counters.get('evictions');
  model.setZonesOut([]);
  model.runFor(120_000);
  const evictionsAfter = model.state.counters.get('evictions') - evictions;
  return {
    ...{ share: done / possible, lost: model.lostCores, value, fewestReplicas, evictionsAfter },
  };
}

/**
 * Cores on which batch work can advance now, an upper bound of what it does: the cores of the other
 * zones less those of services there, and the cores of batch tasks not yet stopped in the leaving zone.
 */
function computePossibleCores(
  model: WorkerModel,
  site: (typeof SITES)[number],
  leaving: string,
): number {
  const left = listSiteWorkers(site).filter((worker) => worker.zone !== leaving).length;
  let cores = left * site.cores;
  for (const task of model.state.tasks.values()) {
    if (task.phase !== 'assigned') continue;
    if (task.service !== undefined && task.zone !== leaving) cores -= task.demand.cores;
    if (task.service === undefined && task.zone === leaving) cores += task.demand.cores;
  }
  return cores;
}

interface Job {
  readonly id: string;
  readonly value: number;
  /** Counted from zone out. */
  readonly deadlineMs: number;
}

/** More work than the site can run at once, so that the remaining capacity is always wanted. */
function submitJobs(model: WorkerModel, site: (typeof SITES)[number]): Job[] {
  const jobs: Job[] = [];
  let coreSeconds = SHARE_OF_CORES * site.cores * 10 * ((WARM_UP_MS + OUT_MS) / 1_000);
  for (let index = 0; coreSeconds > 0; index += 1) {
    const cores = model.random.takeInt(1, 3);
    const value = model.random.takeInt(1, 10);
    const length = model.random.takeInt(JOB_SECONDS / 2, JOB_SECONDS * 1.5);
    const deadlineSeconds = model.random.takeInt(200, 800);
    const demand = { cores, memoryMb: 500, accelerators: 0 };
    const job = { id: `job-${index}`, value, deadlineMs: deadlineSeconds * 1_000 };
    model.submit({ id: job.id, pool: 'batch', value, demand, deadlineSeconds }, length);
    jobs.push(job);
    coreSeconds -= cores * length;
  }
  return jobs;
}

function countReplicas(model: WorkerModel): number {
  let running = 0;
  for (const run of model.state.runs.values()) {
    const task = model.state.tasks.get(run.taskId);
    if (task?.service !== undefined && run.phase === 'running') running += 1;
  }
  return running;
}
