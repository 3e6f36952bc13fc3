import type { System } from '../base/common/system.ts';
import type { AgentState } from '../model/agentState.ts';
import { AttemptSystem } from './attempts/attemptSystem.ts';
import { AgentDrainSystem } from './drain/agentDrainSystem.ts';
import { AnnounceSystem } from './membership/announceSystem.ts';

/** The systems of an agent in the order in which a turn runs them. */
export function createAgentSystems(): System<AgentState>[] {
  return [AnnounceSystem.create(), AttemptSystem.create(), AgentDrainSystem.create()];
}
