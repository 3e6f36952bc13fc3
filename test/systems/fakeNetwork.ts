import { ManualClock } from '../../src/base/common/clock.ts';
import type { Failure } from '../../src/base/common/errors.ts';
import { Loop } from '../../src/base/common/loop.ts';
import { SeededRandom } from '../../src/base/common/seededRandom.ts';
import type { AgentState } from '../../src/model/agentState.ts';
import { createAgentState } from '../../src/model/agentState.ts';
import type {
  AgentArrival,
  AgentEffect,
  EntryArrival,
  EntryEffect,
} from '../../src/model/effects.ts';
import type { EntryState } from '../../src/model/entryState.ts';
import { createEntryState } from '../../src/model/entryState.ts';
import type { PeerReply } from '../../src/model/peer.ts';
import type { AttemptMessage, AttemptReply, Response } from '../../src/model/request.ts';
import { AttemptSystem } from '../../src/systems/attempts/attemptSystem.ts';
import { AgentDrainSystem } from '../../src/systems/drain/agentDrainSystem.ts';
import { createEntrySystems } from '../../src/systems/entrySystems.ts';
import type { EndpointBehaviour, LinkFaults } from './fakeEndpoint.ts';
import { createEndpointRow, createLocalEndpoint, createRoute, OK } from './fakeEndpoint.ts';

interface EntryProcess {
  readonly state: EntryState;
  readonly loop: Loop<EntryArrival, EntryEffect, EntryState>;
}

interface AgentProcess {
  readonly state: AgentState;
  readonly loop: Loop<AgentArrival, AgentEffect, AgentState>;
}

/**
 * Connects entries and agents by links that lose, delay, duplicate and reorder messages. Tests
 * advance the clock.
 */
export class FakeNetwork {
  readonly clock = ManualClock.create(1_000);
  readonly random: SeededRandom;
  readonly entries = new Map<string, EntryProcess>();
  readonly agents = new Map<string, AgentProcess>();
  readonly faults: LinkFaults = { loss: 0, duplicate: 0, maxDelayMs: 0 };
  readonly runs = new Map<string, number>();
  readonly answers = new Map<string, Response | Failure>();
  readonly exits: string[] = [];
  endpointBehaviour: EndpointBehaviour = () => ({
    afterMs: 5,
    outcome: { kind: 'response', response: OK },
  });
  readonly peerCalls: string[] = [];
  private readonly agentReplies = new Map<string, (reply: AttemptReply | undefined) => void>();
  private readonly peerReplies = new Map<string, (reply: PeerReply) => void>();
  private events: { atMs: number; sequence: number; run: () => void }[] = [];
  private readonly wakeTimes = new Map<string, number>();
  private lastSequence = 0;

  constructor(seed: number) {
    this.random = SeededRandom.create(seed);
  }

  addEntry(id: string, route: object, zone = 'a'): EntryState {
    const state = createEntryState({ id, region: 'r', zone, address: id }, `${id}-boot`);
    state.self.phase = 'serving';
    state.configuration.current = {
      ...state.configuration.current,
      routes: [createRoute(route)],
    };
    const loop = Loop.create<EntryArrival, EntryEffect, EntryState>({
      state,
      systems: createEntrySystems(),
      clock: this.clock,
      random: this.random,
      handleEffect: (effect) => {
        this.handleEntryEffect(id, effect);
      },
    });
    this.entries.set(id, { state, loop });
    this.setMembership([...this.entries.keys()]);
    return state;
  }

  /** Sets the same membership at every entry. */
  setMembership(ids: readonly string[]): void {
    for (const { state } of this.entries.values()) {
      state.entries.clear();
      for (const id of ids) {
        const info = this.entries.get(id)?.state.self.info;
        if (info !== undefined) state.entries.set({ ...info, lastHeardMs: this.clock.now });
      }
    }
  }

  /** Adds an agent with one endpoint, or replaces it by a new boot. */
  addAgent(id: string, boot: string, slots = 2): AgentState {
    const state = createAgentState({
      id,
      bootId: boot,
      address: id,
      region: 'r',
      zone: 'a',
      seedAddresses: [],
      hasWorker: false,
    });
    state.self.phase = 'serving';
    state.endpoints.set(createLocalEndpoint(id, slots));
    const loop = Loop.create<AgentArrival, AgentEffect, AgentState>({
      state,
      systems: [AttemptSystem.create(), AgentDrainSystem.create()],
      clock: this.clock,
      random: this.random,
      handleEffect: (effect) => {
        this.handleAgentEffect(id, boot, effect);
      },
    });
    this.agents.set(id, { state, loop });
    return state;
  }

  /** Registers the endpoint of the agent's current boot at an entry. */
  registerEndpoint(entryId: string, agentId: string): void {
    const agent = this.agents.get(agentId)!.state.self;
    const state = this.entries.get(entryId)!.state;
    const id = `${agentId}/kit`;
    const inFlight = state.endpoints.get(id)?.inFlight ?? 0;
    state.endpoints.set(createEndpointRow(agent, this.clock.now, inFlight));
  }

  /** Restarts an agent after a crash: its state is lost and its open calls fail after 1 ms. */
  restartAgent(id: string, boot: string): void {
    const open = [...this.agentReplies].filter(([callId]) => callId.startsWith(`${id}|`));
    this.addAgent(id, boot);
    for (const [callId, reply] of open) {
      this.agentReplies.delete(callId);
      this.schedule(1, () => {
        reply(undefined);
      });
    }
  }

  sendRequest(entryId: string, requestId: string, fields: object = {}): void {
    this.sendToEntry(entryId, {
      kind: 'callerRequest',
      request: {
        requestId,
        method: 'POST',
        host: 'h',
        path: '/x',
        headers: [],
        body: new Uint8Array(),
        isRepeat: false,
        ...fields,
      },
    });
  }

  sendToEntry(id: string, arrival: EntryArrival): void {
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    entry.state.inbox.append(arrival);
    this.runEntry(id);
  }

  sendToAgent(id: string, boot: string, arrival: AgentArrival): boolean {
    const agent = this.agents.get(id);
    if (agent?.state.self.bootId !== boot) return false;
    agent.state.inbox.append(arrival);
    this.runAgent(id, boot);
    return true;
  }

  schedule(delayMs: number, run: () => void): void {
    this.lastSequence += 1;
    this.events.push({ atMs: this.clock.now + delayMs, sequence: this.lastSequence, run });
  }

  /** Advances the clock by `durationMs` and runs every event that becomes due. */
  runFor(durationMs: number): void {
    const untilMs = this.clock.now + durationMs;
    for (;;) {
      this.events.sort((a, b) => a.atMs - b.atMs || a.sequence - b.sequence);
      const next = this.events[0];
      if (next === undefined || next.atMs > untilMs) break;
      this.events.shift();
      this.clock.advance(Math.max(0, next.atMs - this.clock.now));
      next.run();
    }
    this.clock.advance(untilMs - this.clock.now);
  }

  private runEntry(id: string): void {
    const wakeAt = this.entries.get(id)?.loop.runTick() ?? Number.POSITIVE_INFINITY;
    this.scheduleWake(id, wakeAt, () => {
      this.runEntry(id);
    });
  }

  private runAgent(id: string, boot: string): void {
    const agent = this.agents.get(id);
    if (agent?.state.self.bootId !== boot) return;
    this.scheduleWake(`${id}/${boot}`, agent.loop.runTick(), () => {
      this.runAgent(id, boot);
    });
  }

  /** Schedules the next tick of a process; only the earliest wake time is retained. */
  private scheduleWake(name: string, wakeAt: number, run: () => void): void {
    const isLater = wakeAt >= (this.wakeTimes.get(name) ?? Number.POSITIVE_INFINITY);
    if (isLater || this.exits.includes(name)) return;
    this.wakeTimes.set(name, wakeAt);
    this.schedule(Math.max(0.01, wakeAt - this.clock.now), () => {
      if (this.wakeTimes.get(name) !== wakeAt) return;
      this.wakeTimes.delete(name);
      run();
    });
  }

  private handleEntryEffect(id: string, effect: EntryEffect): void {
    if (effect.kind === 'answerCaller') this.recordAnswer(effect.requestId, effect.response);
    if (effect.kind === 'refuseCaller') this.recordAnswer(effect.requestId, effect.failure);
    if (effect.kind === 'exit') this.exits.push(id);
    if (effect.kind === 'sendAttempt') this.sendAttempt(id, effect.address, effect.message);
    if (effect.kind === 'abandonAttempt') {
      const boot = this.agents.get(effect.address)?.state.self.bootId ?? '';
      this.schedule(this.pickDelayMs(), () => {
        const arrival = { kind: 'attemptAbandoned' as const, attemptId: effect.attemptId };
        this.sendToAgent(effect.address, boot, arrival);
      });
    }
    if (effect.kind === 'callPeer') this.sendPeerCall(id, effect);
    if (effect.kind === 'answerPeer') {
      this.peerReplies.get(effect.callId)?.(effect.reply);
      this.peerReplies.delete(effect.callId);
    }
  }

  private recordAnswer(requestId: string, answer: Response | Failure): void {
    if (this.answers.has(requestId)) throw new Error(`${requestId} was answered twice`);
    this.answers.set(requestId, answer);
  }

  /** Sends an attempt on a connection to one boot; a duplicate never reaches another boot. */
  private sendAttempt(entryId: string, agentId: string, message: AttemptMessage): void {
    const { attemptId } = message;
    const boot = this.agents.get(agentId)?.state.self.bootId ?? '';
    const sendLinkFailure = (): void => {
      const message = 'UNAVAILABLE: lost';
      this.sendToEntry(entryId, { kind: 'attemptLinkFailed', attemptId, message });
    };
    const receive = (reply: AttemptReply | undefined): void => {
      if (reply === undefined || this.shouldInjectFault('loss'))
        this.schedule(this.pickDelayMs(), sendLinkFailure);
      else
        this.scheduleDelivery(() => {
          this.sendToEntry(entryId, { kind: 'attemptReply', attemptId, reply });
        });
    };
    const isLost = this.shouldInjectFault('loss');
    if (isLost) this.schedule(this.pickDelayMs(), sendLinkFailure);
    // A link may fail at the sender although the message still arrives.
    if (isLost && this.random.takeUnit() < 0.5) return;
    this.scheduleDelivery(() => {
      const callId = `${agentId}|${this.random.takeId()}`;
      this.agentReplies.set(callId, receive);
      if (this.sendToAgent(agentId, boot, { kind: 'attempt', callId, message })) return;
      this.agentReplies.delete(callId);
      this.schedule(1, sendLinkFailure);
    });
  }

  private sendPeerCall(
    from: string,
    { address, callId, call, timeoutMs }: Extract<EntryEffect, { kind: 'callPeer' }>,
  ): void {
    this.peerCalls.push(`${from}>${address} ${call.kind}`);
    let isAnswered = false;
    const receive = (reply: PeerReply | undefined): void => {
      if (isAnswered) return;
      isAnswered = true;
      this.sendToEntry(from, { kind: 'peerReply', callId, reply });
    };
    this.schedule(timeoutMs, () => {
      receive(undefined);
    });
    if (this.shouldInjectFault('loss')) return;
    this.scheduleDelivery(() => {
      const remoteId = `${from}|${this.random.takeId()}`;
      this.peerReplies.set(remoteId, (reply) => {
        if (this.shouldInjectFault('loss')) return;
        this.schedule(this.pickDelayMs(), () => {
          receive(reply);
        });
      });
      this.sendToEntry(address, { kind: 'peerCall', callId: remoteId, from, call });
    });
  }

  private handleAgentEffect(id: string, boot: string, effect: AgentEffect): void {
    if (effect.kind === 'exit') this.exits.push(id);
    if (effect.kind === 'answerAttempt') {
      this.agentReplies.get(effect.callId)?.(effect.reply);
      this.agentReplies.delete(effect.callId);
    }
    if (effect.kind !== 'forwardAttempt') return;
    const { attemptId, requestId } = effect.message;
    const { afterMs, outcome } = this.endpointBehaviour(effect.message);
    if (outcome.kind === 'response' || outcome.sent)
      this.runs.set(requestId, (this.runs.get(requestId) ?? 0) + 1);
    this.schedule(afterMs, () => {
      const arrival: AgentArrival =
        outcome.kind === 'response'
          ? { kind: 'endpointResponse', attemptId, response: outcome.response }
          : { kind: 'endpointFailed', attemptId, failure: outcome.failure, sent: outcome.sent };
      this.sendToAgent(id, boot, arrival);
    });
  }

  private scheduleDelivery(run: () => void): void {
    this.schedule(this.pickDelayMs(), run);
    if (this.shouldInjectFault('duplicate')) this.schedule(this.pickDelayMs(), run);
  }

  private shouldInjectFault(kind: 'loss' | 'duplicate'): boolean {
    return this.faults[kind] > 0 && this.random.takeUnit() < this.faults[kind];
  }

  private pickDelayMs(): number {
    return this.faults.maxDelayMs > 0 ? this.random.takeUnit() * this.faults.maxDelayMs : 0.1;
  }
}
