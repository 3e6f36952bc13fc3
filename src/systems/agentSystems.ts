import type { System } from '../base/common/system.ts';
import type { AgentState } from '../model/agentState.ts';
import { AttemptSystem } from './attempts/attemptSystem.ts';
import { AnnounceSystem } from './membership/announceSystem.ts';
import { WorkerSystem } from './worker/workerSystem.ts';

/** The systems of an agent in the order in which a turn runs them. */
export function createAgentSystems(): System<AgentState>[] {
  return [AnnounceSystem.create(), WorkerSystem.create(), AttemptSystem.create()];
}
