import { afterEach, describe, expect, it } from 'vitest';
import { LogWriter } from '../../src/base/node/logWriter.ts';
import { LocalCluster } from '../../src/cli/localCluster.ts';
import { EntryDaemon } from '../../src/daemons/entryDaemon.ts';
import { loadHanbitTables } from '../support/hanbitLinks.ts';

async function waitUntil(check: () => boolean): Promise<void> {
  const deadline = Date.now() + 10_000;
  while (!check()) {
    if (Date.now() > deadline) throw new Error('the condition did not become true');
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

describe('outage of the store over sockets', () => {
  let cluster: LocalCluster;
  let late: EntryDaemon | undefined;

  afterEach(() => {
    late?.dispose();
    cluster.dispose();
  });

  describe('of a running entry', () => {
    it('does not stop requests, and changes are refused with a reason', async () => {
      cluster = await LocalCluster.create(loadHanbitTables());
      await cluster.waitReady();
      cluster.store.isDown = true;
      const entry = cluster.entries[0]!;
      const answer = await fetch(`http://127.0.0.1:${entry.callerPort}/kits/1`);
      expect(answer.status).toBe(200);
      const origin = `http://127.0.0.1:${entry.operatorPort}`;
      const refused = await fetch(`${origin}/v1/zones/busan-a/out`, { method: 'PUT' });
      expect(refused.status).toBe(503);
      expect(await refused.json()).toMatchObject({ error: 'store_unavailable', ran: 'no' });
    });
  });

  describe('of a new entry', () => {
    it('does not block a new entry when a peer has the configuration', async () => {
      cluster = await LocalCluster.create(loadHanbitTables());
      await cluster.waitReady();
      cluster.store.isDown = true;
      late = await EntryDaemon.create(
        {
          id: 'entry-late',
          region: 'kr-south',
          zone: 'daegu-c',
          host: '127.0.0.1',
          callerPort: 0,
          operatorPort: 0,
          linkPort: 0,
          storeOrigin: cluster.store.origin,
          peers: [cluster.entries[0]!.state.self.info.address],
          stopSeconds: 30,
        },
        LogWriter.create(true),
      );
      const { state } = late;
      // The front end stays closed without a configuration: callers would get a false no_route.
      expect(late.callerPort).toBe(0);
      await waitUntil(() => late?.callerPort !== 0);
      expect(state.configuration.current.revision).toBe(1);
    });
  });
});
