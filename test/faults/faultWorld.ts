import type { System } from '../../src/base/common/system.ts';
import type {
  AgentEffect,
  EntryArrival,
  EntryEffect,
  JsonAnswer,
} from '../../src/model/effects.ts';
import type { Failure } from '../../src/base/common/errors.ts';
import type { EntryState } from '../../src/model/entryState.ts';
import type { AttemptReply, Response } from '../../src/model/request.ts';
import { createEntrySystems } from '../../src/systems/entrySystems.ts';
import { ShardWorld } from '../support/shardWorld.ts';
import type { SimAgent, SimEntry, WorldOptions } from '../support/worldTypes.ts';
import { createRoute } from '../systems/fakeEndpoint.ts';

/** Time for which the fake endpoint works on an attempt. */
const RUN_MS = 400;

export interface SentRequest {
  readonly id: string;
  readonly key: string;
  readonly entry: SimEntry;
  answer: Response | Failure | undefined;
  /** Set when the entry died first; its caller has sent the request again. */
  isBroken: boolean;
  /** Set when the caller closed its connection before the answer. */
  isGone: boolean;
  readonly sentMs: number;
}

/** A shard world whose entries run all systems, with endpoints, callers and operators. */
export class FaultWorld extends ShardWorld {
  readonly requests = new Map<string, SentRequest>();
  /** Forwarded attempts: time, request key and agent. */
  readonly forwards: { atMs: number; key: string; agentId: string }[] = [];
  readonly operatorAnswers = new Map<string, JsonAnswer>();
  readonly exits: string[] = [];
  /** Broken promises that were seen while an effect was carried out. */
  readonly faults: string[] = [];
  /** Breaks the connection of each attempt before the answer. */
  losesAttempts = false;
  private readonly attemptCalls = new Map<string, (reply: unknown) => void>();

  static override create(options: WorldOptions = {}): FaultWorld {
    const world = new FaultWorld(options);
    world.start();
    for (const agent of world.agents) world.announceEndpoint(agent);
    return world;
  }

  protected override createSystems(): System<EntryState>[] {
    return createEntrySystems();
  }

  override setConfiguration(zonesOut: string[]): void {
    super.setConfiguration(zonesOut, { routes: [createRoute({ pool: 'batch' })] });
  }

  announceEndpoint(agent: SimAgent, name = 'kit'): void {
    const announcement = { name, service: 'kit', origin: 'http://kit', slots: 2, connections: 60 };
    agent.loop.receive({ kind: 'endpointAnnounced', announcement });
  }

  override restartAgent(index: number): void {
    super.restartAgent(index);
    this.announceEndpoint(this.agents[index]!);
  }

  sendRequest(entry: SimEntry, key = `key-${this.nextId}`, isRepeat = false): SentRequest {
    const id = `request-${this.nextId++}`;
    const sent: SentRequest = {
      id,
      key,
      entry,
      answer: undefined,
      isBroken: false,
      isGone: false,
      sentMs: this.clock.now,
    };
    this.requests.set(id, sent);
    const request = {
      requestId: id,
      method: 'POST' as const,
      host: 'h',
      path: `/${key}`,
      headers: [],
      body: new Uint8Array(),
      idempotencyKey: key,
      isRepeat,
    };
    entry.loop.receive({ kind: 'callerRequest', request });
    return sent;
  }

  sendOperatorCall(entry: SimEntry, call: Extract<EntryArrival, { kind: 'operatorCall' }>['call']) {
    const callId = `operator-${this.nextId++}`;
    entry.loop.receive({ kind: 'operatorCall', callId, call });
    return callId;
  }

  protected override handleEntryEffect(entry: SimEntry, effect: EntryEffect): void {
    if (effect.kind === 'answerCaller') this.recordAnswer(entry, effect.requestId, effect.response);
    else if (effect.kind === 'refuseCaller')
      this.recordAnswer(entry, effect.requestId, effect.failure);
    else if (effect.kind === 'answerOperator')
      this.operatorAnswers.set(effect.callId, effect.answer);
    else if (effect.kind === 'sendAttempt') this.sendAttempt(entry, effect);
    else if (effect.kind === 'exit') {
      this.exits.push(entry.state.self.bootId);
      entry.isDead = true;
    } else super.handleEntryEffect(entry, effect);
  }

  protected override handleAgentEffect(agent: SimAgent, effect: AgentEffect): void {
    if (effect.kind === 'answerAttempt') this.attemptCalls.get(effect.callId)?.(effect.reply);
    else if (effect.kind === 'exit') this.exits.push(agent.state.self.bootId);
    else if (effect.kind === 'forwardAttempt') {
      const { attemptId, path } = effect.message;
      this.forwards.push({ atMs: this.clock.now, key: path.slice(1), agentId: agent.id });
      const response = { status: 200, headers: [], body: new TextEncoder().encode(path.slice(1)) };
      this.network.schedule(RUN_MS, () => {
        agent.loop.receive({ kind: 'endpointResponse', attemptId, response });
      });
    } else super.handleAgentEffect(agent, effect);
  }

  private recordAnswer(entry: SimEntry, id: string, answer: Response | Failure): void {
    const sent = this.requests.get(id)!;
    if (entry.isDead || sent.isBroken) return;
    if (sent.answer !== undefined) this.faults.push(`P5: ${id} was answered twice`);
    sent.answer = answer;
  }

  private sendAttempt(entry: SimEntry, effect: Extract<EntryEffect, { kind: 'sendAttempt' }>) {
    const { attemptId } = effect.message;
    const target = this.agents.find((agent) => agent.state.self.address === effect.address);
    this.network.send(
      2_000,
      (answer) => {
        // A connection leads to one boot of the agent.
        if (target === undefined || !this.agents.includes(target) || target.isCut) return;
        const callId = `attempt-${this.nextId++}`;
        this.attemptCalls.set(callId, answer);
        target.loop.receive({ kind: 'attempt', callId, message: effect.message });
      },
      (reply) => {
        if (reply === undefined || this.losesAttempts)
          entry.loop.receive({ kind: 'attemptLinkFailed', attemptId, message: 'UNAVAILABLE' });
        else entry.loop.receive({ kind: 'attemptReply', attemptId, reply: reply as AttemptReply });
      },
    );
  }
}
