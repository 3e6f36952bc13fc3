import type { AgentSelf, AgentState } from '../../model/agentState.ts';
import type { WorkerReport } from '../../model/worker.ts';

/** An older status is not reported because it may be outdated; the owner then renews no lease. */
export const MAX_STATUS_AGE_MS = 3_000;

/** Whether the agent has received a stop request; stays true in ticks after the drain has ended. */
export function isLeaving(self: AgentSelf): boolean {
  return self.phase === 'leaving' || self.phase === 'stopped';
}

/**
 * Builds the worker report of an exchange from the last status.
 * Returns undefined without a worker or without a fresh status.
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
    samples: worker.hasReportedSamples === true ? [] : status.samples,
    rejectedStarts: state.rejectedStarts,
    leaving: isLeaving(self),
    stopsTasks: isLeaving(self) && self.stopsTasks,
  };
}
