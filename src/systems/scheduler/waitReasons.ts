import { formatAdviceId } from '../../model/scheduler/placementAdvice.ts';
import type { QueueTerms } from '../../model/scheduler/queueConfiguration.ts';
import type { TaskRow } from '../../model/scheduler/rows.ts';
import { formatStepKey } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { isRetryBlocked } from './attemptLimit.ts';
import { listGangMembers } from './gangs.ts';
import { getService } from './queueTerms.ts';
import type { WorkerCapacity } from './taskPlacementPolicy.ts';
import {
  canRun,
  FirstFitTaskPlacement,
  SlackLimitedTaskPlacement,
  CpuLimitedTaskPlacement,
  reserveCapacity,
} from './taskPlacementPolicy.ts';
import { MAX_CONFIRMATION_AGE_MS, MAX_PROOF_AGE_MS } from './taskPlacements.ts';
import { findTicket } from './tickets.ts';
import { explainClosedWorker } from './workerCapacities.ts';

const SLACK_LIMITED = SlackLimitedTaskPlacement.create(FirstFitTaskPlacement.create());
const CPU_LIMITED = CpuLimitedTaskPlacement.create(FirstFitTaskPlacement.create());

/**
 * Explains why a ready task has no worker, by the conditions of the placement system in their
 * order. Reads `tasks`, `workers`, `advice` and the operator's keys; leaves them unchanged. Runs on
 * request only.
 */
export function explainReadyTask(
  state: SchedulerState,
  task: TaskRow,
  capacities: readonly WorkerCapacity[],
  now: number,
): string {
  const { operator, ownership } = state;
  const proofAgeMs = Math.round(now - operator.verifiedAt);
  if (proofAgeMs > MAX_PROOF_AGE_MS)
    return `the operator's keys were last proved current ${proofAgeMs} ms ago`;
  const confirmedAgeMs = Math.round(now - ownership.confirmedAt);
  if (confirmedAgeMs > MAX_CONFIRMATION_AGE_MS)
    return `the store last confirmed the ownership ${confirmedAgeMs} ms ago`;
  if (isRetryBlocked(state, task))
    return 'it has failed, and its queue, which sets the attempts, is not in the configuration';
  const job = state.jobs.get(task.jobId);
  const service = job === undefined ? '' : getService(job);
  const open = capacities.filter(({ worker }) => worker.identity.service === service);
  if (open.length === 0) return explainNoWorker(state, service, now);
  const advised = listAdvised(state, task, job?.terms, open, now);
  if (advised.length === 0) return explainNoAdvice(state, task, open);
  if (task.step.gang) return explainGang(state, task, advised);
  const fitting = advised.filter((capacity) => canRun(capacity, task));
  if (fitting.length === 0)
    return `no room: ${formatReasons([
      ...advised.map((capacity) => explainShortage(capacity, task)),
      ...listClosedReasons(state, task, service, now),
    ])}`;
  if (CPU_LIMITED.choose(task, fitting) === undefined)
    return 'queued: the filling tasks placed before it ask for the processors that are left';
  if (SLACK_LIMITED.choose(task, fitting) === undefined)
    return 'held back: on every worker with room a serving task would come near its latency target';
  return 'there is room; it is placed in one of the next ticks';
}

function explainNoWorker(state: SchedulerState, service: string, now: number): string {
  const reasons: string[] = [];
  for (const worker of state.workers.values())
    if (worker.identity.service === service)
      reasons.push(explainClosedWorker(state, worker, now) ?? 'it accepts work');
  if (reasons.length === 0) return `no worker of service ${service} is known`;
  return `no worker accepts work: ${formatReasons(reasons)}`;
}

/** Lists why the workers that have the task's label, and may have room for it, accept nothing now. */
function listClosedReasons(
  state: SchedulerState,
  { step }: TaskRow,
  service: string,
  now: number,
): string[] {
  const reasons: string[] = [];
  for (const worker of state.workers.values()) {
    const { labels } = worker.identity;
    if (worker.identity.service !== service) continue;
    if (step.requiredLabel !== '' && !labels.includes(step.requiredLabel)) continue;
    const reason = explainClosedWorker(state, worker, now);
    if (reason !== undefined) reasons.push(reason);
  }
  return reasons;
}

function listAdvised(
  state: SchedulerState,
  task: TaskRow,
  terms: QueueTerms | undefined,
  open: readonly WorkerCapacity[],
  now: number,
): readonly WorkerCapacity[] {
  if (terms?.advice === undefined) return open;
  const stepKey = formatStepKey(task);
  return open.filter(({ worker }) => findTicket(state, stepKey, worker.id, now) !== undefined);
}

function explainNoAdvice(
  state: SchedulerState,
  task: TaskRow,
  open: readonly WorkerCapacity[],
): string {
  const stepKey = formatStepKey(task);
  const rows = open.map(({ worker }) => state.advice.get(formatAdviceId(stepKey, worker.id)));
  const refused = rows.filter((row) => row?.ticket === '').length;
  if (refused === open.length) return `the adviser allows none of ${open.length} open workers`;
  const allowed = open.filter((_, index) => (rows[index]?.ticket ?? '') !== '');
  if (allowed.length > 0 && !allowed.some((capacity) => canRun(capacity, task)))
    return `no room on ${allowed.length} of ${open.length} open workers that the adviser allows`;
  return `no valid answer of the adviser about ${open.length - refused} of ${open.length} open workers`;
}

function explainGang(
  state: SchedulerState,
  task: TaskRow,
  capacities: readonly WorkerCapacity[],
): string {
  const members = listGangMembers(state, task);
  const open = members.filter(({ phase }) => phase !== 'ready').length;
  if (open > 0) return `gang: ${open} of ${members.length} members are not ready yet`;
  const reserved: { readonly capacity: WorkerCapacity; readonly member: TaskRow }[] = [];
  for (const member of members) {
    const capacity = capacities.find((candidate) => canRun(candidate, member));
    if (capacity === undefined) break;
    reserveCapacity(capacity, member);
    reserved.push({ capacity, member });
  }
  for (const { capacity, member } of reserved) reserveCapacity(capacity, member, -1);
  if (reserved.length < members.length)
    return `no room: for ${reserved.length} of the ${members.length} tasks of the gang`;
  return 'there is room for the gang; it is placed in one of the next ticks';
}

/** Explains what a worker lacks for the task. */
function explainShortage(capacity: WorkerCapacity, { step }: TaskRow): string {
  const { labels } = capacity.worker.identity;
  if (step.requiredLabel !== '' && !labels.includes(step.requiredLabel))
    return `without the label ${step.requiredLabel}`;
  if (!step.fills && step.cpuMillis > capacity.freeCpuMillis) return 'too few cores free';
  if (step.memoryMb > capacity.freeMemoryMb) return 'too little memory free';
  if (step.gpus > capacity.freeGpus) return 'too few accelerators free';
  return 'already has the maximum tasks of the step per worker';
}

/** Formats each reason once, with the number of workers that it applies to. */
function formatReasons(reasons: readonly string[]): string {
  const counts = new Map<string, number>();
  for (const reason of reasons) counts.set(reason, (counts.get(reason) ?? 0) + 1);
  return [...counts]
    .map(([reason, count]) => `${reason} (${count} ${count === 1 ? 'worker' : 'workers'})`)
    .join('; ');
}
