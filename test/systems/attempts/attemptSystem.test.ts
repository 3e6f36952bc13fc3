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

/** An agent with two slots that records its effects instead of running them. */
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

  /** Runs one tick and returns its effects. */
  run(...arrivals: AgentArrival[]): AgentEffect[] {
    this.effects = [];
    for (const arrival of arrivals) this.state.inbox.append(arrival);
    this.loop.runTick();
    return this.effects;
  }

  buildAttemptArrival(
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

const BUSY_REJECTION = { kind: 'rejected', failure: { kind: 'endpoint_busy' } };

describe('attempts at an agent', () => {
  describe('copies', () => {
    it('of a running attempt do not run again and all receive the answer', () => {
      const agent = new AgentFixture();
      agent.run(agent.buildAttemptArrival('x', {}, 'c1'), agent.buildAttemptArrival('x', {}, 'c2'));
      expect(agent.countForwards()).toBe(1);
      agent.run({ kind: 'endpointResponse', attemptId: 'x', response: OK });
      expect(agent.listReplies()).toHaveLength(2);
      agent.run(agent.buildAttemptArrival('x', {}, 'c3'));
      expect(agent.countForwards()).toBe(0);
      expect(agent.listReplies()[0]?.outcome).toEqual({ kind: 'response', response: OK });
    });

    it('of a rejected attempt do not run after the entry has received "not run"', () => {
      const agent = new AgentFixture();
      agent.run(...['1', '2', '3', '4', '5'].map((id) => agent.buildAttemptArrival(id)));
      expect(agent.listReplies()).toMatchObject([{ attemptId: '5', outcome: BUSY_REJECTION }]);
      for (const id of ['1', '2', '3', '4'])
        agent.run({ kind: 'endpointResponse', attemptId: id, response: OK });
      agent.run(agent.buildAttemptArrival('5'));
      expect(agent.countForwards()).toBe(0);
      expect(agent.listReplies()).toMatchObject([{ attemptId: '5', outcome: BUSY_REJECTION }]);
    });

    it('of an attempt whose answer was evicted do not run again', () => {
      const agent = new AgentFixture();
      const response = { ...OK, body: new Uint8Array(MAX_CACHED_ANSWER_BYTES / 2) };
      for (const id of ['1', '2', '3']) {
        agent.run(agent.buildAttemptArrival(id));
        agent.run({ kind: 'endpointResponse', attemptId: id, response });
      }
      expect(agent.state.cachedAnswerBytes).toBeLessThanOrEqual(MAX_CACHED_ANSWER_BYTES);
      agent.run(agent.buildAttemptArrival('1'));
      expect(agent.countForwards()).toBe(0);
      expect(agent.listReplies()[0]?.outcome).toMatchObject({ kind: 'failed' });
    });

    it('are not recorded beyond the retention of the attempt', () => {
      const agent = new AgentFixture();
      agent.run(agent.buildAttemptArrival('1'));
      agent.run({ kind: 'endpointResponse', attemptId: '1', response: OK });
      agent.clock.advance(30_000);
      agent.run();
      expect(agent.state.attempts.size + agent.state.cachedAnswers.size).toBe(0);
      expect(agent.state.cachedAnswerBytes).toBe(0);
    });
  });

  describe('slots', () => {
    it('are never exceeded and go to the attempt that has waited longest', () => {
      const agent = new AgentFixture();
      agent.run(...['1', '2', '3', '4'].map((id) => agent.buildAttemptArrival(id)));
      expect(agent.countForwards()).toBe(2);
      const effects = agent.run({ kind: 'endpointResponse', attemptId: '1', response: OK });
      const forwarded = effects.flatMap((effect) =>
        effect.kind === 'forwardAttempt' ? [effect.message.attemptId] : [],
      );
      expect(forwarded).toEqual(['3']);
    });

    it('do not run more attempts than the endpoint has connections', () => {
      const agent = new AgentFixture();
      agent.state.endpoints.update('a1/kit', { connections: 1 });
      agent.run(agent.buildAttemptArrival('1'), agent.buildAttemptArrival('2'));
      expect(agent.countForwards()).toBe(1);
    });

    it('do not keep an attempt waiting beyond its deadline, and the rejection proves "not run"', () => {
      const agent = new AgentFixture();
      agent.run(
        agent.buildAttemptArrival('1'),
        agent.buildAttemptArrival('2'),
        agent.buildAttemptArrival('3', { remainingMs: 50 }),
      );
      agent.clock.advance(50);
      agent.run();
      expect(agent.listReplies()).toMatchObject([
        { attemptId: '3', outcome: { kind: 'rejected' }, load: { running: 2, waiting: 0 } },
      ]);
    });
  });

  describe('abandoned', () => {
    it('attempts do not run later if they were waiting', () => {
      const agent = new AgentFixture();
      agent.run(...['1', '2', '3'].map((id) => agent.buildAttemptArrival(id)));
      agent.run({ kind: 'attemptAbandoned', attemptId: '3' });
      agent.run({ kind: 'endpointResponse', attemptId: '1', response: OK });
      expect(agent.countForwards()).toBe(0);
    });

    it('attempts are not cancelled while they run unless the route is idempotent', () => {
      const agent = new AgentFixture();
      agent.run(
        agent.buildAttemptArrival('1'),
        agent.buildAttemptArrival('2', { idempotent: true }),
      );
      const effects = agent.run(
        { kind: 'attemptAbandoned', attemptId: '1' },
        { kind: 'attemptAbandoned', attemptId: '2' },
      );
      expect(effects).toEqual([{ kind: 'cancelForward', attemptId: '2' }]);
    });
  });

  describe('attempts for an earlier boot', () => {
    it('do not run', () => {
      const agent = new AgentFixture();
      agent.run(agent.buildAttemptArrival('1', { agentBootId: 'boot-0' }));
      expect(agent.listReplies()).toMatchObject([
        { outcome: { kind: 'rejected', failure: { kind: 'agent_restarted' } } },
      ]);
    });
  });

  describe('attempts at a leaving agent', () => {
    it('are rejected immediately, and running ones complete before the agent exits', () => {
      const agent = new AgentFixture();
      agent.run(agent.buildAttemptArrival('1'));
      agent.run({ kind: 'stopRequested' });
      agent.run(agent.buildAttemptArrival('2'));
      expect(agent.listReplies()).toMatchObject([
        { outcome: { kind: 'rejected', failure: { kind: 'endpoint_draining' } } },
      ]);
      agent.clock.advance(5_000);
      expect(agent.run().map(({ kind }) => kind)).not.toContain('exit');
      agent.run({ kind: 'endpointResponse', attemptId: '1', response: OK });
      expect(agent.effects.map(({ kind }) => kind)).toEqual(['answerAttempt']);
      agent.clock.advance(200);
      expect(agent.run().map(({ kind }) => kind)).toContain('exit');
    });

    it('do not delay the exit beyond the shutdown bound', () => {
      const agent = new AgentFixture();
      agent.run(agent.buildAttemptArrival('1', { remainingMs: 100_000 }));
      agent.run({ kind: 'stopRequested' });
      agent.clock.advance(30_000);
      expect(agent.run().map(({ kind }) => kind)).toContain('exit');
    });
  });
});
