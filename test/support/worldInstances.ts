import type { Clock } from '../../src/base/common/clock.ts';
import type { InstanceCall, InstanceReply } from '../../src/model/scheduler/instanceCall.ts';
import { MemoryInstances } from '../../src/standins/memoryInstances.ts';
import type { WorldEvents } from './worldEvents.ts';
import type { AgentNode } from './worldNodes.ts';

const ANSWER_MS = 8;
/** Time that an instance is down for an order. */
export const DOWN_MS = 2_000;

/** How the service treats orders. `answerLost`: they are carried out and not answered. */
export type InstanceMode = 'up' | 'refuses' | 'silent' | 'answerLost';

/** The instances of a simulated world, one beneath each worker, and the way to their service. */
export class WorldInstances {
  mode: InstanceMode = 'up';
  /** Most instances that were in maintenance at one time. */
  mostDown = 0;
  /** Tasks that ran on an instance when an order took it down. */
  readonly cutOff: string[] = [];
  readonly service: MemoryInstances;
  /** Called when an order takes an instance down. */
  onOrder: (instanceId: string) => void = () => undefined;

  private constructor(
    clock: Clock,
    private readonly events: WorldEvents,
    private readonly agents: readonly AgentNode[],
    private readonly restartRunner: (agent: AgentNode) => void,
  ) {
    this.service = MemoryInstances.create(clock, DOWN_MS, (id, downMs) => this.restart(id, downMs));
    for (const agent of agents)
      this.service.add({
        id: toInstanceId(agent),
        pool: 'svc',
        state: 'up',
        zone: 'a',
        labels: ['kind-1'],
        cpuMillis: 8_000,
        memoryMb: 10_000,
        gpus: 0,
        workerId: `worker-${agent.id}`,
      });
  }

  static create(
    clock: Clock,
    events: WorldEvents,
    agents: readonly AgentNode[],
    restartRunner: (agent: AgentNode) => void,
  ): WorldInstances {
    return new WorldInstances(clock, events, agents, restartRunner);
  }

  /** Instances that were taken through maintenance, in order. */
  listMaintained(): string[] {
    return this.service.carriedOut
      .filter(({ order }) => order.op === 'maintain')
      .map(({ order }) => order.instanceId);
  }

  call(call: InstanceCall, timeoutMs: number, answer: (reply: InstanceReply) => void): void {
    const { mode } = this;
    const isList = call.op === 'list';
    if (mode === 'refuses' && !isList) {
      this.events.schedule(ANSWER_MS, () => {
        answer({ kind: 'refused', message: 'the service answered 429' });
      });
      return;
    }
    const isLost = mode === 'silent' || (mode === 'answerLost' && !isList);
    this.events.schedule(ANSWER_MS / 2, () => {
      if (mode === 'silent') return;
      const reply = this.service.handle(call);
      this.mostDown = Math.max(this.mostDown, this.service.countInMaintenance());
      if (!isLost)
        this.events.schedule(ANSWER_MS / 2, () => {
          answer(reply);
        });
    });
    if (isLost)
      this.events.schedule(timeoutMs, () => {
        answer({ kind: 'unavailable', message: 'no answer in time' });
      });
  }

  /** Ends the worker on an instance; another life of it comes up when the instance is back. */
  private restart(instanceId: string, downMs: number): string {
    const agent = this.agents.find((other) => toInstanceId(other) === instanceId);
    if (agent === undefined) return '';
    this.onOrder(instanceId);
    this.cutOff.push(...agent.runner.running.keys());
    agent.runner.running.clear();
    agent.hasLeft = true;
    this.events.schedule(downMs, () => {
      agent.hasLeft = false;
      this.restartRunner(agent);
    });
    return `worker-${agent.id}`;
  }
}

export function toInstanceId(agent: AgentNode): string {
  return `i-${agent.id}`;
}
