import { beforeEach, describe, expect, it } from 'vitest';
import { createFailure, ERROR_ANSWERS } from '../../../src/base/common/errors.ts';
import type { JsonAnswer } from '../../../src/model/effects.ts';
import type { JsonRequest } from '../../../src/protocol/node/jsonServer.ts';
import { decodeQueueRequest, encodeQueueAnswer } from '../../../src/protocol/node/queueRequests.ts';
import { SchedulerWorld } from '../../support/schedulerWorld.ts';
import type { EntryNode } from '../../support/worldNodes.ts';

const JOB = '00000000000000c1';
const JOB_URL = `/v1/queues/queue/jobs/${JOB}`;

function createRequest(method: string, path: string, body?: unknown): JsonRequest {
  return { method, path, query: new URLSearchParams(), headers: {}, body };
}

/** A queue front connected to an entry of the scheduler without sockets. */
class FrontWorld {
  private constructor(
    readonly world: SchedulerWorld,
    readonly entry: EntryNode,
  ) {}

  static create(agents: number): FrontWorld {
    const world = SchedulerWorld.create(1, agents);
    world.run(2_000);
    return new FrontWorld(world, world.entries[0]!);
  }

  /** Returns the answer to a request, or undefined when the front does not serve its path. */
  send(method: string, path: string, body?: unknown): JsonAnswer | undefined {
    const { operator } = this.entry.state;
    return decodeQueueRequest(createRequest(method, path, body), operator.configuration)
      ?.map(({ subject, request }) => {
        const callId = `front-${this.entry.answers.size}`;
        this.entry.loop.receive({ kind: 'queueCall', callId, ...request });
        this.entry.loop.runTick();
        this.world.run(100);
        return encodeQueueAnswer(this.entry.answers.get(callId)!, subject);
      })
      .extract();
  }

  readPhase(): unknown {
    const answer = this.send('GET', JOB_URL);
    return answer?.kind === 'value' ? answer.value : answer?.failure.kind;
  }

  countRunning(): number {
    return this.world.agents.reduce((sum, { runner }) => sum + runner.running.size, 0);
  }
}

function getFailure(answer: JsonAnswer | undefined): Extract<JsonAnswer, { kind: 'failure' }> {
  if (answer?.kind !== 'failure') throw new Error(`no failure: ${JSON.stringify(answer)}`);
  return answer;
}

describe('queue front without sockets', () => {
  let front: FrontWorld;

  beforeEach(() => {
    front = FrontWorld.create(2);
  });

  describe('bodies', () => {
    for (const [body, path] of [
      [undefined, ''],
      [[], ''],
      [{ steps: [] }, 'steps'],
      [{ steps: [{}] }, 'steps[0].count'],
      [{ steps: [{ count: 1 }, { count: -1 }] }, 'steps[1].count'],
      [{ steps: [{ count: 1, memoryMB: 3 }] }, 'steps[0].memoryMB'],
      [{ steps: [{ count: 1, after: [0] }] }, 'steps[0].after[0]'],
      [{ steps: [{ count: 1 }], payload: 7 }, 'payload'],
      [{ steps: [{ count: 1 }], queue: 'queue' }, 'queue'],
    ] as const) {
      it(`${JSON.stringify(body)} is not accepted, and the answer names the field`, () => {
        const { failure, details } = getFailure(front.send('PUT', JOB_URL, body));
        expect(failure.kind).toBe('bad_request');
        expect(details).toEqual([{ path, message: expect.any(String) as string }]);
        expect(front.readPhase()).toBe('job_unknown');
        expect(front.entry.state.jobs.size).toBe(0);
      });
    }

    it('reports every fault of a body in one answer', () => {
      const body = { steps: [{ count: 0, gang: 'yes' }] };
      const { details } = getFailure(front.send('PUT', JOB_URL, body));
      expect(details).toHaveLength(2);
    });
  });

  describe('addresses', () => {
    it('does not confuse an unknown queue, an unknown job and a missing configuration', () => {
      const body = { steps: [{ count: 1 }] };
      const unknownQueue = getFailure(front.send('PUT', `/v1/queues/absent/jobs/${JOB}`, body));
      expect(ERROR_ANSWERS[unknownQueue.failure.kind].status).toBe(404);
      expect(unknownQueue.failure.kind).toBe('no_route');
      expect(getFailure(front.send('GET', JOB_URL)).failure.kind).toBe('job_unknown');
      front.entry.state.operator.configuration = undefined;
      const noConfiguration = getFailure(front.send('PUT', JOB_URL, body));
      expect(ERROR_ANSWERS[noConfiguration.failure.kind].status).toBe(503);
      expect(noConfiguration.retryAfterMs).toBeGreaterThan(0);
    });

    it('does not resolve an id to the path of another queue', () => {
      for (const id of ['nothex', `x%2F${JOB}`, '%E0', `..%2F${JOB}`])
        expect(getFailure(front.send('GET', `/v1/queues/queue/jobs/${id}`)).failure.kind).toBe(
          'bad_request',
        );
    });

    it('does not serve other paths or methods', () => {
      for (const [method, path] of [
        ['POST', JOB_URL],
        ['PUT', '/v1/queues/queue'],
        ['DELETE', '/v1/queues/queue'],
        ['GET', '/v1/queues'],
        ['GET', '/v1/queues/'],
        ['GET', '/v1/queues/queue/tasks/1'],
        ['GET', `${JOB_URL}/steps`],
        ['GET', '/v1/queues/%E0'],
      ] as const)
        expect(front.send(method, path, { steps: [{ count: 1 }] })).toBeUndefined();
    });
  });

  describe('deadlines', () => {
    for (const [given, expected] of [
      ['250', 250],
      ['0', 3_000],
      ['x', 3_000],
      ['600001', 3_000],
    ] as const) {
      it(`a timeout header of ${given} does not set another deadline`, () => {
        const headers = { 'bramleyladder-timeout-ms': given };
        const decoded = decodeQueueRequest(
          { ...createRequest('GET', JOB_URL), headers },
          undefined,
        );
        expect(decoded?.map(({ request }) => request.deadlineMs).extract()).toBe(expected);
      });
    }
  });

  describe('answers', () => {
    it('does not omit the retry delay of a refused call', () => {
      const subject = { queue: 'queue', jobId: JOB };
      const message = 'the store is away';
      const refused = { kind: 'refused' as const, error: 'store_unavailable' as const, message };
      const failure = createFailure('store_unavailable', message);
      expect(encodeQueueAnswer({ ...refused, retryAfterMs: 1_500 }, subject)).toEqual({
        kind: 'failure',
        failure,
        retryAfterMs: 1_500,
      });
      expect(encodeQueueAnswer(refused, subject)).toEqual({ kind: 'failure', failure });
    });
  });

  describe('jobs', () => {
    it('does not start a step before its dependencies or run a resubmitted job twice', () => {
      const body = { steps: [{ count: 2 }, { count: 1, after: [0] }] };
      expect(front.send('PUT', JOB_URL, body)).toEqual({
        kind: 'value',
        value: { jobId: JOB, accepted: true },
      });
      expect(front.send('PUT', JOB_URL, { steps: [{ count: 5 }] })?.kind).toBe('value');
      front.world.run(600);
      expect(front.world.listStarts(`${JOB}.0.1.0`)).toHaveLength(0);
      front.world.run(3_000);
      expect(front.readPhase()).toEqual({ jobId: JOB, phase: 'completed' });
      expect(front.send('PUT', JOB_URL, body)?.kind).toBe('value');
      front.world.run(2_000);
      for (const task of ['0.0.0', '0.0.1', '0.1.0'])
        expect(front.world.listStarts(`${JOB}.${task}`)).toHaveLength(1);
      expect(front.world.listStarts(`${JOB}.0.0.2`)).toHaveLength(0);
    });

    it('does not start a subset of a gang', () => {
      front.world.behave = () => ({ durationMs: 5_000, end: 'done' });
      // Each of the two workers has 8 cores, so three tasks of 6 cores cannot run at the same time.
      const step = { count: 3, cpuMillis: 6_000, gang: true };
      front.send('PUT', JOB_URL, { steps: [step] });
      front.world.run(1_000);
      expect(front.countRunning()).toBe(0);
      const other = JOB_URL.replace('c1', 'c2');
      front.send('PUT', other, { steps: [{ ...step, count: 2 }] });
      front.world.run(300);
      expect(front.countRunning()).toBe(2);
    });

    it('does not leave tasks of a cancelled long-running job running', () => {
      front.world.behave = () => ({
        durationMs: Number.POSITIVE_INFINITY,
        end: 'done',
        computeLatencyMs: () => 1,
      });
      front.send('PUT', JOB_URL, { steps: [{ count: 2, longRunning: true, cpuMillis: 500 }] });
      front.world.run(4_000);
      expect(front.readPhase()).toEqual({ jobId: JOB, phase: 'running' });
      expect(front.countRunning()).toBe(2);
      expect(front.send('DELETE', JOB_URL)?.kind).toBe('value');
      front.world.run(1_000);
      expect(front.readPhase()).toEqual({ jobId: JOB, phase: 'cancelled' });
      expect(front.countRunning()).toBe(0);
    });

    it('does not omit a job that waits for capacity from the count of the queue', () => {
      front.send('PUT', JOB_URL, { steps: [{ count: 1, cpuMillis: 90_000 }] });
      front.world.run(500);
      expect(front.send('GET', '/v1/queues/queue')).toEqual({
        kind: 'value',
        value: { queue: 'queue', waiting: 1 },
      });
    });
  });
});
