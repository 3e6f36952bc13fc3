import type { PoolConfig } from '../src/model/configuration.ts';
import type { EndpointReport } from '../src/model/endpoint.ts';
import type { ExchangeRequest } from '../src/model/exchange.ts';
import type { TaskRow } from '../src/model/task.ts';
import type { WorkerReport } from '../src/model/worker.ts';

export const REGION = 'kr-south';
const ZONE = 'busan-a';

export const POOL: PoolConfig = {
  ...{ name: 'batch', region: REGION, zones: [ZONE], workClass: 'batch' },
  ...{ services: [], quotas: [], spread: 'none', maxWorkerShare: 1 },
};

export function buildEndpointReport(agentId: string): EndpointReport {
  return {
    ...{ id: `${agentId}/kit`, service: 'kit', region: REGION, zone: ZONE },
    ...{ agentId, agentBootId: '0123456789abcdef', agentAddress: '10.20.30.40:7203' },
    ...{ slots: 8, connections: 60, draining: false, version: 1 },
    load: { running: 3, waiting: 0, latencyMs: 21.5 },
  };
}

/** An exchange as the agent of one endpoint sends it; with a worker when `tasks` is given. */
export function buildRequest(
  index: number,
  seq: number,
  entriesDigest: number,
  tasks: number | undefined,
): ExchangeRequest {
  const agentId = `agent-${index}`;
  const worker = tasks === undefined ? undefined : buildWorkerReport(index, tasks, seq);
  return {
    ...{ agentId, agentBootId: '0123456789abcdef', agentAddress: '10.20.30.40:7203' },
    ...{ region: REGION, zone: ZONE, seq, waitMs: 1_000, configRevision: 1, entriesDigest },
    ...{ epoch: worker === undefined ? 0 : 1, endpoints: [buildEndpointReport(agentId)] },
    ...(worker === undefined ? {} : { workerId: worker.workerId, worker }),
  };
}

function buildWorkerReport(index: number, tasks: number, seq: number): WorkerReport {
  const ids = Array.from({ length: tasks }, (_, task) => formatTaskId(index, task));
  return {
    ...{ workerId: `worker-${index}`, workerBootId: 'boot', region: REGION, zone: ZONE },
    ...{
      rack: `rack-${Math.floor(index / 3)}`,
      rejectedStarts: [],
      leaving: false,
      stopsTasks: false,
    },
    capacity: { cores: 60, memoryMb: 250_000, accelerators: 2 },
    runs: ids.map((taskId) => ({ taskId, incarnation: 1, phase: 'running', throttle: 1 })),
    // A worker samples each task every other second.
    samples:
      seq % 2 === 0
        ? []
        : ids.map((taskId) => ({
            ...{ taskId, incarnation: 1, ageMs: 2_000 },
            ...{ cores: 1.9, memoryMb: 4_000, slowdown: 1.1 },
          })),
  };
}

function formatTaskId(worker: number, task: number): string {
  return `${REGION}:0123456789ab-${worker}-${task}`;
}

export function buildTask(worker: number, task: number): TaskRow {
  return {
    ...{ id: formatTaskId(worker, task), pool: POOL.name, team: 'guides' },
    ...{ taskKind: 'render', workClass: 'ordinary', command: ['render', '--part', `${task}`] },
    demand: { cores: 2, memoryMb: 4_096, accelerators: 0 },
    ...{ expectedSeconds: 600, value: 1, phase: 'assigned', incarnation: 1 },
    ...{ workerId: `worker-${worker}`, zone: ZONE, failedWorkers: [] },
    sequence: worker * 100 + task,
  };
}
