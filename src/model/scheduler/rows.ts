import type { JobPhase, SubmittedJob } from './jobRecord.ts';
import type { StepSpec } from './jobSpec.ts';
import type { EndedRun, WorkerIdentity } from './linkMessages.ts';
import type { QueueTerms } from './queueConfiguration.ts';

/** A job in the owner's memory. */
export interface JobRow {
  readonly id: string;
  readonly job: SubmittedJob;
  /**
   * Parameters of the queue in the last configuration with it; undefined for a job of an earlier
   * build whose queue was removed before.
   */
  readonly terms: QueueTerms | undefined;
  readonly phase: JobPhase;
  readonly isCancelRequested: boolean;
  /** Number of the latest change; a change is valid once {@link storedChange} has reached it. */
  readonly change: number;
  readonly storedChange: number;
  /** Version of the stored progress; 0 when none is stored. */
  readonly storeVersion: number;
  /** Change that set the phase. */
  readonly phaseChange: number;
  /** Stored phase, which callers may see. */
  readonly visiblePhase: JobPhase;
  /** Number of occurrences whose tasks have been added. */
  readonly addedOccurrences: number;
  /** Number of tasks that are not done. */
  readonly openTaskCount: number;
  /** Time of acceptance on the owner's monotonic clock, ms. */
  readonly acceptedAt: number;
  readonly endedAtWallMs: number | undefined;
}

/** A task of a job in the owner's memory. */
export interface TaskRow {
  /** `JOB.K.STEP.INDEX`. */
  readonly id: string;
  readonly jobId: string;
  readonly occurrence: number;
  readonly stepIndex: number;
  readonly step: StepSpec;
  /** `waiting` for earlier steps, `ready` to be placed, `active` with an open run, or `done`. */
  readonly phase: 'waiting' | 'ready' | 'active' | 'done';
  readonly lastRun: number;
  /** Failed runs that count against the attempts; those of a gang are on its first member. */
  readonly failures: number;
  /** Latest failed run of the gang, on its first member; 0 without one. */
  readonly lastFailedRun: number;
  readonly checkpoint: string;
  /** Time since which the task has been ready, owner's clock ms. */
  readonly readyAt: number;
  /** Ids of the latest few workers on which a run of the task failed or stalled. */
  readonly avoidedWorkerIds: readonly string[];
}

/** Phase of a run between its placement and the report of its end. */
export type RunPhase = 'placed' | 'starting' | 'running' | 'stopping' | 'unknown';

/** A run that holds capacity of a worker. */
export interface RunRow {
  /** `TASK#RUN`. */
  readonly id: string;
  readonly taskId: string;
  readonly jobId: string;
  readonly run: number;
  /** Incarnation of the worker, the id of its {@link WorkerRow}. */
  readonly workerKey: string;
  readonly phase: RunPhase;
  /** Change of the job that must be stored before the run may start. */
  readonly placedChange: number;
  readonly step: StepSpec;
  readonly checkpoint: string;
  readonly percent: number;
  readonly load: number;
  readonly pacePercent: number;
  /** Whether this owner has set the pace; workers do not report it. */
  readonly isPaceKnown: boolean;
  /** When the pace last changed or the run was placed, owner's clock ms. */
  readonly paceChangedAt: number;
  /** When a pace command was last sent or the run was placed, owner's clock ms. */
  readonly paceSentAt: number;
  readonly placedAt: number;
  /** When the percentage last increased, owner's clock ms. */
  readonly progressAt: number;
  /** Number of start commands that were sent. */
  readonly startAttempts: number;
  /** Time since which a serving task has been over its latency target, owner's clock ms; undefined under it. */
  readonly overTargetSince: number | undefined;
  /** Time since which complete lists of the worker lack a run that they contained before, owner's clock ms. */
  readonly unlistedSince: number | undefined;
  /**
   * Time until which the worker may hold a lease that is longer than those of the owner, owner's clock
   * ms; in the past without one.
   */
  readonly longLeaseEndsAt: number;
  /** Reason of a requested stop; undefined without one. */
  readonly stopReason: string | undefined;
}

/** Whether a start or stop command of the run may have to be sent or repeated. */
export function hasPendingCommand({ phase, stopReason }: RunRow): boolean {
  return phase === 'placed' || phase === 'starting' || stopReason !== undefined;
}

/** Whether the stored record of the run names a lease that is longer than those of the owner. */
export function hasLongLease({ longLeaseEndsAt }: RunRow): boolean {
  return longLeaseEndsAt > Number.NEGATIVE_INFINITY;
}

/** Whether an earlier owner may have changed the pace of the run. */
export function isPaceUnknown({ step, phase, isPaceKnown }: RunRow): boolean {
  return step.fills && phase === 'running' && !isPaceKnown;
}

/** An end, by its number, that may be acknowledged to the worker once the job's change is stored. */
export interface PendingAcknowledgement {
  readonly number: number;
  readonly jobId: string;
  readonly change: number;
}

/** Failures of a worker, and the time for which it gets no runs because of them. */
export interface WorkerBackoff {
  /** Consecutive failed runs, rejected starts and stalled runs. */
  readonly failures: number;
  /** Time of the latest of them, owner's clock ms. */
  readonly failedAt: number;
  /** Time until which the worker gets only probation runs, owner's clock ms. */
  readonly until: number;
  /** Id of the latest probation run; empty without one. */
  readonly probationRunId: string;
  /** When the probation run was placed, owner's clock ms. */
  readonly probationAt: number;
}

/** Backoff of a worker without failures. */
export const NO_BACKOFF: WorkerBackoff = {
  failures: 0,
  failedAt: Number.NEGATIVE_INFINITY,
  until: Number.NEGATIVE_INFINITY,
  probationRunId: '',
  probationAt: Number.NEGATIVE_INFINITY,
};

/** One incarnation of a worker in the owner's memory. */
export interface WorkerRow {
  /** `AGENT|WORKER|BORN`. */
  readonly id: string;
  readonly agentId: string;
  readonly identity: WorkerIdentity;
  /**
   * Time until which a run on the worker may hold its lease, owner's clock ms; valid once the worker
   * has received the owner's fence, before that {@link AgentRow.earlierLeasesEndAt} is.
   */
  readonly leaseEndsAt: number;
  readonly lastReportAt: number;
  /** Worker's clock in the latest report, ms. */
  readonly clockMs: number;
  /** Whether a report was read under this owner's epoch. */
  readonly hasFencedReport: boolean;
  /** Number of the last end whose effects are stored. */
  readonly acknowledgedEnd: number;
  readonly pendingAcknowledgements: readonly PendingAcknowledgement[];
  /** Number of runs that the worker lists and the owner does not know; above 0 the worker gets no runs. */
  readonly unknownRunCount: number;
  readonly backoff: WorkerBackoff;
}

/** An agent to which the owner keeps a link. */
export interface AgentRow {
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  readonly link: 'closed' | 'opening' | 'open';
  readonly retryAt: number;
  /** Incarnation that the agent last reported. */
  readonly workerKey: string | undefined;
  readonly grantedAt: number;
  /**
   * Time until which leases of earlier owners may last on the instance, as the agent has proved it,
   * owner's clock ms; infinite without a proof.
   */
  readonly earlierLeasesEndAt: number;
  /**
   * A later incarnation of the worker that has not answered the agent yet, and since when the agent
   * has sent no start to the earlier ones, owner's clock ms.
   */
  readonly unconfirmedWorker:
    { readonly id: string; readonly bornMs: number; readonly knownSince: number } | undefined;
  /** How long leases may last on the instance, as the agent last reported it to this owner, ms. */
  readonly reportedLeaseMs: number | undefined;
  /** When the latest message was received, owner's clock ms. */
  readonly lastMessageAt: number;
  /** Consecutive failed attempts to open the link. */
  readonly failures: number;
  /** When the link last became open, owner's clock ms. */
  readonly openedAt: number;
}

/** Why a run was moved, lost or copied. The owner retains the latest rows in memory for `explain`. */
export interface MoveRow {
  /** `TASK#RUN`. */
  readonly id: string;
  readonly jobId: string;
  readonly workerId: string;
  readonly reason: string;
  /** Time of the move, owner's clock ms; the placement time for a run whose start was not sent. */
  readonly movedAt: number;
}

export function formatWorkerKey(agentId: string, workerId: string, bornMs: number): string {
  return `${agentId}|${workerId}|${bornMs}`;
}

/** Splits a worker's key into its parts. */
export function parseWorkerKey(workerKey: string): {
  readonly agentId: string;
  readonly workerId: string;
  readonly bornMs: number;
} {
  const [agentId = '', workerId = '', bornMs = ''] = workerKey.split('|');
  return { agentId, workerId, bornMs: Number(bornMs) };
}

export function formatRunId(task: string, run: number): string {
  return `${task}#${run}`;
}

/** Formats the key of the step and the occurrence of a task: `JOB.K.STEP`. */
export function formatStepKey(task: TaskRow): string {
  return `${task.jobId}.${task.occurrence}.${task.stepIndex}`;
}

export function formatTaskId(jobId: string, k: number, step: number, index: number): string {
  return `${jobId}.${k}.${step}.${index}`;
}

/** A reported end that the owner has not applied, with the worker that reported it. */
export interface ReportedEnd {
  readonly workerKey: string;
  readonly end: EndedRun;
}

/** Creates the row of a newly placed run, or of a run whose outcome is unknown after a takeover. */
export function createRunRow(
  task: TaskRow,
  run: number,
  workerKey: string,
  phase: 'placed' | 'unknown',
  placedChange: number,
  now: number,
  longLeaseEndsAt = Number.NEGATIVE_INFINITY,
): RunRow {
  return {
    id: formatRunId(task.id, run),
    taskId: task.id,
    jobId: task.jobId,
    run,
    workerKey,
    phase,
    placedChange,
    step: task.step,
    checkpoint: task.checkpoint,
    percent: 0,
    load: 0,
    pacePercent: 100,
    isPaceKnown: phase === 'placed',
    paceChangedAt: now,
    paceSentAt: now,
    placedAt: now,
    progressAt: now,
    startAttempts: 0,
    overTargetSince: undefined,
    unlistedSince: undefined,
    longLeaseEndsAt,
    stopReason: undefined,
  };
}
