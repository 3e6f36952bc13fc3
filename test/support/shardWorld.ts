import { ManualClock } from '../../src/base/common/clock.ts';
import { Loop } from '../../src/base/common/loop.ts';
import type { System } from '../../src/base/common/system.ts';
import { SeededRandom } from '../../src/base/common/seededRandom.ts';
import type { AgentState } from '../../src/model/agentState.ts';
import { createAgentState } from '../../src/model/agentState.ts';
import type { Configuration } from '../../src/model/configuration.ts';
import type {
  AgentArrival,
  AgentEffect,
  EntryArrival,
  EntryEffect,
  JobCall,
  JsonAnswer,
} from '../../src/model/effects.ts';
import type { EntryState } from '../../src/model/entryState.ts';
import { createEntryState } from '../../src/model/entryState.ts';
import type { StoreCall, StoreReply } from '../../src/model/store.ts';
import { MemoryStore } from '../../src/standins/memoryStore.ts';
import { MemoryWorker } from '../../src/standins/memoryWorker.ts';
import {
  CONFIGURATION_KEY,
  ConfigurationReadSystem,
} from '../../src/systems/configuration/configurationReadSystem.ts';
import { ShardOwnershipSystem } from '../../src/systems/shardOwnership/shardOwnershipSystem.ts';
import { JobSystem } from '../../src/systems/jobs/jobSystem.ts';
import { LeaseSystem } from '../../src/systems/leases/leaseSystem.ts';
import { LedgerSystem } from '../../src/systems/ledger/ledgerSystem.ts';
import { createAgentSystems } from '../../src/systems/agentSystems.ts';
import { ExchangeSystem } from '../../src/systems/membership/exchangeSystem.ts';
import { OrderedMove } from '../../src/systems/evacuation/evacuationPolicy.ts';
import { createPlacementSystems } from '../../src/systems/entrySystems.ts';
import { InterferenceAwarePlacement } from '../../src/systems/placement/placementPolicy.ts';
import { RecoverySystem } from '../../src/systems/recovery/recoverySystem.ts';
import type { LinkFault } from './simNetwork.ts';
import type { SimAgent, SimEntry, WorldOptions } from './worldTypes.ts';
import { SimNetwork } from './simNetwork.ts';

export const REGION = 'kr-south';
export const SHARD = 'kr-south';
export const ZONES = ['busan-a', 'ulsan-b'];
export const STEP_MS = 20;
const STORE_DELAY_MS = 4;

/** Simulates entries, agents, workers and a store on a manual clock, with injected faults. */
export class ShardWorld {
  readonly clock = ManualClock.create(1_000);
  readonly store = MemoryStore.create(this.clock);
  readonly entries: SimEntry[] = [];
  readonly agents: SimAgent[] = [];
  readonly answers = new Map<string, JsonAnswer>();
  readonly logs: { event: string; fields: Readonly<Record<string, unknown>> }[] = [];
  readonly storeCalls: StoreCall[] = [];
  isStoreDown = false;
  /** Whether the store executes the call but its reply is lost. */
  shouldLoseReply: (call: StoreCall) => boolean = () => false;
  /** Delay of a call on its way to the store; above the timeout, the call arrives late. */
  getStoreDelayMs: (call: StoreCall) => number = () => 0;
  private readonly random: SeededRandom;
  protected readonly network = SimNetwork.create(this.clock);
  protected nextId = 1;

  protected constructor(readonly options: WorldOptions) {
    this.random = SeededRandom.create(options.seed ?? 1);
  }

  static create(options: WorldOptions = {}): ShardWorld {
    const world = new ShardWorld(options);
    world.start();
    return world;
  }

  protected start(): void {
    this.setConfiguration([]);
    for (let index = 0; index < (this.options.entries ?? 2); index += 1) this.addEntry(index);
    for (let index = 0; index < (this.options.workers ?? 2); index += 1) this.addAgent(index);
  }

  protected createSystems(): System<EntryState>[] {
    const { graceMs } = this.options;
    return [
      ConfigurationReadSystem.create(),
      ShardOwnershipSystem.create(graceMs === undefined ? {} : { graceMs }),
      LedgerSystem.create(),
      LeaseSystem.create(),
      RecoverySystem.create(),
      JobSystem.create(),
      ...createPlacementSystems(InterferenceAwarePlacement.create(), OrderedMove.create()),
      ExchangeSystem.create(),
    ];
  }

  setConfiguration(zonesOut: string[], extra: Partial<Configuration> = {}): void {
    const reply = this.store.handle({ op: 'read', key: CONFIGURATION_KEY });
    const version = reply.kind === 'entry' ? reply.entry.version : 0;
    const pool = { name: 'batch', region: REGION, zones: ZONES, workClass: 'batch' as const };
    const value = {
      revision: version + 1,
      token: `t${version}`,
      routes: [],
      pools: [{ ...pool, services: [], quotas: [], spread: 'none', maxWorkerShare: 1 }],
      zonesOut,
      ...extra,
    };
    this.store.handle({ op: 'write', key: CONFIGURATION_KEY, expectedVersion: version, value });
  }

  get linkFault(): LinkFault {
    return this.network.linkFault;
  }

  set linkFault(fault: LinkFault) {
    this.network.linkFault = fault;
  }

  /** The entry that owns the shard, when exactly one running entry does. */
  get owner(): SimEntry | undefined {
    return this.entries.find((entry) => this.isOwner(entry) && !entry.isDead && !entry.isPaused);
  }

  isOwner(entry: SimEntry): boolean {
    return entry.state.duties.get(SHARD)?.phase === 'holding';
  }

  /** Stops an entry and starts a new process with the same id. */
  restartEntry(index: number): void {
    this.entries[index]!.isDead = true;
    this.addEntry(index);
  }

  restartAgent(index: number): void {
    const oldAgent = this.agents[index]!;
    this.agents[index] = this.createAgent(index, oldAgent.worker);
  }

  submit(entry: SimEntry, key: string, overrides: Record<string, unknown> = {}): string {
    const submission = {
      team: 'guides',
      idempotencyKey: key,
      pool: 'batch',
      taskKind: 'render',
      demand: { cores: 2, memoryMb: 1_000, accelerators: 0 },
      ...overrides,
    };
    return this.call(entry, { kind: 'submit', submission });
  }

  call(entry: SimEntry, call: JobCall): string {
    const callId = `call-${this.nextId++}`;
    entry.loop.receive({ kind: 'jobCall', callId, call });
    return callId;
  }

  getValue(callId: string): Record<string, unknown> | undefined {
    const answer = this.answers.get(callId);
    return answer?.kind === 'value' ? (answer.value as Record<string, unknown>) : undefined;
  }

  getFailure(callId: string): string | undefined {
    const answer = this.answers.get(callId);
    return answer?.kind === 'failure' ? answer.failure.kind : undefined;
  }

  /** Advances the clock in steps of `STEP_MS` and calls `check` after each. */
  run(durationMs: number, check: () => void = () => undefined): void {
    const until = this.clock.now + durationMs;
    while (this.clock.now < until) {
      this.step();
      check();
    }
  }

  /** Advances the clock until the condition holds; throws when the limit is exceeded. */
  runUntil(condition: () => boolean, limitMs: number, expected: string): number {
    const startMs = this.clock.now;
    while (!condition()) {
      if (this.clock.now - startMs > limitMs)
        throw new Error(`not within ${limitMs} ms: ${expected}`);
      this.step();
    }
    return this.clock.now - startMs;
  }

  listStarts(): { taskId: string; incarnation: number; atMs: number; worker: string }[] {
    return this.agents.flatMap(({ worker }) =>
      worker.starts.map((start) => ({ ...start, worker: worker.options.id })),
    );
  }

  private step(): void {
    this.clock.advance(STEP_MS);
    for (let round = 0; round < 4; round += 1) {
      if (!this.network.runDue() && round > 0) break;
      for (const entry of this.entries) if (!entry.isDead && !entry.isPaused) entry.loop.runTick();
      for (const agent of this.agents) agent.loop.runTick();
    }
  }

  private addEntry(index: number): void {
    const id = `entry-${index}`;
    const address = `10.0.0.${index}:1`;
    const info = { id, region: REGION, zone: ZONES[index % ZONES.length]!, address };
    const state = createEntryState(info, this.random.takeId());
    for (let peer = 0; peer < (this.options.entries ?? 2); peer += 1) {
      const row = { ...info, id: `entry-${peer}`, address: `10.0.0.${peer}:1`, lastHeardMs: 0 };
      state.entries.set(row);
    }
    const entry: SimEntry = {
      id,
      address,
      state,
      isPaused: false,
      isDead: false,
      loop: Loop.create<EntryArrival, EntryEffect, EntryState>({
        state,
        systems: this.createSystems(),
        clock: this.clock,
        random: this.random,
        handleEffect: (effect) => {
          this.handleEntryEffect(entry, effect);
        },
      }),
    };
    this.entries[index] = entry;
  }

  private addAgent(index: number): void {
    const { workMs } = this.options;
    const worker = MemoryWorker.create({
      id: `worker-${index}`,
      rack: 'r1',
      capacity: { cores: 8, memoryMb: 16_000, accelerators: 0 },
      clock: this.clock,
      clockOffsetMs: 7_000 * (index + 1),
      computeWorkMs: () => workMs ?? 5_000,
    });
    this.agents[index] = this.createAgent(index, worker);
  }

  private createAgent(index: number, worker: MemoryWorker): SimAgent {
    const id = `agent-${index}`;
    const zone = ZONES[index % ZONES.length]!;
    const state = createAgentState({
      id,
      bootId: this.random.takeId(),
      address: `10.0.1.${index}:1`,
      region: REGION,
      zone,
      seedAddresses: this.entries.map((entry) => entry.address),
      hasWorker: true,
    });
    const agent: SimAgent = {
      id,
      zone,
      worker,
      state,
      isCut: false,
      loop: Loop.create<AgentArrival, AgentEffect, AgentState>({
        state,
        systems: createAgentSystems(),
        clock: this.clock,
        random: this.random,
        handleEffect: (effect) => {
          this.handleAgentEffect(agent, effect);
        },
      }),
    };
    return agent;
  }

  private readonly exchanges = new Map<string, (reply: never) => void>();
  private readonly peerCalls = new Map<string, (reply: never) => void>();

  protected handleEntryEffect(entry: SimEntry, effect: EntryEffect): void {
    if (effect.kind === 'callStore') this.callStore(entry, effect);
    else if (effect.kind === 'answerJob') this.answers.set(effect.callId, effect.answer);
    else if (effect.kind === 'answerExchange')
      this.exchanges.get(effect.callId)?.(effect.reply as never);
    else if (effect.kind === 'answerPeer')
      this.peerCalls.get(effect.callId)?.(effect.reply as never);
    else if (effect.kind === 'log') this.logs.push({ event: effect.event, fields: effect.fields });
    else if (effect.kind === 'callPeer') {
      const peer = this.entries.find((candidate) => candidate.address === effect.address);
      this.network.send(
        effect.timeoutMs,
        (answer) => {
          if (peer === undefined || peer.isDead) return;
          const callId = `peer-${this.nextId++}`;
          this.peerCalls.set(callId, answer);
          const from = entry.id;
          peer.loop.receive({ kind: 'peerCall', callId, from, call: effect.call });
        },
        (reply) => {
          entry.loop.receive({ kind: 'peerReply', callId: effect.callId, reply: reply as never });
        },
      );
    }
  }

  private callStore(entry: SimEntry, effect: Extract<EntryEffect, { kind: 'callStore' }>): void {
    const answer = (delayMs: number, reply: StoreReply): void => {
      this.network.schedule(delayMs, () => {
        entry.loop.receive({ kind: 'storeReply', callId: effect.callId, reply });
      });
    };
    const delayMs = this.getStoreDelayMs(effect.call);
    const isLate = delayMs >= effect.timeoutMs;
    if (isLate) answer(effect.timeoutMs, { kind: 'unavailable', message: 'timeout' });
    this.network.schedule(STORE_DELAY_MS + delayMs, () => {
      if (this.isStoreDown) {
        if (!isLate) answer(effect.timeoutMs, { kind: 'unavailable', message: 'down' });
        return;
      }
      this.storeCalls.push(effect.call);
      const reply = structuredClone(this.store.handle(structuredClone(effect.call)));
      if (isLate) return;
      if (this.shouldLoseReply(effect.call))
        answer(effect.timeoutMs, { kind: 'unavailable', message: 'lost' });
      else answer(STORE_DELAY_MS, reply);
    });
  }

  protected handleAgentEffect(agent: SimAgent, effect: AgentEffect): void {
    if (effect.kind === 'callWorker') {
      const reply = agent.worker.handle(effect.call);
      this.network.schedule(reply === undefined ? effect.timeoutMs : 1, () => {
        agent.loop.receive({ kind: 'workerReply', callId: effect.callId, reply });
      });
    } else if (effect.kind === 'sendExchange') {
      this.network.send(
        effect.timeoutMs,
        (answer) => {
          const entry = this.entries.find((candidate) => candidate.address === effect.address);
          if (entry === undefined || entry.isDead || agent.isCut) return;
          const callId = `exchange-${this.nextId++}`;
          this.exchanges.set(callId, answer);
          entry.loop.receive({
            kind: 'exchange',
            callId,
            request: structuredClone(effect.request),
          });
        },
        (reply) => {
          const deliveredReply = agent.isCut ? undefined : (reply as never);
          agent.loop.receive({
            kind: 'exchangeReply',
            callId: effect.callId,
            reply: deliveredReply,
          });
        },
      );
    }
  }
}
