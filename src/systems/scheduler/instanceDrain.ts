import type { RunRow } from '../../model/scheduler/rows.ts';
import { parseWorkerKey } from '../../model/scheduler/rows.ts';
import type { SchedulerState } from '../../model/scheduler/schedulerState.ts';
import { canEvict } from './availability.ts';
import { requestStop } from './jobChanges.ts';
import { canRun } from './taskPlacementPolicy.ts';
import { collectCapacities } from './workerCapacities.ts';

const STOP_REASON = 'its instance is taken away';

/**
 * Lists the open runs on the worker of an instance, including runs whose worker has not reported to
 * this owner.
 */
export function listInstanceRuns(state: SchedulerState, instanceId: string): RunRow[] {
  const workerId = state.fleet.instances.get(instanceId)?.workerId ?? '';
  if (workerId === '') return [];
  const runs: RunRow[] = [];
  for (const workerKey of state.runsByWorker.keys())
    if (parseWorkerKey(workerKey).workerId === workerId)
      runs.push(...state.runsByWorker.values(workerKey));
  return runs;
}

export function countInstanceRuns(state: SchedulerState, instanceId: string): number {
  return listInstanceRuns(state, instanceId).length;
}

/**
 * Stops the runs on an instance: finite tasks once the stop is due, and long-running tasks as far
 * as the availability of their steps allows. A long-running task waits for capacity elsewhere until
 * the drain is urgent.
 */
export function drainInstance(
  state: SchedulerState,
  instanceId: string,
  options: { readonly isStopDue: boolean; readonly isUrgent: boolean; readonly now: number },
): void {
  for (const run of listInstanceRuns(state, instanceId)) {
    if (run.stopReason !== undefined) continue;
    const canStop = run.step.longRunning
      ? canMoveLongRunning(state, run, options.isUrgent, options.now)
      : options.isStopDue;
    if (canStop) requestStop(state, run, STOP_REASON);
  }
}

function canMoveLongRunning(
  state: SchedulerState,
  run: RunRow,
  isUrgent: boolean,
  now: number,
): boolean {
  const task = state.tasks.get(run.taskId);
  if (task === undefined) return true;
  if (!canEvict(state, task)) return false;
  if (isUrgent) return true;
  const service = state.jobs.get(run.jobId)?.job.service;
  return collectCapacities(state, now).some(
    (capacity) => capacity.worker.identity.service === service && canRun(capacity, task),
  );
}
