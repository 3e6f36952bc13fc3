import type { AgentSelf, AgentState } from '../../model/agentState.ts';
import type { WorkerReport } from '../../model/worker.ts';

/** An older status says nothing about the runs any more; without a report the owner does not renew. */
export const MAX_STATUS_AGE_MS = 3_000;

/** From the stop request to the end of the process, also in turns after the drain has ended. */
export function isLeaving(self: AgentSelf): boolean {
  return self.phase === 'leaving' || self.phase === 'stopped';
}

/**
 * Builds the worker's part of an exchange from its last status.
 * Undefined when there is no worker or its status is too old.
 */
export function buildWorkerReport(state: AgentState): WorkerReport | undefined {
  const { worker, self } = state;
  if (worker === undefined) return undefined;
  const { status } = worker;
  return {
    workerId: status.workerId,
    workerBootId: status.bootId,
    region: self.region,
    zone: self.zone,
    rack: status.rack,
    capacity: status.capacity,
    runs: status.runs,
    samples: worker.samplesReported === true ? [] : status.samples,
    rejectedStarts: state.rejectedStarts,
    leaving: isLeaving(self),
    stopsTasks: isLeaving(self) && self.stopsTasks,
  };
}
