import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { getHttpPort, openHttpServer } from '../../src/base/node/httpListening.ts';
import { WireAdviceClient } from '../../src/platform/wireAdviceClient.ts';
import { decodeConfiguration } from '../../src/platform/wireConfiguration.ts';

const ADVICE_REQUEST = { stepKey: '00000000000000c1.0.2', workerIds: ['i-1', 'i-2'] };

describe('advice over the platform wire', () => {
  let server: Server;
  let client: WireAdviceClient;
  let received: { readonly path: string; readonly body: unknown }[];
  let answer: { readonly status: number; readonly text: string };

  function receive(request: IncomingMessage, response: ServerResponse): void {
    let text = '';
    request.on('data', (chunk: Buffer) => (text += chunk.toString()));
    request.on('end', () => {
      received.push({ path: request.url ?? '', body: JSON.parse(text) as unknown });
      response.writeHead(answer.status).end(answer.text);
    });
  }

  beforeEach(async () => {
    received = [];
    server = createServer(receive);
    await openHttpServer(server, '127.0.0.1', 0);
    client = WireAdviceClient.create(`127.0.0.1:${getHttpPort(server)}`);
  });

  afterEach(() => {
    client.dispose();
    server.close();
    server.closeAllConnections();
  });

  describe('answers', () => {
    it('does not lose the tickets of an answer', async () => {
      answer = { status: 200, text: '{"good":[["i-2","t-9"]]}' };
      expect(await client.request(ADVICE_REQUEST, 1_000)).toEqual({
        kind: 'advice',
        tickets: [{ workerId: 'i-2', ticket: 't-9' }],
      });
      expect(received).toEqual([
        {
          path: '/bramleyladder/advise',
          body: { step: ADVICE_REQUEST.stepKey, workers: ['i-1', 'i-2'] },
        },
      ]);
    });

    it('does not mistake a full queue of the adviser for an answer', async () => {
      answer = { status: 429, text: '' };
      expect(await client.request(ADVICE_REQUEST, 1_000)).toEqual({ kind: 'busy' });
    });

    it.each(['{"good":[["i-2"]]}', '{"good":7}', 'no json', ''])(
      'does not accept %j as advice',
      async (text) => {
        answer = { status: 200, text };
        expect((await client.request(ADVICE_REQUEST, 1_000)).kind).toBe('unavailable');
      },
    );
  });

  describe('requests', () => {
    it('does not send a request when no adviser is configured', async () => {
      const unconfigured = WireAdviceClient.create('');
      expect((await unconfigured.request(ADVICE_REQUEST, 1_000)).kind).toBe('unavailable');
      unconfigured.dispose();
    });
  });

  describe('configuration', () => {
    it('does not lose the advice policy of a queue', () => {
      const route = { name: 'r', host: 'h', prefix: '/p/', service: 's' };
      const advice = { decide_ms: 30, each_ms: 2, valid_ms: 4_000 };
      const decoded = decodeConfiguration({ version: 1, routes: [{ ...route, advice }, route] });
      const queues = decoded?.kind === 'configuration' ? decoded.configuration.queues : [];
      expect(queues.map((queue) => queue.advice)).toEqual([
        { decideMs: 30, perWorkerMs: 2, validMs: 4_000 },
        undefined,
      ]);
    });
  });
});
