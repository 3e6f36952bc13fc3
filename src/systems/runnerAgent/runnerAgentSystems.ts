import type { System } from '../../base/common/system.ts';
import type { RunnerAgentState } from '../../model/scheduler/runnerAgentState.ts';
import { AgentLifeSystem } from './agentLifeSystem.ts';
import { HoldSystem } from './holdSystem.ts';
import { OwnerLinkSystem } from './ownerLinkSystem.ts';
import { WorkerBeatSystem } from './workerBeatSystem.ts';
import { WorkerOrderSystem } from './workerOrderSystem.ts';

/** The systems of an agent beside a worker, in the order in which a turn runs them. */
export function createRunnerAgentSystems(): System<RunnerAgentState>[] {
  return [
    WorkerBeatSystem.create(),
    OwnerLinkSystem.create(),
    HoldSystem.create(),
    WorkerOrderSystem.create(),
    AgentLifeSystem.create(),
  ];
}
