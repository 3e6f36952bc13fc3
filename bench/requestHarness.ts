import { ManualClock } from '../src/base/common/clock.ts';
import { createFailure } from '../src/base/common/errors.ts';
import { Loop } from '../src/base/common/loop.ts';
import { SeededRandom } from '../src/base/common/seededRandom.ts';
import type { System } from '../src/base/common/system.ts';
import type { AgentState } from '../src/model/agentState.ts';
import { createAgentState } from '../src/model/agentState.ts';
import type { RouteConfig } from '../src/model/configuration.ts';
import type { AgentArrival, AgentEffect, EntryArrival, EntryEffect } from '../src/model/effects.ts';
import type { EntryState } from '../src/model/entryState.ts';
import { createEntryState } from '../src/model/entryState.ts';
import type { AdmissionPolicy } from '../src/systems/admission/admissionPolicy.ts';
import { createAgentSystems } from '../src/systems/agentSystems.ts';
import { createEntrySystems } from '../src/systems/entrySystems.ts';
import type { RoutingPolicy } from '../src/systems/routing/routingPolicy.ts';
import { EventQueue } from './eventQueue.ts';
import type { CallerOutcome, EndpointFault } from './serviceModel.ts';
import {
  CALLER_DELAY_MS,
  ENDPOINTS,
  SLOTS,
  takeLinkMs,
  takeServiceMs,
  ZONES,
} from './serviceModel.ts';

export interface HarnessOptions {
  readonly seed: number;
  readonly entries: number;
  readonly lossShare: number;
  readonly routes: readonly RouteConfig[];
  readonly createRouting: () => RoutingPolicy;
  readonly createAdmission: () => AdmissionPolicy;
  readonly createExtraSystems?: () => System<EntryState>[];
}

interface Driver {
  readonly runTick: () => number;
  nextTickMs: number;
}

interface EntryNode extends Driver {
  readonly state: EntryState;
  readonly loop: Loop<EntryArrival, EntryEffect, EntryState>;
}

interface AgentNode extends Driver {
  readonly state: AgentState;
  readonly loop: Loop<AgentArrival, AgentEffect, AgentState>;
}

/** Runs real entry and agent systems on a manual clock over links with delay, jitter and loss. */
export class RequestHarness {
  readonly clock = ManualClock.create();
  readonly outcomes = new Map<string, CallerOutcome>();
  readonly entries: EntryNode[] = [];
  readonly agents: AgentNode[] = [];
  readonly faults: EndpointFault[] = [];
  /** Attempts that each endpoint was given. */
  readonly forwarded: number[] = [];
  attemptsSent = 0;
  private readonly events = EventQueue.create();
  private readonly random: SeededRandom;
  private readonly openAttempts = new Set<string>();
  private nextRequest = 1;

  private constructor(private readonly options: HarnessOptions) {
    this.random = SeededRandom.create(options.seed);
    for (let index = 0; index < options.entries; index += 1) this.addEntry(index);
    for (const { state } of this.entries) {
      for (const peer of this.entries)
        state.entries.set({ ...peer.state.self.info, lastHeardMs: 0 });
    }
    for (let index = 0; index < ENDPOINTS; index += 1) this.addAgent(index);
  }

  static create(options: HarnessOptions): RequestHarness {
    const harness = new RequestHarness(options);
    harness.run(1_500);
    return harness;
  }

  /** Advances the clock to the given time. */
  run(untilMs: number): void {
    for (;;) {
      const event = this.events.take(untilMs);
      if (event === undefined) break;
      this.clock.advance(event.atMs - this.clock.now);
      event.run();
    }
    this.clock.advance(untilMs - this.clock.now);
  }

  /** Sends Poisson traffic from now until the given time; returns when that time is reached. */
  runLoad(
    untilMs: number,
    ratePerSecond: number,
    chooseRoute: (unit: number) => RouteConfig,
  ): void {
    let atMs = this.clock.now;
    for (;;) {
      atMs += this.random.takeExponential(1_000 / ratePerSecond);
      if (atMs >= untilMs) break;
      this.run(atMs);
      this.sendRequest(chooseRoute(this.random.takeUnit()));
    }
    this.run(untilMs);
  }

  private sendRequest(route: RouteConfig): void {
    const requestId = `r${this.nextRequest}`;
    this.nextRequest += 1;
    const sentMs = this.clock.now;
    this.outcomes.set(requestId, { route: route.name, sentMs, doneMs: 0, result: 'open', runs: 0 });
    const entry = this.entries[this.random.takeInt(0, this.entries.length - 1)];
    const request = {
      requestId,
      method: route.methods[0] ?? ('GET' as const),
      host: 'kits',
      path: route.pathPrefix,
      headers: [],
      body: new Uint8Array(),
      isRepeat: false,
    };
    this.schedule(CALLER_DELAY_MS, () => {
      if (entry !== undefined) this.receive(entry, entry.loop, { kind: 'callerRequest', request });
    });
  }

  private addEntry(index: number): void {
    const zone = ZONES[index % ZONES.length] ?? ZONES[0];
    const address = `entry-${index}`;
    const state = createEntryState({ id: address, region: 'kr-south', zone, address }, address);
    state.configuration.current = {
      ...state.configuration.current,
      revision: 1,
      routes: [...this.options.routes],
    };
    const loop = Loop.create<EntryArrival, EntryEffect, EntryState>({
      state,
      systems: [
        ...createEntrySystems({
          routing: this.options.createRouting(),
          admission: this.options.createAdmission(),
        }),
        ...(this.options.createExtraSystems?.() ?? []),
      ],
      clock: this.clock,
      random: SeededRandom.create(this.options.seed * 100 + index),
      handleEffect: (effect) => {
        this.handleEntryEffect(node, effect);
      },
    });
    const node: EntryNode = { state, loop, runTick: () => loop.runTick(), nextTickMs: Infinity };
    this.entries.push(node);
  }

  private addAgent(index: number): void {
    const zone = ZONES[index % ZONES.length] ?? ZONES[0];
    const id = `agent-${index}`;
    const state = createAgentState({
      id,
      bootId: id,
      address: id,
      region: 'kr-south',
      zone,
      seedAddresses: this.entries.map((entry) => entry.state.self.info.address),
      hasWorker: false,
    });
    const loop = Loop.create<AgentArrival, AgentEffect, AgentState>({
      state,
      systems: createAgentSystems(),
      clock: this.clock,
      random: SeededRandom.create(this.options.seed * 1_000 + index),
      handleEffect: (effect) => {
        this.handleAgentEffect(node, index, effect);
      },
    });
    const node: AgentNode = { state, loop, runTick: () => loop.runTick(), nextTickMs: Infinity };
    this.agents.push(node);
    this.faults.push('none');
    this.forwarded.push(0);
    const origin = 'http://127.0.0.1:9000';
    const announcement = { name: 'kit', service: 'kit', origin, slots: SLOTS, connections: 60 };
    this.receive(node, loop, { kind: 'endpointAnnounced', announcement });
  }

  private receive<Arrival>(
    node: Driver,
    loop: { receive(arrival: Arrival): void },
    arrival: Arrival,
  ): void {
    loop.receive(arrival);
    this.runTick(node);
  }

  private runTick(node: Driver): void {
    const wakeAtMs = Math.max(node.runTick(), this.clock.now + 0.01);
    if (wakeAtMs === Infinity || (node.nextTickMs > this.clock.now && node.nextTickMs <= wakeAtMs))
      return;
    node.nextTickMs = wakeAtMs;
    this.schedule(wakeAtMs - this.clock.now, () => {
      if (node.nextTickMs === wakeAtMs) this.runTick(node);
    });
  }

  private handleEntryEffect(entry: EntryNode, effect: EntryEffect): void {
    if (effect.kind === 'answerCaller')
      this.close(effect.requestId, effect.response.status < 500 ? 'answered' : 'failed');
    else if (effect.kind === 'refuseCaller') this.close(effect.requestId, effect.failure.kind);
    else if (effect.kind === 'sendAttempt') this.sendAttempt(entry, effect);
    else if (effect.kind === 'callPeer') this.sendPeerCall(entry, effect);
    else if (effect.kind === 'answerPeer') {
      const [entryAt = '', callId = ''] = effect.callId.split('|');
      const peer = this.entries[Number(entryAt)];
      if (peer === undefined) return;
      this.send(entry.state.self.info.zone, peer.state.self.info.zone, () => {
        this.receive(peer, peer.loop, { kind: 'peerReply', callId, reply: effect.reply });
      });
    } else if (effect.kind === 'answerExchange') {
      const [agentAt = '', callId = ''] = effect.callId.split('|');
      const agent = this.agents[Number(agentAt)];
      if (agent === undefined) return;
      this.send(entry.state.self.info.zone, agent.state.self.zone, () => {
        const { reply } = effect;
        this.receive(agent, agent.loop, { kind: 'exchangeReply', callId, reply });
      });
    }
  }

  /** Entries tell each other of the endpoints that their own agents announce. */
  private sendPeerCall(
    entry: EntryNode,
    { address, call, callId }: Extract<EntryEffect, { kind: 'callPeer' }>,
  ): void {
    const peer = this.entries.find((node) => node.state.self.info.address === address);
    if (peer === undefined) return;
    const { id, zone } = entry.state.self.info;
    const outerId = `${this.entries.indexOf(entry)}|${callId}`;
    this.send(zone, peer.state.self.info.zone, () => {
      this.receive(peer, peer.loop, { kind: 'peerCall', callId: outerId, from: id, call });
    });
  }

  private sendAttempt(
    entry: EntryNode,
    effect: Extract<EntryEffect, { kind: 'sendAttempt' }>,
  ): void {
    const { message, address } = effect;
    const { attemptId } = message;
    const agent = this.agents.find((candidate) => candidate.state.self.id === address);
    if (agent === undefined) return;
    this.attemptsSent += 1;
    this.openAttempts.add(attemptId);
    const callId = `${this.entries.indexOf(entry)}|${attemptId}`;
    this.send(entry.state.self.info.zone, agent.state.self.zone, () => {
      this.receive(agent, agent.loop, { kind: 'attempt', callId, message });
    });
    this.schedule(message.remainingMs, () => {
      if (!this.openAttempts.delete(attemptId)) return;
      const arrival = { kind: 'attemptLinkFailed', attemptId, message: 'timeout' } as const;
      this.receive(entry, entry.loop, arrival);
    });
  }

  private handleAgentEffect(agent: AgentNode, index: number, effect: AgentEffect): void {
    if (effect.kind === 'sendExchange') {
      const entry = this.entries.find((node) => node.state.self.info.address === effect.address);
      if (entry === undefined) return;
      const { request } = effect;
      const callId = `${index}|${effect.callId}`;
      this.send(agent.state.self.zone, entry.state.self.info.zone, () => {
        this.receive(entry, entry.loop, { kind: 'exchange', callId, request });
      });
    } else if (effect.kind === 'answerAttempt') {
      const [entryAt = ''] = effect.callId.split('|');
      const entry = this.entries[Number(entryAt)];
      if (entry === undefined) return;
      const { reply } = effect;
      this.send(agent.state.self.zone, entry.state.self.info.zone, () => {
        const { attemptId } = reply;
        if (this.openAttempts.delete(attemptId))
          this.receive(entry, entry.loop, { kind: 'attemptReply', attemptId, reply });
      });
    } else if (effect.kind === 'forwardAttempt') this.runEndpoint(agent, index, effect);
  }

  private runEndpoint(
    agent: AgentNode,
    index: number,
    effect: Extract<AgentEffect, { kind: 'forwardAttempt' }>,
  ): void {
    const { attemptId, requestId } = effect.message;
    const fault = this.faults[index];
    this.forwarded[index] = (this.forwarded[index] ?? 0) + 1;
    const outcome = this.outcomes.get(requestId);
    if (outcome !== undefined && fault !== 'refusing') outcome.runs += 1;
    const durationMs = takeServiceMs(this.random, fault);
    const isTimeout = durationMs >= effect.timeoutMs;
    this.schedule(Math.max(0, Math.min(durationMs, effect.timeoutMs)), () => {
      if (fault === 'refusing' || isTimeout) {
        const kind = isTimeout ? 'deadline_exceeded_running' : 'endpoint_failed';
        const failure = createFailure(kind, 'no answer from the endpoint');
        const sent = fault !== 'refusing';
        this.receive(agent, agent.loop, { kind: 'endpointFailed', attemptId, failure, sent });
        return;
      }
      const status = fault === 'failing' ? 503 : 200;
      const response = { status, headers: [], body: new Uint8Array() };
      this.receive(agent, agent.loop, { kind: 'endpointResponse', attemptId, response });
    });
  }

  private send(fromZone: string, toZone: string, deliver: () => void): void {
    this.schedule(takeLinkMs(this.random, fromZone === toZone, this.options.lossShare), deliver);
  }

  private close(requestId: string, result: CallerOutcome['result']): void {
    const outcome = this.outcomes.get(requestId);
    if (outcome === undefined) return;
    outcome.result = result;
    outcome.doneMs = this.clock.now + CALLER_DELAY_MS;
  }

  private schedule(delayMs: number, run: () => void): void {
    this.events.add({ atMs: this.clock.now + delayMs, run });
  }
}
