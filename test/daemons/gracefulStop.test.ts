import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { request } from 'undici';
import { LocalCluster } from '../../src/cli/localCluster.ts';
import { routeSchema, tablesSchema } from '../../src/model/configuration.ts';

const SERVICE_TIME_MS = 3_000;

describe('a graceful stop during requests', () => {
  let cluster: LocalCluster;

  beforeAll(async () => {
    const route = routeSchema.parse({
      name: 'once',
      pathPrefix: '/once',
      service: 'kit',
      pool: 'kits',
      idempotent: false,
    });
    const pool = { name: 'kits', region: 'kr-south', zones: ['busan-a'] };
    cluster = await LocalCluster.create(
      tablesSchema.parse({ routes: [route], pools: [{ ...pool, workClass: 'latency-critical' }] }),
    );
    await cluster.waitReady();
    for (const endpoint of cluster.endpoints) endpoint.serviceMs = SERVICE_TIME_MS;
  });

  afterAll(() => {
    cluster.dispose();
  });

  async function sendOne(entry: number): Promise<number> {
    const url = `http://127.0.0.1:${cluster.entries[entry]!.callerPort}/once`;
    const answer = await request(url, { method: 'POST' });
    await answer.body.dump();
    return answer.statusCode;
  }

  async function waitRunning(count: number): Promise<void> {
    const countRunning = (): number =>
      cluster.endpoints.reduce((sum, endpoint) => sum + endpoint.activeRequests, 0);
    while (countRunning() < count) await new Promise((resolve) => setTimeout(resolve, 5));
  }

  /** Waits until the entry has recorded the draining endpoints; 3 s is the guaranteed limit. */
  async function waitDraining(count: number): Promise<void> {
    const countDraining = (): number =>
      [...cluster.entries[1]!.state.endpoints.values()].filter(({ draining }) => draining).length;
    const untilMs = performance.now() + 3_000;
    while (countDraining() < count && performance.now() < untilMs)
      await new Promise((resolve) => setTimeout(resolve, 20));
    expect(countDraining()).toBe(count);
  }

  it('of every agent but one does not cut off a request or refuse a later one', async () => {
    const pending = Array.from({ length: 8 }, () => sendOne(1));
    await waitRunning(8);
    const leaving = cluster.agents.slice(1);
    for (const agent of leaving) agent.stop();
    await waitDraining(leaving.length);
    const answers = await Promise.all([...pending, sendOne(1)]);
    expect(answers).toEqual(Array(9).fill(200));
    await Promise.all(leaving.map((agent) => agent.stopped));
  });

  it('of an entry does not cut off a request, and the entry exits afterwards', async () => {
    const pending = sendOne(0);
    await waitRunning(1);
    const entry = cluster.entries[0]!;
    const url = `http://127.0.0.1:${entry.callerPort}/once`;
    entry.stop();
    expect(await pending).toBe(200);
    await entry.stopped;
    expect(entry.state.requests.size).toBe(0);
    await expect(request(url)).rejects.toMatchObject({ code: 'ECONNREFUSED' });
  });
});
