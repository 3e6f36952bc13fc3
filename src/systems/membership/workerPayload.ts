import type { AgentState } from '../../model/agentState.ts';
import type { WorkerReport } from '../../model/worker.ts';
import { buildWorkerReport } from '../worker/workerReport.ts';

/** What an exchange with the owner of the worker's shard carries. */
export interface WorkerPayload {
  /** Highest epoch that the agent has adopted. */
  readonly epoch: number;
  readonly worker: WorkerReport | undefined;
}

/** The worker's part of an exchange. */
export function buildWorkerPayload(state: AgentState): WorkerPayload {
  return { epoch: state.ownerEpoch, worker: buildWorkerReport(state) };
}
