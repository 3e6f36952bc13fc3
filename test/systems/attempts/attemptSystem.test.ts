import { describe, expect, it } from 'vitest';
import { ManualClock } from '../../../src/base/common/clock.ts';
import { Loop } from '../../../src/base/common/loop.ts';
import { SeededRandom } from '../../../src/base/common/seededRandom.ts';
import type { AgentArrival, AgentEffect } from '../../../src/model/effects.ts';
import type { AgentState } from '../../../src/model/agentState.ts';
import type { AttemptMessage, AttemptReply } from '../../../src/model/request.ts';
import { AttemptSystem } from '../../../src/systems/attempts/attemptSystem.ts';
import { MAX_CACHED_ANSWER_BYTES } from '../../../src/systems/attempts/attemptRecords.ts';
import { AgentDrainSystem } from '../../../src/systems/drain/agentDrainSystem.ts';
import { OK } from '../fakeEndpoint.ts';
import { FakeNetwork } from '../fakeNetwork.ts';

/** An agent with two slots whose effects are listed instead of carried out. */
class AgentFixture {
  readonly clock = ManualClock.create(1_000);
  readonly state: AgentState = new FakeNetwork(1).addAgent('a1', 'boot-1');
  effects: AgentEffect[] = [];
  private readonly loop = Loop.create<AgentArrival, AgentEffect, AgentState>({
    state: this.state,
    systems: [AttemptSystem.create(), AgentDrainSystem.create()],
    clock: this.clock,
    random: SeededRandom.create(1),
    handleEffect: (effect) => this.effects.push(effect),
  });

  /** Runs one turn and returns its effects. */
  run(...arrivals: AgentArrival[]): AgentEffect[] {
    this.effects = [];
    for (const arrival of arrivals) this.state.inbox.append(arrival);
    this.loop.runTick();
    return this.effects;
  }

  buildArrival(
    attemptId: string,
    fields: Partial<AttemptMessage> = {},
    callId = attemptId,
  ): AgentArrival {
    return {
      kind: 'attempt',
      callId,
      message: {
        attemptId,
        requestId: attemptId,
        endpointId: 'a1/kit',
        agentBootId: 'boot-1',
        remainingMs: 1_000,
        method: 'POST',
        path: '/',
        headers: [],
        body: new Uint8Array(),
        maxResponseBytes: 1,
        ...fields,
      },
    };
  }

  listReplies(): AttemptReply[] {
    return this.effects.flatMap((effect) =>
      effect.kind === 'answerAttempt' ? [effect.reply] : [],
    );
  }

  countForwards(): number {
    return this.effects.filter(({ kind }) => kind === 'forwardAttempt').length;
  }
}

const FAILURE = { kind: 'rejected', failure: { kind: 'endpoint_busy' } };

describe('attempts at an agent', () => {
  describe('copies', () => {
    it('of a running attempt do not run again and all get the answer', () => {
      const bench = new AgentFixture();
      bench.run(bench.buildArrival('x', {}, 'c1'), bench.buildArrival('x', {}, 'c2'));
      expect(bench.countForwards()).toBe(1);
      bench.run({ kind: 'endpointResponse', attemptId: 'x', response: OK });
      expect(bench.listReplies()).toHaveLength(2);
      bench.run(bench.buildArrival('x', {}, 'c3'));
      expect(bench.countForwards()).toBe(0);
      expect(bench.listReplies()[0]?.outcome).toEqual({ kind: 'response', response: OK });
    });

    it('of a rejected attempt do not run after the entry was told "not run"', () => {
      const bench = new AgentFixture();
      bench.run(...['1', '2', '3', '4', '5'].map((id) => bench.buildArrival(id)));
      expect(bench.listReplies()).toMatchObject([{ attemptId: '5', outcome: FAILURE }]);
      for (const id of ['1', '2', '3', '4'])
        bench.run({ kind: 'endpointResponse', attemptId: id, response: OK });
      bench.run(bench.buildArrival('5'));
      expect(bench.countForwards()).toBe(0);
      expect(bench.listReplies()).toMatchObject([{ attemptId: '5', outcome: FAILURE }]);
    });

    it('whose answer was displaced do not run again', () => {
      const bench = new AgentFixture();
      const response = { ...OK, body: new Uint8Array(MAX_CACHED_ANSWER_BYTES / 2) };
      for (const id of ['1', '2', '3']) {
        bench.run(bench.buildArrival(id));
        bench.run({ kind: 'endpointResponse', attemptId: id, response });
      }
      expect(bench.state.cachedAnswerBytes).toBeLessThanOrEqual(MAX_CACHED_ANSWER_BYTES);
      bench.run(bench.buildArrival('1'));
      expect(bench.countForwards()).toBe(0);
      expect(bench.listReplies()[0]?.outcome).toMatchObject({ kind: 'failed' });
    });

    it('are not remembered for ever', () => {
      const bench = new AgentFixture();
      bench.run(bench.buildArrival('1'));
      bench.run({ kind: 'endpointResponse', attemptId: '1', response: OK });
      bench.clock.advance(30_000);
      bench.run();
      expect(bench.state.attempts.size + bench.state.cachedAnswers.size).toBe(0);
      expect(bench.state.cachedAnswerBytes).toBe(0);
    });
  });

  describe('slots', () => {
    it('are never exceeded and pass to the attempt that waits longest', () => {
      const bench = new AgentFixture();
      bench.run(...['1', '2', '3', '4'].map((id) => bench.buildArrival(id)));
      expect(bench.countForwards()).toBe(2);
      const effects = bench.run({ kind: 'endpointResponse', attemptId: '1', response: OK });
      const forwarded = effects.flatMap((effect) =>
        effect.kind === 'forwardAttempt' ? [effect.message.attemptId] : [],
      );
      expect(forwarded).toEqual(['3']);
    });

    it('are not given to more attempts than the endpoint has connections', () => {
      const bench = new AgentFixture();
      bench.state.endpoints.update('a1/kit', { connections: 1 });
      bench.run(bench.buildArrival('1'), bench.buildArrival('2'));
      expect(bench.countForwards()).toBe(1);
    });

    it('are not waited for beyond the deadline, which proves "not run"', () => {
      const bench = new AgentFixture();
      bench.run(
        bench.buildArrival('1'),
        bench.buildArrival('2'),
        bench.buildArrival('3', { remainingMs: 50 }),
      );
      bench.clock.advance(50);
      bench.run();
      expect(bench.listReplies()).toMatchObject([
        { attemptId: '3', outcome: { kind: 'rejected' }, load: { running: 2, waiting: 0 } },
      ]);
    });
  });

  describe('abandoned', () => {
    it('while they wait do not run later', () => {
      const bench = new AgentFixture();
      bench.run(...['1', '2', '3'].map((id) => bench.buildArrival(id)));
      bench.run({ kind: 'attemptAbandoned', attemptId: '3' });
      bench.run({ kind: 'endpointResponse', attemptId: '1', response: OK });
      expect(bench.countForwards()).toBe(0);
    });

    it('while they run are not cancelled unless the route is idempotent', () => {
      const bench = new AgentFixture();
      bench.run(bench.buildArrival('1'), bench.buildArrival('2', { idempotent: true }));
      const effects = bench.run(
        { kind: 'attemptAbandoned', attemptId: '1' },
        { kind: 'attemptAbandoned', attemptId: '2' },
      );
      expect(effects).toEqual([{ kind: 'cancelForward', attemptId: '2' }]);
    });
  });

  describe('for an earlier boot', () => {
    it('do not run', () => {
      const bench = new AgentFixture();
      bench.run(bench.buildArrival('1', { agentBootId: 'boot-0' }));
      expect(bench.listReplies()).toMatchObject([
        { outcome: { kind: 'rejected', failure: { kind: 'agent_restarted' } } },
      ]);
    });
  });

  describe('at a leaving agent', () => {
    it('are rejected at once while the running ones finish before the exit', () => {
      const bench = new AgentFixture();
      bench.run(bench.buildArrival('1'));
      bench.run({ kind: 'stopRequested' });
      bench.run(bench.buildArrival('2'));
      expect(bench.listReplies()).toMatchObject([
        { outcome: { kind: 'rejected', failure: { kind: 'endpoint_draining' } } },
      ]);
      bench.clock.advance(5_000);
      expect(bench.run().map(({ kind }) => kind)).not.toContain('exit');
      bench.run({ kind: 'endpointResponse', attemptId: '1', response: OK });
      expect(bench.effects.map(({ kind }) => kind)).toEqual(['answerAttempt']);
      bench.clock.advance(200);
      expect(bench.run().map(({ kind }) => kind)).toContain('exit');
    });

    it('do not hold the exit beyond the bound', () => {
      const bench = new AgentFixture();
      bench.run(bench.buildArrival('1', { remainingMs: 100_000 }));
      bench.run({ kind: 'stopRequested' });
      bench.clock.advance(30_000);
      expect(bench.run().map(({ kind }) => kind)).toContain('exit');
    });
  });
});
