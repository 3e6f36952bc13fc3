import { ManualClock } from '../../src/base/common/clock.ts';
import { Loop } from '../../src/base/common/loop.ts';
import { SeededRandom } from '../../src/base/common/seededRandom.ts';
import type { System } from '../../src/base/common/system.ts';
import type { AgentState } from '../../src/model/agentState.ts';
import { createAgentState } from '../../src/model/agentState.ts';
import type { AgentArrival, AgentEffect } from '../../src/model/effects.ts';
import type { AttemptMessage } from '../../src/model/request.ts';
import type { RequestState } from '../../specs/requestProtocol.ts';
import { createLocalEndpoint, OK } from '../systems/fakeEndpoint.ts';

const SLOTS = 4;

interface Agent {
  readonly state: AgentState;
  readonly loop: Loop<AgentArrival, AgentEffect, AgentState>;
}

/**
 * Carries out the steps of the request protocol on real agents. Claims and the entries' choices are
 * taken from the model; what agents do with copies, boots and rejections is the code's own.
 */
export class RequestReplay {
  private readonly clock = ManualClock.create(1_000);
  private readonly agents: Agent[] = [];
  private readonly messages = new Map<string, AttemptMessage>();
  private readonly answers: string[] = [];
  private runs = 0;
  private lastCall = 0;

  private constructor(private readonly createSystem: () => System<AgentState>) {
    for (const index of [0, 1]) this.agents.push(this.createAgent(index, 0));
  }

  static create(createSystem: () => System<AgentState>): RequestReplay {
    return new RequestReplay(createSystem);
  }

  /** Carries out one step and compares the agents with the model's state after it. */
  run(label: string, after: RequestState): void {
    this.clock.advance(1);
    this.answers.length = 0;
    this.apply(label, after);
    this.check(label, after);
  }

  private apply(label: string, after: RequestState): void {
    const sent = /^entry (\d) sends an attempt to agent (\d)/.exec(label);
    if (sent !== null) {
      const { attempt } = after.sendings[Number(sent[1])]!;
      this.addMessage(`${sent[1]}.${attempt}`, Number(sent[2]));
    }
    const copy = /^copy of attempt (\S+) (reaches|finds) agent (\d)/.exec(label);
    if (copy !== null) this.deliver(copy[1]!, Number(copy[3]), copy[2] === 'finds');
    const done = /^endpoint of agent (\d) answers attempt (\S+)$/.exec(label);
    if (done !== null) {
      const arrival = { kind: 'endpointResponse', attemptId: done[2]!, response: OK } as const;
      this.receive(this.agents[Number(done[1])]!, arrival);
    }
    const restart = /^agent (\d) restarts$/.exec(label);
    if (restart !== null) {
      const index = Number(restart[1]);
      this.agents[index] = this.createAgent(index, after.agents[index]!.boot);
    }
  }

  private addMessage(attemptId: string, agent: number): void {
    const { self } = this.agents[agent]!.state;
    this.messages.set(attemptId, {
      ...{ attemptId, requestId: `request-${attemptId}`, endpointId: `${self.id}/kit` },
      ...{ agentBootId: self.bootId, remainingMs: 20_000, method: 'POST', path: '/' },
      ...{ headers: [], body: new Uint8Array(), maxResponseBytes: 1 },
    });
  }

  private deliver(attemptId: string, index: number, isBusy: boolean): void {
    const agent = this.agents[index]!;
    const endpointId = `${agent.state.self.id}/kit`;
    if (isBusy) agent.state.endpoints.update(endpointId, { slots: 0 });
    this.lastCall += 1;
    const message = this.messages.get(attemptId)!;
    this.receive(agent, { kind: 'attempt', callId: `call-${this.lastCall}`, message });
    if (isBusy) agent.state.endpoints.update(endpointId, { slots: SLOTS });
  }

  private receive(agent: Agent, arrival: AgentArrival): void {
    agent.loop.receive(arrival);
    agent.loop.runTick();
  }

  private createAgent(index: number, boot: number): Agent {
    const id = `agent-${index}`;
    const state = createAgentState({
      ...{ id, bootId: `boot-${boot}`, address: id, region: 'r', zone: 'a' },
      ...{ seedAddresses: [], hasWorker: false },
    });
    state.self.phase = 'serving';
    state.endpoints.set(createLocalEndpoint(id, SLOTS));
    const loop = Loop.create<AgentArrival, AgentEffect, AgentState>({
      ...{ state, systems: [this.createSystem()], clock: this.clock },
      random: SeededRandom.create(1),
      handleEffect: (effect) => {
        if (effect.kind === 'forwardAttempt') this.runs += 1;
        if (effect.kind === 'answerAttempt') {
          const { attemptId, outcome } = effect.reply;
          const isRestart =
            outcome.kind === 'rejected' && outcome.failure.kind === 'agent_restarted';
          this.answers.push(`${attemptId} ${isRestart ? 'restarted' : outcome.kind}`);
        }
      },
    });
    return { state, loop };
  }

  /** Runs, records of each agent and the answers of the step. */
  private check(label: string, after: RequestState): void {
    compare(label, 'runs', this.runs, after.runs);
    after.agents.forEach(({ records }, index) => {
      compare(
        label,
        `records of agent ${index}`,
        this.listRecords(index),
        records.map(({ sending, attempt, phase }) => `${sending}.${attempt} ${phase}`).sort(),
      );
    });
    const known = after.answers.map(
      ({ sending, attempt, kind }) => `${sending}.${attempt} ${kind}`,
    );
    for (const answer of this.answers)
      if (!known.includes(answer)) throw new Error(`${label}: the model has no answer ${answer}`);
  }

  /** The model keeps no record of a copy that an agent rejected because of its boot. */
  private listRecords(index: number): string[] {
    return this.agents[index]!.state.attempts.list()
      .map(({ id, phase, reply }) => {
        const outcome = reply?.outcome;
        if (outcome?.kind !== 'rejected') return `${id} ${phase}`;
        return outcome.failure.kind === 'agent_restarted' ? '' : `${id} rejected`;
      })
      .filter((record) => record !== '')
      .sort();
  }
}

function compare(label: string, quantity: string, real: unknown, model: unknown): void {
  const [left, right] = [JSON.stringify(real), JSON.stringify(model)];
  if (left !== right) throw new Error(`${label}: ${quantity}: code ${left}, model ${right}`);
}
