import type { TableIndex } from '../base/common/table.ts';
import { Table } from '../base/common/table.ts';
import type { Resources } from './resources.ts';
import type { RunRow } from './run.ts';
import type { TaskRow, WorkClass } from './task.ts';
import type { WorkerRow } from './worker.ts';

/**
 * An incarnation that is not proven to have stopped and therefore occupies capacity on its worker.
 */
export interface ClaimRow {
  /** Task id and incarnation, `task#3`. */
  readonly id: string;
  readonly taskId: string;
  readonly workerId: string;
  readonly pool: string;
  readonly team: string;
  readonly service: string | undefined;
  readonly taskKind: string;
  readonly workClass: WorkClass;
  readonly demand: Resources;
  /** Whether the ledger or a pending change names this incarnation; otherwise it is superseded. */
  readonly isCurrent: boolean;
  readonly isStopping: boolean;
}

/** Committed demand of one worker: the sum of its claims. */
export interface CommitmentRow {
  /** Worker id. */
  readonly id: string;
  readonly zone: string;
  readonly demand: Resources;
  /** Cores by pool. */
  readonly poolCores: ReadonlyMap<string, number>;
  readonly freeCores: number;
  /** The claims in the sum; scoring a list in the row is faster than an index look-up. */
  readonly claims: readonly ClaimRow[];
}

/** Resources that a team uses in a pool. */
export interface QuotaUseRow {
  /** Pool and team, `pool/team`. */
  readonly id: string;
  readonly used: Resources;
}

/** Queued tasks of one class, pool and team, oldest first. */
export interface QueueRow {
  /** `class/pool/team`. */
  readonly id: string;
  readonly workClass: WorkClass;
  readonly pool: string;
  readonly team: string;
  /** Sorted by sequence. Updated in place because a copy per submission is too slow. */
  readonly entries: { readonly id: string; readonly sequence: number }[];
  /** Position at which the next pass resumes after the previous one exhausted its budget. */
  cursor: number;
}

/** Capacity reserved for a task while the victims of its preemption stop. */
export interface ReservationRow {
  /** Task id. */
  readonly id: string;
  readonly workerId: string;
  readonly demand: Resources;
  readonly untilMs: number;
}

/** Failed starts and quarantine of a worker. */
export interface WorkerHealthRow {
  /** Worker id. */
  readonly id: string;
  /** Tasks whose first failed start was on this worker, since its last successful start. */
  readonly failedTasks: readonly string[];
  readonly lastFailureMs: number;
  readonly backoffMs: number;
  readonly quarantinedUntilMs: number;
  /** Set from the first quarantine until a start succeeds; only one task at a time is started. */
  readonly isOnProbation: boolean;
  readonly probationTaskId: string | undefined;
}

/** Capacity that a pool may use of its worker with the most cores. */
export interface LargestWorkerRow {
  /** Pool. */
  readonly id: string;
  readonly capacity: Resources;
  readonly computedAtMs: number;
}

/** Times of the last two starts on a worker. */
export interface StartPaceRow {
  readonly id: string;
  readonly lastMs: number;
  readonly previousMs: number;
}

/** Usage of one task kind of one team, estimated from samples and finished runs. */
export interface KindUsageRow {
  /** `team/kind`. */
  readonly id: string;
  /**
   * Decayed peak of usage divided by the declared size. It is a ratio because tasks of one kind may
   * declare different sizes.
   */
  readonly coreRatio: number;
  readonly memoryRatio: number;
  readonly sampleCount: number;
  /** Smoothed ratio of actual to declared run time. */
  readonly runTimeRatio: number;
}

/** Factors by which the demand in a task's row exceeds the declared demand. */
export interface SizeFactorRow {
  /** Task id. */
  readonly id: string;
  readonly cores: number;
  readonly memory: number;
}

/**
 * Time span of a run on a worker. A late sample is matched to the runs present when it was taken.
 */
export interface OccupancyRow {
  /** Run id. */
  readonly id: string;
  readonly workerId: string;
  readonly taskId: string;
  readonly taskKind: string;
  readonly fromMs: number;
  /** Infinity while the run is on the worker. */
  readonly toMs: number;
  /** Cores of the run divided by the cores of the worker. */
  readonly relativeCores: number;
  /** Throttle shares with the time of each change, oldest first. */
  readonly throttleChanges: readonly { readonly fromMs: number; readonly share: number }[];
}

/** Estimated slowdown that one task kind causes another at a load level of the worker. */
export interface PairEstimateRow {
  /** `victim/aggressor/level`. */
  readonly id: string;
  /** Slowdown per unit of the aggressor's pressure, its cores divided by the worker's cores. */
  readonly effect: number;
  /** Amount of evidence. It decays over time so that new samples count more. */
  readonly weight: number;
  readonly updatedMs: number;
  /** Smoothed signed prediction error; a large value shows that the load has shifted. */
  readonly drift: number;
}

/** Slowdown of a protected task and the state of its interference mitigation. */
export interface MitigationRow {
  /** Task id of the protected task. */
  readonly id: string;
  readonly slowdown: number;
  readonly sampleCount: number;
  readonly isActive: boolean;
  /** Time of the last mitigation step or of the last change of `isActive`. */
  readonly changedMs: number;
}

/** A zone that operators took out of service while tasks were assigned there. */
export interface EvacuationRow {
  /** Zone. */
  readonly id: string;
  readonly sinceMs: number;
  /** Tasks in the zone when the evacuation began; bounds how many are checkpointed at a time. */
  readonly initialTaskCount: number;
}

/**
 * Changes that the placement systems have not processed yet, and indexes over other systems'
 * tables.
 */
export interface PlacementInputs {
  readonly changedTasks: Set<string>;
  readonly changedPendingTasks: Set<string>;
  /** Tasks whose claims only shrink; their update is deferred to the budget of a later tick. */
  readonly deferredTasks: Set<string>;
  readonly changedRuns: Set<string>;
  readonly changedWorkers: Set<string>;
  /** Failed runs, and runs on workers with failed starts, for the worker health system. */
  readonly runsToEvaluate: Set<string>;
  readonly runsByTask: TableIndex<RunRow>;
  readonly workersByZone: TableIndex<WorkerRow>;
  readonly workersByRack: TableIndex<WorkerRow>;
  readonly assignedByZone: TableIndex<TaskRow>;
  readonly openByService: TableIndex<TaskRow>;
}

/** Derived tables of placement, interference and evacuation. A new owner rebuilds them. */
export interface PlacementState {
  inputs: PlacementInputs | undefined;
  readonly claims: Table<ClaimRow>;
  readonly claimsByWorker: TableIndex<ClaimRow>;
  readonly claimsByTask: TableIndex<ClaimRow>;
  readonly claimsByService: TableIndex<ClaimRow>;
  readonly commitments: Table<CommitmentRow>;
  readonly commitmentsByFreeCores: TableIndex<CommitmentRow>;
  readonly quotaUse: Table<QuotaUseRow>;
  readonly queues: Table<QueueRow>;
  readonly reservations: Table<ReservationRow>;
  readonly reservationsByWorker: TableIndex<ReservationRow>;
  readonly health: Table<WorkerHealthRow>;
  readonly startPaces: Table<StartPaceRow>;
  readonly largestWorkers: Table<LargestWorkerRow>;
  readonly kindUsage: Table<KindUsageRow>;
  readonly sizeFactors: Table<SizeFactorRow>;
  readonly occupancies: Table<OccupancyRow>;
  readonly occupanciesByWorker: TableIndex<OccupancyRow>;
  readonly pairEstimates: Table<PairEstimateRow>;
  readonly mitigations: Table<MitigationRow>;
  readonly evacuations: Table<EvacuationRow>;
  /** Claims that were added or removed since the last update of `occupancies`. */
  readonly changedClaims: Set<string>;
  /** Highest task sequence so far. */
  lastSequence: number;
  nextReplicaNumber: number;
  /** Time of the next scheduling pass over tasks that found no capacity. */
  retryAtMs: number;
  replicaCheckAtMs: number;
  nextMitigationMs: number;
  /** Protected tasks that the current round of interference mitigation has not checked yet. */
  mitigationQueue: string[];
  /** Number of tasks whose claims may still be released in this tick. */
  releaseBudget: number;
}

const COARSE_STEP_CORES = 8;
const FINE_LIMIT_CORES = 16;

/** Returns the bucket of free cores: 1 core wide below 16 cores, 8 cores wide above. */
export function computeFreeCoresBucket(freeCores: number): number {
  if (freeCores < FINE_LIMIT_CORES) return Math.floor(freeCores);
  return FINE_LIMIT_CORES + Math.floor((freeCores - FINE_LIMIT_CORES) / COARSE_STEP_CORES);
}

export function createPlacementState(): PlacementState {
  const claims = Table.create<ClaimRow>('claims');
  const commitments = Table.create<CommitmentRow>('commitments');
  const reservations = Table.create<ReservationRow>('reservations');
  const occupancies = Table.create<OccupancyRow>('residents');
  return {
    inputs: undefined,
    claims,
    claimsByWorker: claims.addIndex((row) => row.workerId),
    claimsByTask: claims.addIndex((row) => row.taskId),
    claimsByService: claims.addIndex((row) =>
      row.service === undefined ? undefined : `${row.pool}/${row.service}`,
    ),
    commitments,
    commitmentsByFreeCores: commitments.addIndex(
      (row) => `${row.zone}|${computeFreeCoresBucket(row.freeCores)}`,
    ),
    quotaUse: Table.create('quotaUse'),
    queues: Table.create('queues'),
    reservations,
    reservationsByWorker: reservations.addIndex((row) => row.workerId),
    health: Table.create('workerHealth'),
    startPaces: Table.create('startPaces'),
    largestWorkers: Table.create('largestWorkers'),
    kindUsage: Table.create('kindUsage'),
    sizeFactors: Table.create('sizeFactors'),
    occupancies,
    occupanciesByWorker: occupancies.addIndex((row) => row.workerId),
    pairEstimates: Table.create('pairEstimates'),
    mitigations: Table.create('steering'),
    evacuations: Table.create('evacuations'),
    changedClaims: claims.addChangeSet(),
    lastSequence: 0,
    nextReplicaNumber: 1,
    retryAtMs: 0,
    replicaCheckAtMs: 0,
    nextMitigationMs: 0,
    mitigationQueue: [],
    releaseBudget: 0,
  };
}
