import { Loop } from '../../src/base/common/loop.ts';
import type { SeededRandom } from '../../src/base/common/seededRandom.ts';
import type { AgentMessage } from '../../src/model/scheduler/linkMessages.ts';
import type {
  RunnerAgentArrival,
  RunnerAgentEffect,
} from '../../src/model/scheduler/runnerAgentState.ts';
import { createRunnerAgentState } from '../../src/model/scheduler/runnerAgentState.ts';
import type { SchedulerArrival } from '../../src/model/scheduler/schedulerMessages.ts';
import { createRunnerAgentSystems } from '../../src/systems/runnerAgent/runnerAgentSystems.ts';
import type { WorldEvents } from './worldEvents.ts';
import type { WorldLinks } from './worldLinks.ts';
import { LINK_DELAY_MS } from './worldLinks.ts';
import type { WorldLog } from './worldLog.ts';
import type { AgentNode, EntryNode } from './worldNodes.ts';
import {
  answerRunnerCall,
  findLinkedEntry,
  formatWorldAddress,
  LATE_CALL_DELAY_MS,
} from './worldNodes.ts';
import type { WorldStore } from './worldStore.ts';
import type { Clock } from '../../src/base/common/clock.ts';

/** What the effects of an agent act on. */
interface WorldParts {
  readonly clock: Clock;
  readonly entries: readonly EntryNode[];
  readonly events: WorldEvents;
  readonly links: WorldLinks;
  readonly logs: WorldLog[];
  readonly storeLink: WorldStore;
  deliver(delayMs: number, entry: EntryNode, arrival: SchedulerArrival): void;
  deliverToAgent(delayMs: number, agent: AgentNode, arrival: RunnerAgentArrival): void;
}

/** Creates the process of an agent, which knows nothing of an earlier one. */
export function createAgentProcess(
  world: WorldParts,
  random: SeededRandom,
  id: string,
  getAgent: () => AgentNode,
): Pick<AgentNode, 'state' | 'loop'> {
  const state = createRunnerAgentState(id, 'a');
  state.self.address = formatWorldAddress(id);
  // Replies to the calls of an earlier process have other ids.
  state.nextCall = Math.round(world.clock.now);
  const loop = Loop.create({
    state,
    systems: createRunnerAgentSystems(),
    clock: world.clock,
    random,
    handleEffect: (effect: RunnerAgentEffect) => {
      handleAgentEffect(world, getAgent(), effect);
    },
  });
  return { state, loop };
}

/** Executes one effect of an agent in the world. */
export function handleAgentEffect(
  world: WorldParts,
  agent: AgentNode,
  effect: RunnerAgentEffect,
): void {
  switch (effect.kind) {
    case 'log':
      world.logs.push({ node: agent.id, event: effect.event, fields: effect.fields });
      return;
    case 'callRunner': {
      const { callId, call, timeoutMs, workerId } = effect;
      const { reply, delayMs, isLate } = answerRunnerCall(agent, workerId, call, timeoutMs);
      if (isLate === true)
        world.events.schedule(LATE_CALL_DELAY_MS, () => agent.runner.handle(call));
      world.deliverToAgent(delayMs, agent, { kind: 'runnerReply', callId, reply });
      return;
    }
    case 'closeOwner':
      world.links.closeAgent(findLinkedEntry(world.entries, agent, effect.linkId), agent);
      return;
    case 'sendOwner': {
      const entry = findLinkedEntry(world.entries, agent, effect.linkId);
      if (entry !== undefined)
        world.deliver(Math.max(LINK_DELAY_MS, agent.delayedUntil - world.clock.now), entry, {
          kind: 'agentMessage',
          agentId: agent.id,
          message: agent.isEarlierBuild ? removeNewFields(effect.message) : effect.message,
        });
      return;
    }
    case 'callStore':
      world.storeLink.call('up', effect.call, effect.timeoutMs, (reply) => {
        world.deliverToAgent(0, agent, { kind: 'storeReply', callId: effect.callId, reply });
      });
      return;
    default:
  }
}

/** Removes the fields of a report that agents of earlier builds do not send. */
function removeNewFields(message: AgentMessage): AgentMessage {
  return message.kind === 'report' ? { ...message, leaseLeftMs: undefined } : message;
}
