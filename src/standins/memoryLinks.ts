import { ManualClock } from '../base/common/clock.ts';
import { Loop } from '../base/common/loop.ts';
import { SeededRandom } from '../base/common/seededRandom.ts';
import type { AgentIdentity, AgentState } from '../model/agentState.ts';
import { createAgentState } from '../model/agentState.ts';
import type {
  AgentArrival,
  AgentEffect,
  EntryArrival,
  EntryEffect,
  JsonAnswer,
  OperatorCall,
} from '../model/effects.ts';
import type { EntryState } from '../model/entryState.ts';
import { createEntryState } from '../model/entryState.ts';
import type { EntryInfo, ExchangeReply } from '../model/exchange.ts';
import type { PeerReply } from '../model/peer.ts';
import type { StoreCall, StoreReply } from '../model/store.ts';
import { createAgentSystems } from '../systems/agentSystems.ts';
import { createEntrySystems } from '../systems/entrySystems.ts';
import { ManualTimer } from './manualTimer.ts';
import { MemoryStore } from './memoryStore.ts';

const WATCH_POLL_INTERVAL_MS = 10;

export interface MemoryLinkOptions {
  readonly seed: number;
  /** One-way delay of each message in milliseconds. */
  readonly delayMs: number;
  /** Fraction of messages that are lost, for each direction independently. */
  readonly lossRate: number;
  /** Whether the store answers watches; default true. The benchmark's baseline has no watches. */
  readonly hasWatch?: boolean;
}

/** An entry or an agent whose systems communicate over in-memory links. */
export interface LinkedProcess<State, Arrival, Effect> {
  readonly state: State;
  readonly effects: Effect[];
  receive(arrival: Arrival): void;
  /** Ends the process without a graceful shutdown. */
  dispose(): void;
}
export type LinkedEntry = LinkedProcess<EntryState, EntryArrival, EntryEffect>;
export type LinkedAgent = LinkedProcess<AgentState, AgentArrival, AgentEffect>;

/**
 * In-memory links between the systems of entries, agents and a store, for tests and benchmarks on a
 * manual clock. Messages are passed as objects without encoding.
 */
export class MemoryLinks {
  readonly clock = ManualClock.create(1_000);
  readonly timer = ManualTimer.create(this.clock);
  readonly store = MemoryStore.create(this.clock);
  /** `down`: calls have no effect; `losesWrites`: writes take effect but their answers are lost. */
  storeMode: 'up' | 'down' | 'losesWrites' = 'up';
  /** Addresses whose messages are lost in both directions. */
  readonly partitionedAddresses = new Set<string>();
  /** Number of calls sent to the store, by operation. */
  readonly storeCallCounts = new Map<string, number>();

  private readonly random: SeededRandom;
  private readonly entriesByAddress = new Map<string, LinkedEntry>();
  private readonly pendingCalls = new Map<string, (reply: unknown) => void>();
  private lastCallNumber = 0;

  private constructor(private readonly options: MemoryLinkOptions) {
    this.random = SeededRandom.create(options.seed);
  }

  static create(options: MemoryLinkOptions): MemoryLinks {
    return new MemoryLinks(options);
  }

  runFor(durationMs: number): void {
    this.timer.runFor(durationMs);
  }

  addEntry(info: EntryInfo, peerAddresses: readonly string[] = []): LinkedEntry {
    const state = createEntryState(info, this.random.takeId(), {
      peerAddresses,
      stopBoundMs: 30_000,
    });
    const effects: EntryEffect[] = [];
    const loop = Loop.create<EntryArrival, EntryEffect, EntryState>(
      {
        state,
        systems: createEntrySystems(),
        clock: this.clock,
        random: SeededRandom.create(this.random.takeInt(1, 1_000_000)),
        handleEffect: (effect) => {
          effects.push(effect);
          this.handleEntryEffect(info.address, entry, effect);
        },
      },
      this.timer,
    );
    const entry: LinkedEntry = {
      state,
      effects,
      receive: (arrival) => {
        loop.receive(arrival);
      },
      dispose: () => {
        loop.dispose();
        this.entriesByAddress.delete(info.address);
      },
    };
    this.entriesByAddress.set(info.address, entry);
    loop.wake();
    return entry;
  }

  addAgent(identity: AgentIdentity): LinkedAgent {
    const state = createAgentState(identity);
    const effects: AgentEffect[] = [];
    const loop = Loop.create<AgentArrival, AgentEffect, AgentState>(
      {
        state,
        systems: createAgentSystems(),
        clock: this.clock,
        random: SeededRandom.create(this.random.takeInt(1, 1_000_000)),
        handleEffect: (effect) => {
          effects.push(effect);
          if (effect.kind === 'sendExchange') this.sendExchange(agent, identity.address, effect);
        },
      },
      this.timer,
    );
    const agent: LinkedAgent = {
      state,
      effects,
      receive: (arrival) => {
        loop.receive(arrival);
      },
      dispose: () => {
        loop.dispose();
      },
    };
    loop.wake();
    return agent;
  }

  /** Sends an operator's call and advances the clock until the answer arrives. */
  runOperatorCall(entry: LinkedEntry, call: OperatorCall, timeoutMs = 15_000): JsonAnswer {
    this.lastCallNumber += 1;
    const callId = `operator-${this.lastCallNumber}`;
    let answer: JsonAnswer | undefined;
    this.pendingCalls.set(callId, (value) => {
      answer = value as JsonAnswer;
    });
    entry.receive({ kind: 'operatorCall', callId, call });
    for (let waitedMs = 0; answer === undefined && waitedMs < timeoutMs; waitedMs += 1)
      this.runFor(1);
    if (answer === undefined) throw new Error('the operator got no answer');
    return answer;
  }

  private handleEntryEffect(address: string, entry: LinkedEntry, effect: EntryEffect): void {
    if (effect.kind === 'callStore') this.callStore(address, entry, effect);
    else if (effect.kind === 'callPeer') {
      const { callId, call, timeoutMs } = effect;
      this.call(
        address,
        effect.address,
        timeoutMs,
        (target, peerCallId) => {
          target.receive({
            kind: 'peerCall',
            callId: peerCallId,
            from: entry.state.self.info.id,
            call,
          });
        },
        (reply) => {
          entry.receive({ kind: 'peerReply', callId, reply: reply as PeerReply | undefined });
        },
      );
    } else if (effect.kind === 'answerExchange' || effect.kind === 'answerPeer')
      this.answer(effect.callId, effect.reply);
    else if (effect.kind === 'answerOperator') this.answer(effect.callId, effect.answer);
  }

  private sendExchange(
    agent: LinkedAgent,
    address: string,
    effect: Extract<AgentEffect, { kind: 'sendExchange' }>,
  ): void {
    this.call(
      address,
      effect.address,
      effect.timeoutMs,
      (target, callId) => {
        target.receive({ kind: 'exchange', callId, request: effect.request });
      },
      (reply) => {
        agent.receive({
          kind: 'exchangeReply',
          callId: effect.callId,
          reply: reply as ExchangeReply | undefined,
        });
      },
    );
  }

  private answer(callId: string, reply: unknown): void {
    const callback = this.pendingCalls.get(callId);
    this.pendingCalls.delete(callId);
    callback?.(reply);
  }

  /** Sends a call and delivers its reply. Both can be lost; the timeout then completes the call. */
  private call(
    from: string,
    to: string,
    timeoutMs: number,
    deliver: (target: LinkedEntry, callId: string) => void,
    finish: (reply: unknown) => void,
  ): void {
    this.lastCallNumber += 1;
    const callId = `call-${this.lastCallNumber}`;
    const timeout = this.timer.schedule(timeoutMs, () => {
      this.pendingCalls.delete(callId);
      finish(undefined);
    });
    this.pendingCalls.set(callId, (reply) => {
      if (this.isLost(from, to)) return;
      this.timer.schedule(this.options.delayMs, () => {
        timeout.dispose();
        finish(reply);
      });
    });
    if (this.isLost(from, to)) return;
    this.timer.schedule(this.options.delayMs, () => {
      const target = this.entriesByAddress.get(to);
      if (target !== undefined) deliver(target, callId);
    });
  }

  private callStore(
    address: string,
    entry: LinkedEntry,
    effect: Extract<EntryEffect, { kind: 'callStore' }>,
  ): void {
    const { call, callId } = effect;
    this.storeCallCounts.set(call.op, (this.storeCallCounts.get(call.op) ?? 0) + 1);
    const finish = (reply: StoreReply): void => {
      timeout.dispose();
      entry.receive({ kind: 'storeReply', callId, reply });
    };
    const timeout = this.timer.schedule(effect.timeoutMs, () => {
      finish({ kind: 'unavailable', message: 'no answer' });
    });
    const isUnanswered = call.op === 'watch' && this.options.hasWatch === false;
    if (isUnanswered || this.storeMode === 'down' || this.isLost(address, 'store')) return;
    this.timer.schedule(this.options.delayMs, () => {
      this.handleStoreCall(call, this.clock.now, (reply) => {
        const isLostWrite = call.op === 'write' && this.storeMode === 'losesWrites';
        if (isLostWrite || this.isLost(address, 'store')) return;
        this.timer.schedule(this.options.delayMs, () => {
          finish(reply);
        });
      });
    });
  }

  private handleStoreCall(
    call: StoreCall,
    sinceMs: number,
    finish: (reply: StoreReply) => void,
  ): void {
    const reply = this.store.handle(call);
    const isWaiting =
      call.op === 'watch' && reply.kind === 'unchanged' && this.clock.now - sinceMs < call.waitMs;
    if (!isWaiting) finish(reply);
    else
      this.timer.schedule(WATCH_POLL_INTERVAL_MS, () => {
        this.handleStoreCall(call, sinceMs, finish);
      });
  }

  private isLost(from: string, to: string): boolean {
    if (this.partitionedAddresses.has(from) || this.partitionedAddresses.has(to)) return true;
    return this.random.takeUnit() < this.options.lossRate;
  }
}
