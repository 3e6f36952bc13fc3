import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { request } from 'undici';
import { LocalCluster } from '../../src/cli/localCluster.ts';
import { routeSchema, tablesSchema } from '../../src/model/configuration.ts';

const HOST = '127.0.0.1';
const SERVICE_TIME_MS = 1_000;
const DEADLINE_MS = 3_000;

function createTables() {
  const route = { service: 'kit', pool: 'kits', deadlineMs: DEADLINE_MS };
  return tablesSchema.parse({
    routes: [
      { ...route, name: 'once', pathPrefix: '/once', idempotent: false },
      { ...route, name: 'again', pathPrefix: '/again', idempotent: true },
    ].map((row) => routeSchema.parse(row)),
    pools: [
      { name: 'kits', region: 'kr-south', zones: ['busan-a'], workClass: 'latency-critical' },
    ],
  });
}

describe('an agent that is killed during a request', () => {
  let cluster: LocalCluster;

  beforeAll(async () => {
    cluster = await LocalCluster.create(createTables());
    await cluster.waitReady();
  });

  afterAll(() => {
    cluster.dispose();
  });

  /** Sends a request, kills the agent that runs it, and returns status, error and runs. */
  async function runWithCrash(path: string, key: string) {
    for (const endpoint of cluster.endpoints) endpoint.serviceMs = SERVICE_TIME_MS;
    const url = `http://${HOST}:${cluster.entries[0]!.callerPort}${path}`;
    const pending = request(url, { method: 'POST', headers: { 'x-request-key': key } });
    const findRunningIndex = (): number =>
      cluster.endpoints.findIndex((endpoint) => endpoint.requestCountsByKey.has(key));
    while (findRunningIndex() < 0) await new Promise((resolve) => setTimeout(resolve, 5));
    const agent = cluster.agents[findRunningIndex()]!;
    // Excludes this endpoint from the next attempt; the routing policy is not under test here.
    const endpointId = `${agent.state.self.id}/kit`;
    cluster.entries[0]!.state.endpoints.update(endpointId, { draining: true });
    agent.dispose();
    const answer = await pending;
    const body = (await answer.body.json()) as { error?: string; ran?: string };
    const runs = cluster.endpoints.reduce(
      (sum, endpoint) => sum + (endpoint.requestCountsByKey.get(key) ?? 0),
      0,
    );
    return { status: answer.statusCode, ...body, runs };
  }

  describe('on a route that is not idempotent', () => {
    it('does not cause a second run of the request or report it as not run', async () => {
      const result = await runWithCrash('/once', 'k1');
      expect(result).toMatchObject({ runs: 1, ran: 'unknown' });
    });
  });

  describe('on an idempotent route', () => {
    it('does not fail the request while other endpoints can serve it', async () => {
      const result = await runWithCrash('/again', 'k2');
      expect(result).toMatchObject({ status: 200, runs: 2 });
    });
  });
});
