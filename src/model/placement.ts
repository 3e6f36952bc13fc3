import type { TableIndex } from '../base/common/table.ts';
import { Table } from '../base/common/table.ts';
import type { Resources } from './resources.ts';
import type { RunRow } from './run.ts';
import type { TaskRow, WorkClass } from './task.ts';
import type { WorkerRow } from './worker.ts';

/** An incarnation that is not proven stopped and therefore takes room on its worker. */
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
  /** Whether the ledger or a pending change names this incarnation; others are leftovers. */
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
  /** The claims that are summed; a list in the row is faster to score than an index look-up. */
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
  /** Sorted by sequence; changed in place because a copy per submission is too slow. */
  readonly entries: { readonly id: string; readonly sequence: number }[];
  /** Position at which the next turn goes on after it ran out of budget. */
  cursor: number;
}

/** Room that is kept for a task while the victims of its preemption stop. */
export interface ReservationRow {
  /** Task id. */
  readonly id: string;
  readonly workerId: string;
  readonly demand: Resources;
  readonly untilMs: number;
}

/** Start history of a worker. */
export interface WorkerHealthRow {
  /** Worker id. */
  readonly id: string;
  /** Tasks whose first failed start was here, since the last start that succeeded. */
  readonly failedTasks: readonly string[];
  readonly lastFailureMs: number;
  readonly backoffMs: number;
  readonly quarantinedUntilMs: number;
  /** After a quarantine one task at a time is tried. */
  readonly isOnProbation: boolean;
  readonly probationTaskId: string | undefined;
}

/** What a pool may use of its largest worker, by cores. */
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

/** Usage of one task kind of one team, learned from samples and finished runs. */
export interface KindUsageRow {
  /** `team/kind`. */
  readonly id: string;
  /** Faded peak of use divided by declared size; tasks of one kind may declare different sizes. */
  readonly coreRatio: number;
  readonly memoryRatio: number;
  readonly sampleCount: number;
  /** Smoothed ratio of real to declared run time. */
  readonly runTimeRatio: number;
}

/** Factors by which the size in a task's row was raised above the declared one. */
export interface SizeFactorRow {
  /** Task id. */
  readonly id: string;
  readonly cores: number;
  readonly memory: number;
}

/** A stay of a task on a worker; samples are matched to the stays at their time. */
export interface OccupancyRow {
  /** Run id. */
  readonly id: string;
  readonly workerId: string;
  readonly taskId: string;
  readonly taskKind: string;
  readonly fromMs: number;
  /** Infinity while it stays. */
  readonly toMs: number;
  /** Cores in relation to the worker's cores. */
  readonly relativeCores: number;
  /** Changes of the throttle share, oldest first. */
  readonly throttleChanges: readonly { readonly fromMs: number; readonly share: number }[];
}

/** Estimated slowdown that one kind causes another at a load level of the worker. */
export interface PairEstimateRow {
  /** `victim/aggressor/level`. */
  readonly id: string;
  /** Slowdown per unit of the aggressor's size relative to the worker. */
  readonly effect: number;
  /** Evidence; fades with time so that new samples count more. */
  readonly weight: number;
  readonly updatedMs: number;
  /** Smoothed signed error of the prediction; a large value shows that the load has shifted. */
  readonly drift: number;
}

/** How a protected task fares and what was done for it. */
export interface MitigationRow {
  /** Task id of the protected task. */
  readonly id: string;
  readonly slowdown: number;
  readonly sampleCount: number;
  readonly isActive: boolean;
  /** Time of the last measure or of the last change between active and inactive. */
  readonly changedMs: number;
}

/** A zone that operators took out of service while tasks ran there. */
export interface EvacuationRow {
  /** Zone. */
  readonly id: string;
  readonly sinceMs: number;
  /** Tasks in the zone at the start; bounds how many are checkpointed at a time. */
  readonly initialTaskCount: number;
}

/** Changes that the placement systems have not seen yet, and indexes over other systems' tables. */
export interface PlacementInputs {
  readonly changedTasks: Set<string>;
  readonly changedPending: Set<string>;
  /** Tasks whose claims only shrink and wait for the budget of a later turn. */
  readonly deferredTasks: Set<string>;
  readonly changedRuns: Set<string>;
  readonly changedWorkers: Set<string>;
  /** Runs that failed, and runs on workers with failed starts, for the worker health system. */
  readonly runsToEvaluate: Set<string>;
  readonly runsByTask: TableIndex<RunRow>;
  readonly workersByZone: TableIndex<WorkerRow>;
  readonly workersByRack: TableIndex<WorkerRow>;
  readonly assignedByZone: TableIndex<TaskRow>;
  readonly openByService: TableIndex<TaskRow>;
}

/** Tables of placement, interference and evacuation. They are derived and rebuilt after a takeover. */
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
  /** Claims that appeared or went since the resident history was updated. */
  readonly changedClaims: Set<string>;
  /** Greatest sequence of a task seen. */
  lastSequence: number;
  nextReplicaNumber: number;
  /** Time at which tasks that found no room are looked at again. */
  retryAtMs: number;
  replicaCheckAtMs: number;
  nextMitigationMs: number;
  /** Protected tasks that this round of steering has still to look at. */
  mitigationQueue: string[];
  /** Tasks whose claims may still be freed in this turn. */
  releaseBudget: number;
}

const COARSE_STEP_CORES = 8;
const FINE_LIMIT_CORES = 16;

/** Bucket of free cores: one core wide below 16 cores, 8 cores wide above. */
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
