import type { Server } from 'node:http';
import { createServer } from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { getHttpPort, openHttpServer } from '../../src/base/node/httpListening.ts';
import { PlatformStoreClient } from '../../src/platform/platformStoreClient.ts';
import { WireHttp } from '../../src/platform/wireHttp.ts';
import { WireRunnerClient } from '../../src/platform/wireRunnerClient.ts';
import { INVALID_ADDRESSES, buildNestedJson } from '../support/invalidValues.ts';

const TIMEOUT_MS = 500;
/** Nesting of a value that neither the engine's parser nor the schemas may recurse into. */
const DEPTH = 200_000;

describe('calls over the platform wire', () => {
  const http = WireHttp.create();
  let server: Server;
  let answer = '';
  let address = '';

  beforeEach(async () => {
    server = createServer((_, response) => response.end(answer));
    await openHttpServer(server, '127.0.0.1', 0);
    address = `127.0.0.1:${getHttpPort(server)}`;
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  describe('that cannot be sent', () => {
    it.each(INVALID_ADDRESSES)('to %j do not reject, which would end the process', async (to) => {
      const call = { method: 'GET', address: to, path: '/', timeoutMs: TIMEOUT_MS } as const;
      const { kind } = await http.send(call);
      expect(['noAnswer', 'notSent']).toContain(kind);
    });

    it('do not count as a refused connection, which proves that a worker has ended', async () => {
      const call = { op: 'stop', task: 't', run: 1, fence: 1 } as const;
      const client = WireRunnerClient.create();
      for (const [to, workerId] of [
        ['127.0.0.1:99999', 'i-1'],
        [address, 'line\nbreak'],
      ] as const)
        expect((await client.send(to, workerId, call, TIMEOUT_MS)).kind).toBe('noAnswer');
    });

    it('do not reject for a key of another writer that is not well-formed text', async () => {
      answer = '{"items":[],"current_rev":3}';
      const client = PlatformStoreClient.create(address);
      const call = { op: 'listPage', prefix: 'in/', after: 'in/a/\ud800' } as const;
      expect((await client.send(call, TIMEOUT_MS)).kind).toBe('page');
      client.dispose();
    });
  });

  describe('with an answer of another writer', () => {
    it('do not fail for a value that is nested very deeply', async () => {
      const value = Buffer.from(buildNestedJson(DEPTH)).toString('base64');
      const other = Buffer.from('{"a":1}').toString('base64');
      answer = JSON.stringify({
        items: [
          { key: 'in/a/odd', rev: 1, value },
          { key: 'in/a/other', rev: 2, value: other },
        ],
        current_rev: 3,
      });
      const client = PlatformStoreClient.create(address);
      const reply = await client.send({ op: 'listPage', prefix: 'in/' }, TIMEOUT_MS);
      expect(reply).toMatchObject({ kind: 'page', entries: [{}, { value: { a: 1 } }] });
      client.dispose();
    });

    it('do not fail for a body that is nested very deeply', async () => {
      answer = buildNestedJson(DEPTH);
      const client = PlatformStoreClient.create(address);
      const reply = await client.send({ op: 'listPage', prefix: 'in/' }, TIMEOUT_MS);
      expect(reply.kind).toBe('unavailable');
      client.dispose();
    });
  });
});
