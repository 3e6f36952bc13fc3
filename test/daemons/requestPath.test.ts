import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { request } from 'undici';
import { LocalCluster } from '../../src/cli/localCluster.ts';
import { loadJsonFile } from '../../src/daemons/settings.ts';
import { tablesSchema } from '../../src/model/configuration.ts';

describe('request path over sockets', () => {
  let cluster: LocalCluster;

  beforeAll(async () => {
    const tables = loadJsonFile('examples/hanbit.tables.json', tablesSchema).unsafeCoerce();
    cluster = await LocalCluster.create(tables);
    await cluster.waitReady();
  });

  afterAll(() => {
    cluster.dispose();
  });

  describe('a request that matches a route', () => {
    it('does not lose or change the path and the body between caller and endpoint', async () => {
      const port = cluster.entries[0]!.callerPort;
      const answer = await request(`http://127.0.0.1:${port}/kits/7?light=low`, {
        method: 'POST',
        body: 'x'.repeat(100_000),
      });
      const body = (await answer.body.json()) as { path: string; bodyBytes: number };
      expect(answer.statusCode).toBe(200);
      expect(body.path).toBe('/kits/7?light=low');
      expect(body.bodyBytes).toBe(100_000);
    });
  });

  describe('a request without a route', () => {
    it('is not refused without a reason', async () => {
      const port = cluster.entries[1]!.callerPort;
      const answer = await request(`http://127.0.0.1:${port}/unknown`);
      expect(answer.statusCode).toBe(404);
      expect(await answer.body.json()).toMatchObject({ error: 'no_route', ran: 'no' });
    });
  });
});
