import type { WorkerRow } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { MAX_REPORT_AGE_MS } from './ownershipTimes.ts';
import { computeSlack, getBaseSlack, getPairCost } from './slackModel.ts';
import type { SlackEstimates, WorkerCapacity } from './taskPlacementPolicy.ts';
import { reserveCapacity } from './taskPlacementPolicy.ts';

const FULL_PACE_PERCENT = 100;
/** A report covers half a second and comes every second; younger runs are not in it. */
const REPORT_DELAY_MS = 1_500;

/** Returns why nothing may start on a worker any more, regardless of commands sent before. */
export function findClosingReason(state: SchedulerState, worker: WorkerRow): string | undefined {
  if (worker.identity.isDraining) return 'it is draining';
  if (state.operator.zonesOut.has(worker.identity.zone)) return 'its zone is out of service';
  return undefined;
}

/**
 * Explains why the run, or any run without its id, may not start on a worker now; undefined if it
 * may.
 */
export function explainClosedWorker(
  state: SchedulerState,
  worker: WorkerRow,
  now: number,
  runId?: string,
): string | undefined {
  const reason = explainUnusableWorker(state, worker, now);
  if (reason !== undefined) return reason;
  const { until, probationRunId } = worker.backoff;
  return now < until && runId !== probationRunId ? 'it has rejected or failed work' : undefined;
}

/** Explains why nothing may start on a worker now, regardless of its backoff. */
export function explainUnusableWorker(
  state: SchedulerState,
  worker: WorkerRow,
  now: number,
): string | undefined {
  const agent = state.agents.get(worker.agentId);
  if (agent?.link !== 'open') return 'no link to its agent';
  if (agent.workerKey !== worker.id) return 'it has restarted';
  if (!worker.hasFencedReport) return 'its runs are not known yet';
  const closing = findClosingReason(state, worker);
  if (closing !== undefined) return closing;
  const cordonReason = state.fleet.cordonedWorkers.get(worker.identity.id);
  if (cordonReason !== undefined) return cordonReason;
  if (worker.unknownRunCount > 0) return 'it runs what the owner does not know';
  if (now - worker.lastReportAt > MAX_REPORT_AGE_MS) return 'its reports are old';
  return undefined;
}

/**
 * Collects the workers that accept work now, or others that the filter selects, with the capacity
 * that open runs leave; runs count until their end is listed.
 */
export function collectCapacities(
  state: SchedulerState,
  now: number,
  isSelected = (worker: WorkerRow): boolean =>
    explainClosedWorker(state, worker, now) === undefined,
): WorkerCapacity[] {
  const capacities: WorkerCapacity[] = [];
  const slackEstimates: SlackEstimates = {
    getBaseSlack: (serving) => getBaseSlack(state, serving),
    getCost: (serving, bestEffort) => getPairCost(state, serving, bestEffort),
  };
  for (const worker of state.workers.values()) {
    if (!isSelected(worker)) continue;
    const { cpuMillis, memoryMb, gpus } = worker.identity;
    const capacity: WorkerCapacity = {
      worker,
      freeCpuMillis: cpuMillis,
      freeMemoryMb: memoryMb,
      freeGpus: gpus,
      servingCpuMillis: 0,
      bestEffortCpuMillis: 0,
      bestEffort: 0,
      isUnderPressure: false,
      expectedSlacks: new Map(),
      reportedSlacks: new Map(),
      bestEffortByImage: new Map(),
      slackEstimates,
      tasksByStep: new Map(),
    };
    for (const run of state.runsByWorker.values(worker.id)) {
      const task = state.tasks.get(run.taskId);
      if (task !== undefined) reserveCapacity(capacity, task);
      if (run.overTargetSince !== undefined || run.pacePercent < FULL_PACE_PERCENT)
        capacity.isUnderPressure = true;
    }
    // Reported figures include the present load of each serving task, which the estimates do not.
    for (const run of state.runsByWorker.values(worker.id)) {
      const slack = run.phase === 'running' ? computeSlack(run) : undefined;
      const lowest = capacity.reportedSlacks.get(run.step.image) ?? Number.POSITIVE_INFINITY;
      if (slack !== undefined) capacity.reportedSlacks.set(run.step.image, Math.min(lowest, slack));
    }
    for (const [image, slack] of capacity.reportedSlacks) {
      let remainingSlack = slack;
      for (const run of state.runsByWorker.values(worker.id))
        if (run.step.fills && now - run.placedAt < REPORT_DELAY_MS)
          remainingSlack -= slackEstimates.getCost(image, run.step.image);
      capacity.expectedSlacks.set(image, remainingSlack);
    }
    capacities.push(capacity);
  }
  return capacities;
}
