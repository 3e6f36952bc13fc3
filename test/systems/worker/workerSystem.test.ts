import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from '../../../src/base/common/clock.ts';
import { Loop } from '../../../src/base/common/loop.ts';
import { SeededRandom } from '../../../src/base/common/seededRandom.ts';
import type { AgentState } from '../../../src/model/agentState.ts';
import { createAgentState } from '../../../src/model/agentState.ts';
import type { AgentArrival, AgentEffect } from '../../../src/model/effects.ts';
import type { ExchangeReply } from '../../../src/model/exchange.ts';
import type { WorkerCommand } from '../../../src/model/worker.ts';
import type { WorkerCall, WorkerStatus } from '../../../src/model/workerCall.ts';
import { createAgentSystems } from '../../../src/systems/agentSystems.ts';

const START_MS = 1_000;
const WORKER_CLOCK_MS = 50_000;

type Send = Extract<AgentEffect, { kind: 'sendExchange' }>;

describe('WorkerSystem', () => {
  let clock: ManualClock;
  let state: AgentState;
  let loop: Loop<AgentArrival, AgentEffect, AgentState>;
  let exchanges: Send[];
  let calls: WorkerCall[];
  let bootId: string;

  function createStatus(): WorkerStatus {
    return {
      workerId: 'w',
      bootId,
      rack: 'r',
      capacity: { cores: 4, memoryMb: 1_000, accelerators: 0 },
      clockMs: WORKER_CLOCK_MS + clock.now - START_MS,
      runs: [],
      samples: [],
    };
  }

  function handleEffect(effect: AgentEffect): void {
    if (effect.kind === 'sendExchange') exchanges.push(effect);
    if (effect.kind !== 'callWorker') return;
    calls.push(effect.call);
    const reply =
      effect.call.op === 'status'
        ? ({ kind: 'status', status: createStatus() } as const)
        : ({ kind: 'done' } as const);
    loop.receive({ kind: 'workerReply', callId: effect.callId, reply });
  }

  function advance(durationMs: number): void {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      clock.advance(50);
      loop.runTick();
    }
  }

  function answer(owner: NonNullable<ExchangeReply['owner']>): void {
    const exchange = exchanges.at(-1)!;
    const reply = { seq: exchange.request.seq, owner };
    loop.receive({ kind: 'exchangeReply', callId: exchange.callId, reply });
    loop.runTick();
  }

  function listCalls<Op extends WorkerCall['op']>(op: Op): Extract<WorkerCall, { op: Op }>[] {
    return calls.filter((call): call is Extract<WorkerCall, { op: Op }> => call.op === op);
  }

  function createStart(proofAgeMs: number): WorkerCommand {
    return {
      kind: 'start',
      taskId: 't',
      incarnation: 1,
      taskKind: 'k',
      demand: { cores: 1, memoryMb: 1, accelerators: 0 },
      command: [],
      proofAgeMs,
    };
  }

  beforeEach(() => {
    clock = ManualClock.create(START_MS);
    exchanges = [];
    calls = [];
    bootId = 'boot-1';
    state = createAgentState({
      id: 'agent-0',
      bootId: 'agent-boot',
      address: '10.0.0.9:1',
      region: 'kr-south',
      zone: 'busan-a',
      seedAddresses: ['10.0.0.1:1'],
      hasWorker: true,
    });
    loop = Loop.create<AgentArrival, AgentEffect, AgentState>({
      state,
      systems: createAgentSystems(),
      clock,
      random: SeededRandom.create(1),
      handleEffect,
    });
    loop.runTick();
    loop.runTick();
    const first = exchanges.at(-1)!;
    loop.receive({
      kind: 'exchangeReply',
      callId: first.callId,
      reply: { seq: 1, ownerAddress: '10.0.0.1:1' },
    });
    advance(200);
  });

  const renewed = [{ taskId: 't', incarnation: 1 }];

  describe('renewals', () => {
    it('do not extend a lease by the delay between the exchange and its reply', () => {
      const sample = exchanges.at(-1)!;
      expect(sample.request.worker?.workerId).toBe('w');
      const sampledMs = state.exchangeSamples.get(sample.callId)!.workerClockMs;
      advance(2_000);
      answer({ epoch: 1, leaseMs: 15_000, renewed, commands: [] });
      expect(listCalls('renew')).toMatchObject([{ leaseUntil: sampledMs + 15_000, runs: renewed }]);
      expect(sampledMs).toBeLessThanOrEqual(WORKER_CLOCK_MS + 200);
    });

    it('do not use a clock reading from before a restart of the worker', () => {
      bootId = 'boot-2';
      advance(1_000);
      answer({ epoch: 1, leaseMs: 15_000, renewed, commands: [createStart(0)] });
      expect(listCalls('renew')).toEqual([]);
      expect(listCalls('start')).toEqual([]);
    });
  });

  describe('epochs', () => {
    it('do not allow commands from an owner of a lower epoch', () => {
      answer({ epoch: 5, leaseMs: 15_000, renewed: [], commands: [] });
      advance(300);
      expect(exchanges.at(-1)!.request.epoch).toBe(5);
      answer({ epoch: 4, leaseMs: 15_000, renewed, commands: [createStart(0)] });
      expect(listCalls('renew')).toEqual([]);
      expect(listCalls('start')).toEqual([]);
      expect(state.counters.get('stale_epoch_replies')).toBe(1);
    });
  });

  describe('start proofs', () => {
    it('do not allow a start later than 3 s after the proof', () => {
      const sentMs = state.exchangeSamples.get(exchanges.at(-1)!.callId)!.sentMs;
      advance(500);
      answer({ epoch: 1, leaseMs: 15_000, renewed: [], commands: [createStart(1_000)] });
      const [start] = listCalls('start');
      const limit = WORKER_CLOCK_MS + (sentMs + 2_000 - START_MS);
      expect(start!.startBefore).toBeLessThanOrEqual(limit);
      expect(start!.startBefore).toBeGreaterThan(limit - 200);
    });

    it('do not allow a start when expired and are not reported as rejected twice', () => {
      advance(1_500);
      answer({ epoch: 1, leaseMs: 15_000, renewed: [], commands: [createStart(1_900)] });
      expect(listCalls('start')).toEqual([]);
      advance(300);
      const expected = [{ taskId: 't', incarnation: 1, reason: 'stale_proof' }];
      expect(exchanges.at(-1)!.request.worker?.rejectedStarts).toEqual(expected);
      answer({ epoch: 1, leaseMs: 15_000, renewed: [], commands: [] });
      advance(300);
      expect(exchanges.at(-1)!.request.worker?.rejectedStarts).toEqual([]);
    });

    it('do not allow a start in a zone that is out of service or while the agent is leaving', () => {
      state.config = { revision: 9, zonesOut: ['busan-a'] };
      answer({ epoch: 1, leaseMs: 15_000, renewed: [], commands: [createStart(0)] });
      state.config = { revision: 9, zonesOut: [] };
      state.self.phase = 'leaving';
      advance(300);
      expect(exchanges.at(-1)!.request.worker?.leaving).toBe(true);
      answer({ epoch: 1, leaseMs: 15_000, renewed: [], commands: [createStart(0)] });
      expect(listCalls('start')).toEqual([]);
      const reasons = state.rejectedStarts.map((rejection) => rejection.reason);
      expect(reasons).toContain('shutting_down');
    });
  });
});
