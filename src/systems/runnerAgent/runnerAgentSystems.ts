import type { System } from '../../base/common/system.ts';
import type { RunnerAgentState } from '../../model/scheduler/runnerAgentState.ts';
import { AgentLifecycleSystem } from './agentLifecycleSystem.ts';
import { WorkerPollSystem } from './workerPollSystem.ts';
import { OwnerLinkSystem } from './ownerLinkSystem.ts';
import { WorkerHeartbeatSystem } from './workerHeartbeatSystem.ts';
import { WorkerCommandSystem } from './workerCommandSystem.ts';

/** Creates the systems of a worker's agent in the order in which a tick runs them. */
export function createRunnerAgentSystems(): System<RunnerAgentState>[] {
  return [
    WorkerHeartbeatSystem.create(),
    OwnerLinkSystem.create(),
    WorkerPollSystem.create(),
    WorkerCommandSystem.create(),
    AgentLifecycleSystem.create(),
  ];
}
