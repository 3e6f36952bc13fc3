import type { Server } from 'node:http';
import { createServer } from 'node:http';
import fc from 'fast-check';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { getHttpPort, openHttpServer } from '../../src/base/node/httpListening.ts';
import type { WorkerHeartbeat } from '../../src/model/scheduler/runnerAgentState.ts';
import { decodeConfiguration, decodeWave } from '../../src/platform/wireConfiguration.ts';
import { receiveHeartbeat } from '../../src/platform/wireHeartbeats.ts';
import { decodeJob } from '../../src/platform/wireJobs.ts';
import { WireAdviceClient } from '../../src/platform/wireAdviceClient.ts';
import { WireRunnerClient } from '../../src/platform/wireRunnerClient.ts';
import { buildNestedJson, INVALID_ADDRESSES } from '../support/invalidValues.ts';
import { ROUTE, send } from '../support/platformWorld.ts';

const RUNS = 60;
const SEED = 20_261_205;
const HOLD = { op: 'hold', fence: 1, lastSeen: 0, waitMs: 0 } as const;

const oddValue = fc.oneof(
  fc.jsonValue({ maxDepth: 3 }),
  fc.constantFrom<unknown>(1e308, 2 ** 53, -1, 0.5, 'x'.repeat(50_000), ...INVALID_ADDRESSES),
  fc.constant(JSON.parse(buildNestedJson(500)) as unknown),
);

/** Serves one answer to every call. */
class AnswerServer {
  answer: unknown;
  /** Text that replaces the answer, for values that JSON.stringify does not write. */
  text: string | undefined;

  private constructor(private readonly server: Server) {}

  static async create(): Promise<AnswerServer> {
    const server = createServer();
    const answers = new AnswerServer(server);
    server.on('request', (_, response) => {
      response.end(answers.text ?? JSON.stringify(answers.answer));
    });
    await openHttpServer(server, '127.0.0.1', 0);
    return answers;
  }

  get address(): string {
    return `127.0.0.1:${getHttpPort(this.server)}`;
  }

  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

describe('odd messages of others', () => {
  let answers: AnswerServer;

  beforeAll(async () => {
    answers = await AnswerServer.create();
  });

  afterAll(() => {
    answers.dispose();
  });

  describe('lists of runs', () => {
    const running = (task: string): unknown[] => [task, 1, '', 5, 0];
    const ended = (number: number): unknown[] => [number, `t${number}`, 1, 'done', ''];

    it('do not hide the other rows when one cannot be read', async () => {
      const client = WireRunnerClient.create();
      await fc.assert(
        fc.asyncProperty(oddValue, async (odd) => {
          answers.answer = {
            clock_ms: 5,
            running: [running('a'), odd, running('b')],
            ended: [ended(1), odd, ended(2)],
          };
          const reply = await client.send(answers.address, 'i-1', HOLD, 1_000);
          expect(reply.kind).toBe('lists');
          if (reply.kind !== 'lists') return;
          expect(reply.isComplete).toBe(false);
          expect(reply.running.map(({ task }) => task)).toEqual(['a', 'b']);
          // Acknowledging a later end would acknowledge the unreadable one.
          expect(reply.ended.map(({ number }) => number)).toEqual([1]);
        }),
        { numRuns: RUNS, seed: SEED },
      );
      client.dispose();
    });

    it('do not count as complete with a clock out of range', async () => {
      const client = WireRunnerClient.create();
      answers.text = '{"clock_ms":1e999,"running":[],"ended":[]}';
      expect((await client.send(answers.address, 'i-1', HOLD, 1_000)).kind).toBe('noAnswer');
      answers.text = undefined;
      client.dispose();
    });
  });

  describe('advice', () => {
    it('does not lose the tickets beside a row that cannot be read', async () => {
      const client = WireAdviceClient.create(answers.address);
      await fc.assert(
        fc.asyncProperty(oddValue, async (odd) => {
          answers.answer = { good: [['i-1', 't-1'], odd, ['i-2', 't-2']] };
          const request = { stepKey: 's', workerIds: ['i-1', 'i-2'] };
          const reply = await client.request(request, 1_000);
          expect(reply.kind === 'advice' && reply.tickets.map(({ ticket }) => ticket)).toEqual(
            expect.arrayContaining(['t-1', 't-2']),
          );
        }),
        { numRuns: RUNS, seed: SEED },
      );
      client.dispose();
    });
  });

  describe('the configuration', () => {
    it('does not lose its other routes when one cannot be read', () => {
      const other = { ...ROUTE, name: 'r-2', prefix: '/other/' };
      fc.assert(
        fc.property(oddValue, (odd) => {
          const decoded = decodeConfiguration({
            version: 1,
            routes: [ROUTE, odd, other],
            services: [odd, { name: 'svc' }],
          });
          if (decoded?.kind !== 'configuration') throw new Error('the configuration is unreadable');
          const { queues, pools, unreadableItems } = decoded.configuration;
          expect(queues.map(({ name }) => name)).toEqual(['r-1', 'r-2']);
          expect(pools.map(({ name }) => name)).toEqual(['svc']);
          expect(unreadableItems).toBe(2);
        }),
        { numRuns: RUNS, seed: SEED },
      );
    });

    it('does not throw for any value, nor does a wave or a job', () => {
      fc.assert(
        fc.property(oddValue, (odd) => {
          for (const decode of [decodeConfiguration, decodeWave, decodeJob])
            expect(() => decode(odd)).not.toThrow();
          expect(decodeJob({ steps: [odd] })).toEqual(expect.any(String));
        }),
        { numRuns: RUNS, seed: SEED },
      );
    });

    it('of a job does not add up to more tasks than an owner can keep', () => {
      expect(decodeJob({ steps: [{ count: 100_000 }] })).toEqual(expect.any(String));
      expect(decodeJob({ steps: [{ count: 100 }], times: 101 })).toEqual(expect.any(String));
      expect(decodeJob({ steps: [{ count: 100 }], times: 100 })).toMatchObject({
        occurrences: 100,
      });
    });
  });

  describe('heartbeats', () => {
    const beats: WorkerHeartbeat[] = [];
    let server: Server;

    beforeAll(async () => {
      server = createServer((request, response) => {
        const isServed = receiveHeartbeat(request, response, {
          workerAddress: VALID.addr,
          onBeat: (beat) => beats.push(beat),
          onLeave: () => undefined,
          onInvalid: () => undefined,
        });
        if (!isServed) response.writeHead(404).end();
      });
      await openHttpServer(server, '127.0.0.1', 0);
    });

    afterAll(() => {
      server.close();
      server.closeAllConnections();
    });

    const VALID = {
      service: 'svc',
      addr: '127.0.0.1:9',
      zone: 'a',
      state: 'ready',
      seq: 1,
      born: 77,
      capacity: { cpu: 1_000, mem_mb: 100, gpu: 0 },
      labels: ['r1'],
    };

    async function sendBeat(id: string, body: unknown): Promise<number> {
      const path = `/bramleyladder/instances/${encodeURIComponent(id)}/heartbeat`;
      return (await send(getHttpPort(server), 'POST', path, body)).status;
    }

    it('do not name a worker when a field is out of range', async () => {
      const odd: readonly object[] = [
        ...INVALID_ADDRESSES.map((addr) => ({ addr })),
        // Another writer names a worker that is not beside the agent.
        { addr: '127.0.0.2:9' },
        { seq: 0.5 },
        { seq: -1 },
        { born: 1.5 },
        { born: -1 },
        // The real incarnation would count as an earlier one for ever.
        { born: Date.now() + 365 * 24 * 60 * 60 * 1_000 },
        { capacity: { cpu: -1, mem_mb: 100 } },
        { capacity: { cpu: 1e300, mem_mb: 100 } },
        { labels: Array.from({ length: 2_000 }, () => 'l') },
        { service: 'x'.repeat(2_000) },
        { drain_left_ms: -1 },
      ];
      for (const fields of odd) expect(await sendBeat('i-1', { ...VALID, ...fields })).toBe(400);
      expect(beats).toEqual([]);
    });

    it('do not name a worker whose id no header or key can hold', async () => {
      for (const id of ['a|b', 'line\nbreak', 'blank blank', 'ä'])
        expect(await sendBeat(id, VALID)).toBe(404);
      expect(beats).toEqual([]);
    });

    it('are not lost beside odd ones', async () => {
      await fc.assert(
        fc.asyncProperty(oddValue, fc.constantFrom(...Object.keys(VALID)), async (odd, field) => {
          const status = await sendBeat('i-1', { ...VALID, [field]: odd });
          expect([200, 400]).toContain(status);
        }),
        { numRuns: RUNS, seed: SEED },
      );
      beats.length = 0;
      expect(await sendBeat('i-1', VALID)).toBe(200);
      expect(beats).toMatchObject([{ sequence: 1, identity: { id: 'i-1', bornMs: 77 } }]);
    });
  });
});
