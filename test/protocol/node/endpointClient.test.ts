import type { Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { Failure } from '../../../src/base/common/errors.ts';
import type { AttemptMessage, Response } from '../../../src/model/request.ts';
import { EndpointClient } from '../../../src/protocol/node/endpointClient.ts';

type Outcome = Response | { readonly failure: Failure; readonly sent: boolean };

describe('attempts sent to an endpoint', () => {
  let server: Server;
  let origin: string;
  let client: EndpointClient;
  let requests: number;
  let handle: (response: ServerResponse) => void;
  const pendingOutcomes = new Map<string, (outcome: Outcome) => void>();

  beforeEach(async () => {
    requests = 0;
    server = createServer((_request, response) => {
      requests += 1;
      handle(response);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    client = EndpointClient.create({
      onResponse: (id, response) => pendingOutcomes.get(id)?.(response),
      onFailure: (id, failure, sent) => pendingOutcomes.get(id)?.({ failure, sent }),
    });
  });

  afterEach(() => {
    client.dispose();
    server.close();
    server.closeAllConnections();
  });

  async function send(id: string, fields: Partial<AttemptMessage> = {}): Promise<Outcome> {
    return new Promise((resolve) => {
      pendingOutcomes.set(id, resolve);
      client.send(origin, 1, 5_000, {
        attemptId: id,
        requestId: id,
        endpointId: 'e',
        agentBootId: 'b',
        remainingMs: 5_000,
        method: 'POST',
        path: '/',
        headers: [['x-a', '1']],
        body: new Uint8Array([1]),
        maxResponseBytes: 4,
        ...fields,
      });
    });
  }

  describe('that receive a response', () => {
    it('do not lose repeated headers or chunks of the body', async () => {
      handle = (response) => {
        response.setHeader('set-cookie', ['a=1', 'b=2']);
        response.write('ab');
        setTimeout(() => response.end('cd'), 20);
      };
      const outcome = (await send('x')) as Response;
      expect(Buffer.from(outcome.body).toString()).toBe('abcd');
      expect(outcome.headers.filter(([name]) => name === 'set-cookie')).toEqual([
        ['set-cookie', 'a=1'],
        ['set-cookie', 'b=2'],
      ]);
    });

    it('do not accept a response above the size limit', async () => {
      handle = (response) => response.end('abcde');
      expect(await send('x')).toMatchObject({ failure: { kind: 'answer_too_large' }, sent: true });
    });
  });

  describe('that the endpoint cannot have received', () => {
    it('are not reported as sent when the connection is refused', async () => {
      await new Promise((resolve) => server.close(resolve));
      expect(await send('x')).toMatchObject({ sent: false });
    });

    it('are not reported as sent when they cannot be written', async () => {
      expect(await send('x', { headers: [['x-a', 'a\nb']] })).toMatchObject({ sent: false });
      expect(requests).toBe(0);
    });

    it('are not written when they are cancelled while they wait for a connection', async () => {
      let finish: () => void = () => undefined;
      handle = (response) => {
        finish = () => response.end('ok');
      };
      const first = send('x');
      while (requests === 0) await new Promise((resolve) => setTimeout(resolve, 5));
      const second = send('y');
      client.cancel('y');
      finish();
      expect(await second).toMatchObject({ sent: false });
      await first;
      expect(requests).toBe(1);
    });
  });

  describe('whose connection breaks', () => {
    it('are not reported as unsent', async () => {
      handle = (response) => response.destroy();
      expect(await send('x')).toMatchObject({ failure: { kind: 'endpoint_failed' }, sent: true });
      expect(requests).toBe(1);
    });
  });
});
