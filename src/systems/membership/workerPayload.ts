import type { AgentState } from '../../model/agentState.ts';
import type { WorkerReport } from '../../model/worker.ts';
import { buildWorkerReport } from '../worker/workerReport.ts';

/** Fields of an exchange with the owner of the worker's shard. */
export interface WorkerPayload {
  /** Highest owner epoch that the agent has adopted. */
  readonly epoch: number;
  readonly worker: WorkerReport | undefined;
}

export function buildWorkerPayload(state: AgentState): WorkerPayload {
  return { epoch: state.ownerEpoch, worker: buildWorkerReport(state) };
}
