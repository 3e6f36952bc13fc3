import type { System } from '../base/common/system.ts';
import type { AgentState } from '../model/agentState.ts';
import { AttemptSystem } from './attempts/attemptSystem.ts';
import { AgentDrainSystem } from './drain/agentDrainSystem.ts';
import { AgentExchangeSystem } from './membership/agentExchangeSystem.ts';
import { AnnounceSystem } from './membership/announceSystem.ts';
import { WorkerSystem } from './worker/workerSystem.ts';

/** Creates the systems of an agent in the order in which a tick runs them. */
export function createAgentSystems(): System<AgentState>[] {
  return [
    AnnounceSystem.create(),
    AttemptSystem.create(),
    AgentExchangeSystem.create(),
    // Runs after the exchange system: records the worker clock sample of each exchange that it
    // queued.
    WorkerSystem.create(),
    AgentDrainSystem.create(),
  ];
}
