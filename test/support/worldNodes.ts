import type { Loop } from '../../src/base/common/loop.ts';
import type { SchedulerArrival, SchedulerEffect } from '../../src/model/scheduler/entryMessages.ts';
import type { QueueAnswer } from '../../src/model/scheduler/queueCall.ts';
import type {
  RunnerAgentArrival,
  RunnerAgentEffect,
  RunnerAgentState,
} from '../../src/model/scheduler/runnerAgentState.ts';
import type { WorkerIdentity } from '../../src/model/scheduler/links.ts';
import { OPERATOR_KEYS } from '../../src/model/scheduler/queueConfiguration.ts';
import type { SchedulerState } from '../../src/model/scheduler/schedulerState.ts';
import type { MemoryRunner } from '../../src/standins/memoryRunner.ts';
import type { MemoryStore } from '../../src/standins/memoryStore.ts';
import type { StoreMode } from './worldStore.ts';

export interface EntryNode {
  readonly id: string;
  readonly state: SchedulerState;
  readonly loop: Loop<SchedulerArrival, SchedulerEffect, SchedulerState>;
  readonly answers: Map<string, QueueAnswer>;
  store: StoreMode;
  isUp: boolean;
  ownerId: string;
}

export interface AgentNode {
  readonly id: string;
  readonly state: RunnerAgentState;
  readonly loop: Loop<RunnerAgentArrival, RunnerAgentEffect, RunnerAgentState>;
  runner: MemoryRunner;
  /** Link ids of owners by entry id. */
  readonly links: Map<string, string>;
  /** Links from entries are cut while it is false. */
  isReachable: boolean;
  /** What the worker does with the next orders instead of answering. */
  dropAnswers: number;
  /** Whether the worker has ended and answers nothing. */
  hasLeft: boolean;
  /** Labels and capacity that the worker reports. */
  readonly shape: WorkerShape;
}

/** What a test may choose about a worker. */
export type WorkerShape = Partial<Pick<WorkerIdentity, 'labels' | 'cpuMillis' | 'memoryMb'>>;

export const BOUNDS = {
  holdMaxMs: 6_000,
  stopMs: 200,
  storeLeaseMinMs: 1_000,
  stopGraceSeconds: 6,
  harmMs: 4_000,
  paceMs: 100,
  farFactor: 1.5,
  earlyMs: 250,
  statusSeconds: 120,
};

/** Writes the operator's configuration with one queue at `/q/` for the workers of a service. */
export function writeWorldConfiguration(
  store: MemoryStore,
  version: number,
  service = 'svc',
): void {
  const key = OPERATOR_KEYS.configuration;
  const read = store.handle({ op: 'read', key });
  const expectedVersion = read.kind === 'entry' ? read.entry.version : 0;
  const queue = {
    name: 'queue',
    host: 'host',
    prefix: '/q/',
    service,
    priority: 0,
    attempts: 3,
    stretch: 2,
    latencyObjectiveMs: 500,
  };
  const configuration = { version, maxBodyBytes: 100_000, queues: [queue] };
  const value = { kind: 'configuration', configuration };
  store.handle({ op: 'write', key, expectedVersion, value });
}

/** What the worker beside an agent tells of itself. */
export function createWorldWorker(agent: AgentNode): WorkerIdentity {
  return {
    id: `worker-${agent.id}`,
    bornMs: agent.runner.bornMs,
    service: 'svc',
    address: agent.id,
    zone: 'a',
    labels: [],
    cpuMillis: 8_000,
    memoryMb: 10_000,
    gpus: 0,
    isDraining: false,
    drainLeftMs: 0,
    ...agent.shape,
  };
}
