import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { getHttpPort, openHttpServer } from '../../src/base/node/httpListening.ts';
import type { InstanceCall } from '../../src/model/scheduler/instanceCall.ts';
import { decodeWave } from '../../src/platform/wireConfiguration.ts';
import { WireInstanceClient } from '../../src/platform/wireInstanceClient.ts';
import { PlatformWorld, waitFor } from '../support/platformWorld.ts';

const AUTHORITY = { holder: 'e-1', fence: 12 };
const LIST_CALL: InstanceCall = { op: 'list', pageToken: '' };
const MAINTAIN_CALL: InstanceCall = {
  op: 'maintain',
  instanceId: 'm-1',
  wave: 3,
  authority: AUTHORITY,
};
const MACHINE = {
  machine: 'm-1',
  pool: 'svc',
  state: 'up',
  zone: 'a',
  labels: ['k', 'r1-2'],
  capacity: { cpu: 16_000, mem_mb: 32_768, gpu: 0 },
  id: 'i-1',
};

interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly holder: unknown;
  readonly fence: unknown;
  readonly body: unknown;
}

describe('instances over the platform wire', () => {
  let server: Server;
  let client: WireInstanceClient;
  let received: ReceivedRequest[];
  let answer: (path: string) => { readonly status: number; readonly body?: unknown };

  function receive(request: IncomingMessage, response: ServerResponse): void {
    let text = '';
    request.on('data', (chunk: Buffer) => (text += chunk.toString()));
    request.on('end', () => {
      const path = request.url ?? '';
      received.push({
        method: request.method ?? '',
        path,
        holder: request.headers['duty-holder'],
        fence: request.headers['fence-token'],
        body: text === '' ? undefined : (JSON.parse(text) as unknown),
      });
      const { status, body } = answer(path);
      const isText = typeof body === 'string' || body === undefined;
      response.writeHead(status).end(isText ? (body ?? '') : JSON.stringify(body));
    });
  }

  beforeEach(async () => {
    received = [];
    server = createServer(receive);
    await openHttpServer(server, '127.0.0.1', 0);
    client = WireInstanceClient.create(`127.0.0.1:${getHttpPort(server)}`);
  });

  afterEach(() => {
    client.dispose();
    server.close();
    server.closeAllConnections();
  });

  describe('lists', () => {
    it('do not lose a machine or the next page', async () => {
      answer = () => ({
        status: 200,
        body: { machines: [MACHINE, { ...MACHINE, state: 'upkeep', id: null }], next_token: 'p 2' },
      });
      const page = await client.send(LIST_CALL, 1_000);
      const info = {
        id: 'm-1',
        pool: 'svc',
        zone: 'a',
        kind: 'k',
        cpuMillis: 16_000,
        memoryMb: 32_768,
        gpus: 0,
      };
      expect(page).toEqual({
        kind: 'page',
        instances: [
          { ...info, state: 'up', workerId: 'i-1' },
          { ...info, state: 'maintenance', workerId: '' },
        ],
        nextToken: 'p 2',
      });
      await client.send({ op: 'list', pageToken: 'p 2' }, 1_000);
      expect(received.map(({ path }) => path)).toEqual([
        '/bramleyladder/machines',
        '/bramleyladder/machines?page_token=p%202',
      ]);
    });

    it.each([
      { machines: [{ ...MACHINE, state: 'lost' }] },
      { machines: [MACHINE, { machine: 'm-2' }] },
      { machines: 'none' },
      'no json',
      '',
    ])('are not accepted from %j', async (body) => {
      answer = () => ({ status: 200, body });
      expect((await client.send(LIST_CALL, 1_000)).kind).toBe('unavailable');
    });
  });

  describe('orders', () => {
    it('are not sent without the owner and its fencing token', async () => {
      answer = () => ({ status: 200 });
      await client.send(MAINTAIN_CALL, 1_000);
      await client.send({ op: 'move', instanceId: 'm-1', pool: 'p', authority: AUTHORITY }, 1_000);
      const expectedHead = { method: 'POST', holder: 'e-1', fence: '12' };
      expect(received).toEqual([
        {
          ...expectedHead,
          path: '/bramleyladder/machine-upkeep',
          body: { machine: 'm-1', wave: 3 },
        },
        {
          ...expectedHead,
          path: '/bramleyladder/machine-move',
          body: { machine: 'm-1', pool: 'p' },
        },
      ]);
    });

    it.each([
      [200, undefined, { kind: 'done' }],
      [409, { reason: 'fence' }, { kind: 'rejected', reason: 'fence' }],
      [409, { reason: 'busy' }, { kind: 'rejected', reason: 'busy' }],
      [409, { reason: 'wave' }, { kind: 'rejected', reason: 'notInWave' }],
      [400, undefined, { kind: 'rejected', reason: 'unknown' }],
      [429, undefined, { kind: 'refused', message: 'the service answered 429' }],
      [409, { reason: 'other' }, { kind: 'unavailable', message: 'unexpected answer 409' }],
      [503, undefined, { kind: 'unavailable', message: 'unexpected answer 503' }],
    ])('do not misread the answer %i %j', async (status, body, reply) => {
      answer = () => ({ status, body });
      expect(await client.send(MAINTAIN_CALL, 1_000)).toEqual(reply);
    });

    it('are not sent when no service is configured', async () => {
      const unconfigured = WireInstanceClient.create('');
      expect((await unconfigured.send(MAINTAIN_CALL, 1_000)).kind).toBe('refused');
      unconfigured.dispose();
    });
  });

  describe('waves', () => {
    it('do not lose a field', () => {
      const wave = { wave: 4, machines: ['m-1', 'm-2'], within_s: 2.5, cap: 2 };
      expect(decodeWave(wave)).toEqual({
        kind: 'wave',
        wave: { number: 4, instances: ['m-1', 'm-2'], withinMs: 2_500, maxDown: 2 },
      });
      expect(decodeWave({ ...wave, cap: 'all' })).toBeUndefined();
    });

    it('do not remain without a command and a status', async () => {
      let isDown = false;
      answer = (path) => {
        const machine = { ...MACHINE, state: isDown ? 'upkeep' : 'up' };
        if (path.endsWith('/machines')) return { status: 200, body: { machines: [machine] } };
        isDown = true;
        return { status: 200 };
      };
      const world = await PlatformWorld.create(`127.0.0.1:${getHttpPort(server)}`);
      const { store, entry } = world.parts;
      entry.state.fleet.commandsAllowedFrom = 0;
      store.write('op/wave/1', { wave: 1, machines: ['m-1'], within_s: 20, cap: 1 });
      const readState = (): unknown => {
        const value = store.items.get('status/wave/1')?.value;
        return value === undefined ? '' : Buffer.from(value, 'base64').toString();
      };
      await waitFor(() => readState() === '{"state":"running"}');
      await waitFor(() => readState() === '{"state":"completed"}');
      const commands = received.filter(({ path }) => path.endsWith('/machine-upkeep'));
      expect(commands).toHaveLength(1);
      expect(commands[0]).toMatchObject({ holder: 'e-1', body: { machine: 'm-1', wave: 1 } });
      world.dispose();
    });
  });
});
