import type { Clock } from '../../src/base/common/clock.ts';
import type { InstanceCall, InstanceReply } from '../../src/model/scheduler/instanceCall.ts';
import type { InstanceCommand } from '../../src/standins/memoryInstances.ts';
import { MemoryInstances } from '../../src/standins/memoryInstances.ts';
import type { WorldEvents } from './worldEvents.ts';
import type { AgentNode } from './worldNodes.ts';

const ANSWER_DELAY_MS = 8;
/** Time that an instance is down for a command. */
export const DOWN_MS = 2_000;

/** How the service handles commands. `answerLost`: they are executed and not answered. */
export type InstanceMode = 'up' | 'refuses' | 'silent' | 'answerLost';

/** The operations of the world that start a worker. */
export interface WorkerHost {
  addAgent(id: string): AgentNode;
  restartRunner(agent: AgentNode): void;
}

/** The instances of a simulated world, one for each worker, and the link to their service. */
export class WorldInstances {
  mode: InstanceMode = 'up';
  /** Whether lists of instances are refused, as beyond the rate that the platform accepts. */
  private isListRefused = false;
  /** Highest number of instances in maintenance at one time. */
  peakInMaintenance = 0;
  /** Runs that were interrupted when a command took their instance down. */
  readonly interruptedRuns: string[] = [];
  readonly service: MemoryInstances;
  /** Called when a command takes an instance down. */
  onCommand: (instanceId: string) => void = () => undefined;

  private constructor(
    clock: Clock,
    private readonly events: WorldEvents,
    private readonly agents: readonly AgentNode[],
    private readonly world: WorkerHost,
  ) {
    this.service = MemoryInstances.create(clock, DOWN_MS, (order, downMs) =>
      this.restart(order, downMs),
    );
    for (const agent of agents) this.addInstance(toInstanceId(agent), 'svc', `worker-${agent.id}`);
  }

  /** Adds an instance of a spare pool; its worker starts when the instance is moved. */
  addSpare(id: string, pool = 'spare', kind = 'kind-1'): void {
    this.addInstance(`i-${id}`, pool, '', kind);
  }

  static create(
    clock: Clock,
    events: WorldEvents,
    agents: readonly AgentNode[],
    world: WorkerHost,
  ): WorldInstances {
    return new WorldInstances(clock, events, agents, world);
  }

  /** Lists the instances that had maintenance, in order. */
  listMaintained(): string[] {
    return this.service.appliedCommands
      .filter(({ command }) => command.op === 'maintain')
      .map(({ command }) => command.instanceId);
  }

  /** Lists the executed moves as instance and pool, in order. */
  listMoves(): string[] {
    return this.service.appliedCommands.flatMap(({ command: order }) =>
      order.op === 'move' ? [`${order.instanceId} to ${order.pool}`] : [],
    );
  }

  refuseLists(): void {
    this.isListRefused = true;
  }

  acceptLists(): void {
    this.isListRefused = false;
  }

  call(call: InstanceCall, timeoutMs: number, answer: (reply: InstanceReply) => void): void {
    const { mode } = this;
    const isList = call.op === 'list';
    if (isList ? this.isListRefused : mode === 'refuses') {
      this.events.schedule(ANSWER_DELAY_MS, () => {
        answer({ kind: 'refused', message: 'the service answered 429' });
      });
      return;
    }
    const isLost = mode === 'silent' || (mode === 'answerLost' && !isList);
    this.events.schedule(ANSWER_DELAY_MS / 2, () => {
      if (mode === 'silent') return;
      const reply = this.service.handle(call);
      this.peakInMaintenance = Math.max(this.peakInMaintenance, this.service.countInMaintenance());
      if (!isLost)
        this.events.schedule(ANSWER_DELAY_MS / 2, () => {
          answer(reply);
        });
    });
    if (isLost)
      this.events.schedule(timeoutMs, () => {
        answer({ kind: 'unavailable', message: 'no answer in time' });
      });
  }

  private addInstance(id: string, pool: string, workerId: string, kind = 'kind-1'): void {
    const size = { cpuMillis: 8_000, memoryMb: 10_000, gpus: 0 };
    this.service.add({ id, pool, state: 'up', zone: 'a', kind, workerId, ...size });
  }

  /**
   * Ends the worker on an instance; a new incarnation starts when the instance is up again, unless the
   * instance was moved to a spare pool.
   */
  private restart({ instanceId, ...order }: InstanceCommand, downMs: number): string {
    this.onCommand(instanceId);
    const agent = this.agents.find((other) => toInstanceId(other) === instanceId);
    if (agent !== undefined) {
      this.interruptedRuns.push(...agent.runner.running.keys());
      agent.runner.running.clear();
      agent.hasTerminated = true;
    }
    if (order.op === 'move' && order.pool !== 'svc') return '';
    const agentId = instanceId.slice('i-'.length);
    this.events.schedule(downMs, () => {
      if (agent === undefined) {
        this.world.addAgent(agentId);
        return;
      }
      agent.hasTerminated = false;
      this.world.restartRunner(agent);
    });
    return `worker-${agentId}`;
  }
}

export function toInstanceId(agent: AgentNode): string {
  return `i-${agent.id}`;
}
