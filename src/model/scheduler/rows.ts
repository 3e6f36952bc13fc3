import type { JobPhase, SubmittedJob } from './jobRecord.ts';
import type { StepSpec } from './jobSpec.ts';
import type { EndedRun, WorkerIdentity } from './linkMessages.ts';

/** A job as its owner keeps it. */
export interface JobRow {
  readonly id: string;
  readonly job: SubmittedJob;
  readonly phase: JobPhase;
  readonly isCancelRequested: boolean;
  /** Number of the latest change; a change counts only once {@link storedChange} has reached it. */
  readonly change: number;
  readonly storedChange: number;
  /** Version of the stored progress; 0 when none is stored. */
  readonly storeVersion: number;
  /** Change at which the phase was reached. */
  readonly phaseChange: number;
  /** Phase that callers may be told. */
  readonly visiblePhase: JobPhase;
  /** Occurrences whose tasks have been added. */
  readonly addedOccurrences: number;
  /** Tasks that are not done. */
  readonly openTaskCount: number;
  /** Time of acceptance on the owner's monotonic clock, ms. */
  readonly acceptedAt: number;
  readonly endedAtWallMs: number | undefined;
}

/** A task of a job at its owner. */
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
  readonly failures: number;
  readonly checkpoint: string;
  /** Since when the task has been ready, owner's clock ms. */
  readonly readyAt: number;
  /** Workers on which a run failed or stalled, by id; the latest few. */
  readonly avoidedWorkerIds: readonly string[];
}

/** Where a run stands between its placement and the listing of its end. */
export type RunPhase = 'placed' | 'starting' | 'running' | 'stopping' | 'unknown';

/** A run that holds room of a worker. */
export interface RunRow {
  /** `TASK#RUN`. */
  readonly id: string;
  readonly taskId: string;
  readonly jobId: string;
  readonly run: number;
  /** Incarnation of the worker, the id of its {@link WorkerRow}. */
  readonly workerKey: string;
  readonly phase: RunPhase;
  /** Change of the job that has to be stored before the run may start. */
  readonly placedChange: number;
  readonly step: StepSpec;
  readonly checkpoint: string;
  readonly percent: number;
  readonly load: number;
  readonly pacePercent: number;
  /** Whether this owner has set the pace; workers do not list it. */
  readonly isPaceKnown: boolean;
  /** When the pace last changed or the run was placed, owner's clock ms. */
  readonly paceChangedAt: number;
  /** When the pace was last ordered or the run was placed, owner's clock ms. */
  readonly paceSentAt: number;
  readonly placedAt: number;
  /** When the percentage last grew, owner's clock ms. */
  readonly progressAt: number;
  /** How often the start was sent. */
  readonly startAttempts: number;
  /** Since when a serving task has been over its latency target, owner's clock ms; undefined under it. */
  readonly overTargetSince: number | undefined;
  /** Since when complete lists of the worker lack a run that they named, owner's clock ms. */
  readonly unlistedSince: number | undefined;
  /** Whether a stop has been ordered. */
  readonly stopReason: string | undefined;
}

/** Whether a start or a stop of the run may have to be sent, now or again. */
export function hasPendingCommand({ phase, stopReason }: RunRow): boolean {
  return phase === 'placed' || phase === 'starting' || stopReason !== undefined;
}

/** Whether the run works at a pace that an earlier owner may have changed. */
export function isPaceUnknown({ step, phase, isPaceKnown }: RunRow): boolean {
  return step.fills && phase === 'running' && !isPaceKnown;
}

/** A number of ends that may be acknowledged once the job's change is stored. */
export interface PendingAcknowledgement {
  readonly number: number;
  readonly jobId: string;
  readonly change: number;
}

/** One incarnation of a worker at the owner. */
export interface WorkerRow {
  /** `AGENT|WORKER|BORN`. */
  readonly id: string;
  readonly agentId: string;
  readonly identity: WorkerIdentity;
  /** Latest time, on the owner's clock, at which a run on the worker may still hold its lease. */
  readonly leaseEndsAt: number;
  readonly lastReportAt: number;
  /** Worker's clock in the latest report. */
  readonly clockMs: number;
  /** Whether the lists were read under the owner's own fence. */
  readonly hasFencedReport: boolean;
  readonly acknowledgedEnd: number;
  readonly pendingAcknowledgements: readonly PendingAcknowledgement[];
  /** Runs that the worker lists and the owner does not know; nothing is placed there meanwhile. */
  readonly unknownRunCount: number;
  /** Latest failures and rejections, owner's clock ms. */
  readonly avoidedUntil: number;
  readonly recentFailures: number;
}

/** An agent that the owner links to. */
export interface AgentRow {
  readonly id: string;
  readonly address: string;
  readonly zone: string;
  readonly link: 'closed' | 'opening' | 'open';
  readonly retryAt: number;
  /** Incarnation that the agent last reported. */
  readonly workerKey: string | undefined;
  readonly grantedAt: number;
  /** When the latest message came, owner's clock ms. */
  readonly lastMessageAt: number;
  /** Attempts to open the link that failed in a row. */
  readonly failures: number;
  /** When the link was last opened, owner's clock ms. */
  readonly openedAt: number;
}

/** Why a run was moved, lost or copied. Kept for `explain`, the latest only, in the owner's memory. */
export interface MoveRow {
  /** `TASK#RUN`. */
  readonly id: string;
  readonly jobId: string;
  readonly workerId: string;
  readonly reason: string;
  /** When it happened, owner's clock ms; its placement for a run that had not been sent. */
  readonly movedAt: number;
}

export function formatWorkerKey(agentId: string, workerId: string, bornMs: number): string {
  return `${agentId}|${workerId}|${bornMs}`;
}

/** The parts of a worker's key. */
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

/** Names the step of one occurrence that a task belongs to: `JOB.K.STEP`. */
export function formatStepKey(task: TaskRow): string {
  return `${task.jobId}.${task.occurrence}.${task.stepIndex}`;
}

export function formatTaskId(jobId: string, k: number, step: number, index: number): string {
  return `${jobId}.${k}.${step}.${index}`;
}

/** An end that the owner has not applied yet, with the worker that listed it. */
export interface ReportedEnd {
  readonly workerKey: string;
  readonly end: EndedRun;
}

/** A run as it is when it gets its worker, or when its fate is not known after a takeover. */
export function createRunRow(
  task: TaskRow,
  run: number,
  workerKey: string,
  phase: 'placed' | 'unknown',
  placedChange: number,
  now: number,
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
    stopReason: undefined,
  };
}
