import { isFinalPhase } from '../../model/scheduler/jobRecord.ts';
import type { AdvicePurpose } from '../../model/scheduler/placementAdvice.ts';
import { formatAdviceId } from '../../model/scheduler/placementAdvice.ts';
import type { AdvicePolicy } from '../../model/scheduler/queueConfiguration.ts';
import type { JobRow, TaskRow, WorkerRow } from '../../model/scheduler/rows.ts';
import { formatStepKey } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { isRetryBlocked } from './attemptLimit.ts';
import { listGangMembers } from './gangs.ts';
import { getService } from './queueTerms.ts';
import type { TaskPlacementPolicy, WorkerCapacity } from './taskPlacementPolicy.ts';
import { canRun, reserveCapacity } from './taskPlacementPolicy.ts';
import { isDelayedForLong } from './taskPlacements.ts';
import { findTicket } from './tickets.ts';
import { collectCapacities, explainUnusableWorker } from './workerCapacities.ts';

/** Workers per request. The platform accepts 100; the answer takes longer with each worker. */
const WORKERS_PER_REQUEST = 30;
/** Bounds of an expected decision time, ms; the operator's figures may be out of range. */
const MIN_DECISION_MS = 1;
const MAX_DECISION_MS = 60_000;
/** Weight of a job without a run; its callers see no progress at all. */
const IDLE_JOB_WEIGHT = 4;

/** A request that may be sent to the adviser. */
export interface AdviceCandidate {
  readonly task: TaskRow;
  readonly queue: string;
  readonly stepKey: string;
  readonly policy: AdvicePolicy;
  readonly purpose: AdvicePurpose;
  readonly workers: readonly WorkerRow[];
  /** Expected time of the answer, ms. */
  readonly answerMs: number;
  /** Urgency among the requests of the same purpose. */
  readonly score: number;
}

/** A worker that a step may use as far as the adviser has said. */
interface WorkerOption {
  readonly capacity: WorkerCapacity;
  /** Whether the adviser has allowed the worker, or has not been asked about it. */
  readonly knowledge: 'allowed' | 'unknown';
  readonly hasTicket: boolean;
  readonly hasRoom: boolean;
}

/** The requests that may be sent now: one for each step with a waiting task. */
export class AdviceCandidates {
  private readonly capacitiesByService = new Map<string, WorkerCapacity[]>();

  private constructor(
    private readonly state: SchedulerState,
    private readonly policy: TaskPlacementPolicy,
    private readonly now: number,
  ) {}

  static create(state: SchedulerState, policy: TaskPlacementPolicy, now: number): AdviceCandidates {
    return new AdviceCandidates(state, policy, now);
  }

  list(): AdviceCandidate[] {
    const { state } = this;
    const candidates: AdviceCandidate[] = [];
    for (const stepKey of state.readyTasksByStep.keys()) {
      const task = state.readyTasksByStep.getFirst(stepKey);
      const job = state.jobs.get(task?.jobId ?? '');
      const policy = job?.terms?.advice;
      if (task === undefined || job === undefined || policy === undefined) continue;
      if (isFinalPhase(job.phase)) continue;
      const candidate = this.buildCandidate(job, stepKey, this.listWaiting(task), policy);
      if (candidate !== undefined) candidates.push(candidate);
    }
    return candidates;
  }

  /** Lists the tasks of a step that wait for a worker; a gang waits as a whole. */
  private listWaiting(first: TaskRow): TaskRow[] {
    const { state } = this;
    const tasks = first.step.gang
      ? listGangMembers(state, first)
      : state.readyTasksByStep.list(formatStepKey(first));
    if (first.step.gang && tasks.some(({ phase }) => phase !== 'ready')) return [];
    return tasks.filter((task) => !isRetryBlocked(state, task));
  }

  private buildCandidate(
    job: JobRow,
    stepKey: string,
    waiting: readonly TaskRow[],
    policy: AdvicePolicy,
  ): AdviceCandidate | undefined {
    const [task] = waiting;
    if (task === undefined) return undefined;
    const askedAt = this.state.advisedSteps.get(stepKey)?.askedAt;
    const options = this.listOptions(job, stepKey, waiting);
    const workers = this.chooseWorkers(options, waiting.length, policy);
    if (workers.length === 0) return undefined;
    const hasRoom = options.some((option) => !option.hasTicket && option.hasRoom);
    const isKept = options.some(({ hasTicket }) => hasTicket);
    // With a valid ticket the step can start as soon as there is capacity.
    if (!hasRoom && isKept) return undefined;
    const answerMs = computeAnswerMs(policy, workers.length);
    const waitedMs = Math.max(1, this.now - Math.max(task.readyAt, askedAt ?? task.readyAt));
    const isIdle = this.state.runsByJob.count(job.id) === 0;
    const priority = Math.max(0, job.terms?.priority ?? 0);
    return {
      task,
      queue: job.job.queue,
      stepKey,
      policy,
      purpose: hasRoom ? (askedAt === undefined ? 'first' : 'repeat') : 'upkeep',
      workers,
      answerMs,
      // The response ratio: short answers go first, and each step has its turn as it waits.
      score: (waitedMs * (isIdle ? IDLE_JOB_WEIGHT : 1)) / ((1 + priority) * answerMs),
    };
  }

  /** Lists the usable workers that the adviser has not excluded for the step. */
  private listOptions(job: JobRow, stepKey: string, waiting: readonly TaskRow[]): WorkerOption[] {
    const [task] = waiting;
    if (task === undefined) return [];
    const { state, now } = this;
    const { step } = task;
    const allowed: WorkerOption[] = [];
    for (const capacity of this.getCapacities(getService(job))) {
      const { worker } = capacity;
      const { identity, backoff } = worker;
      if (identity.cpuMillis < step.cpuMillis) continue;
      if (step.requiredLabel !== '' && !identity.labels.includes(step.requiredLabel)) continue;
      // Only a long-running task may get a probation run on a worker in backoff.
      if (now < backoff.until && !step.longRunning) continue;
      const advice = state.advice.get(formatAdviceId(stepKey, worker.id));
      if (advice?.ticket === '') continue;
      allowed.push({
        capacity,
        knowledge: advice === undefined ? 'unknown' : 'allowed',
        hasTicket: findTicket(state, stepKey, worker.id, now) !== undefined,
        hasRoom: this.hasRoom(task, capacity),
      });
    }
    if (!step.gang || hasRoomForGang(waiting, allowed)) return allowed;
    return allowed.map((option) => ({ ...option, hasRoom: false }));
  }

  private getCapacities(service: string): readonly WorkerCapacity[] {
    const { state, now, capacitiesByService } = this;
    if (capacitiesByService.size === 0)
      for (const capacity of collectCapacities(
        state,
        now,
        (worker) => explainUnusableWorker(state, worker, now) === undefined,
      )) {
        const others = capacitiesByService.get(capacity.worker.identity.service);
        if (others === undefined)
          capacitiesByService.set(capacity.worker.identity.service, [capacity]);
        else others.push(capacity);
      }
    return capacitiesByService.get(service) ?? [];
  }

  private hasRoom(task: TaskRow, capacity: WorkerCapacity): boolean {
    if (!canRun(capacity, task)) return false;
    if (task.step.gang || isDelayedForLong(this.state, task, this.now)) return true;
    return this.policy.choose(task, [capacity]) !== undefined;
  }

  /**
   * Chooses the workers of a request. Those that the adviser has allowed are named as far as the
   * waiting tasks need them. Of the others some may be excluded, so as many are named as double the
   * time of the answer at most; with fewer, a second request may be necessary.
   */
  private chooseWorkers(
    options: readonly WorkerOption[],
    waitingCount: number,
    { decideMs, perWorkerMs }: AdvicePolicy,
  ): WorkerRow[] {
    const open = options.filter(({ hasTicket }) => !hasTicket);
    const withRoom = open.filter(({ hasRoom }) => hasRoom);
    const usable = withRoom.length > 0 ? withRoom : open;
    const allowed = usable.filter(({ knowledge }) => knowledge === 'allowed');
    const chosen = sortByRoom(allowed).slice(0, Math.min(waitingCount, WORKERS_PER_REQUEST));
    const isEnough = chosen.length >= waitingCount || (withRoom.length === 0 && chosen.length > 0);
    if (!isEnough) {
      const affordable = Math.ceil(decideMs / Math.max(1, perWorkerMs)) || 0;
      const limit = Math.min(WORKERS_PER_REQUEST, Math.max(waitingCount, affordable));
      const unknown = open.filter(({ knowledge }) => knowledge === 'unknown');
      chosen.push(...sortByRoom(unknown).slice(0, limit - chosen.length));
    }
    return chosen.map(({ capacity }) => capacity.worker);
  }
}

/** Sorts workers with capacity before the others, and those with more processors free first. */
function sortByRoom(options: readonly WorkerOption[]): WorkerOption[] {
  return [...options].sort(
    (left, right) =>
      Number(right.hasRoom) - Number(left.hasRoom) ||
      right.capacity.freeCpuMillis - left.capacity.freeCpuMillis,
  );
}

/** Whether all members of a gang find capacity at the same time. */
function hasRoomForGang(members: readonly TaskRow[], options: readonly WorkerOption[]): boolean {
  const reserved: { readonly capacity: WorkerCapacity; readonly member: TaskRow }[] = [];
  for (const member of members) {
    const option = options.find(({ capacity }) => canRun(capacity, member));
    if (option === undefined) break;
    reserveCapacity(option.capacity, member);
    reserved.push({ capacity: option.capacity, member });
  }
  for (const { capacity, member } of reserved) reserveCapacity(capacity, member, -1);
  return reserved.length === members.length;
}

function computeAnswerMs({ decideMs, perWorkerMs }: AdvicePolicy, workerCount: number): number {
  const answerMs = decideMs + workerCount * perWorkerMs;
  // The comparison is false for a number that is out of range.
  return answerMs >= MIN_DECISION_MS ? Math.min(MAX_DECISION_MS, answerMs) : MIN_DECISION_MS;
}
