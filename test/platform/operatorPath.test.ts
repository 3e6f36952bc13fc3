import { setTimeout as delay } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { HOST, JOB, PlatformWorld, ROUTE, send, waitFor } from '../support/platformWorld.ts';

describe("operator's keys over the platform wire", () => {
  let world: PlatformWorld;
  let store: PlatformWorld['parts']['store'];
  let runner: PlatformWorld['parts']['runner'];
  let entry: PlatformWorld['parts']['entry'];
  let front: PlatformWorld['parts']['front'];
  let times: PlatformWorld['parts']['times'];

  beforeEach(async () => {
    world = await PlatformWorld.create();
    ({ store, runner, entry, front, times } = world.parts);
  });

  afterEach(() => {
    world.dispose();
  });

  describe('changes by the operator', () => {
    it('do not leave an older configuration in force', async () => {
      const moved = { ...ROUTE, prefix: '/moved/' };
      store.write('op/config', { version: 9, routes: [moved], services: [], limits: {} });
      await waitFor(async () => (await send(front.port, 'GET', '/moved/')).status === 200);
      expect((await send(front.port, 'GET', '/kits/')).status).toBe(404);
    });

    it('do not lose a queue of a configuration with hundreds of queues', async () => {
      const routes = Array.from({ length: 600 }, (_, index) => ({
        ...ROUTE,
        name: `h-${index}`,
        host: index % 2 === 0 ? HOST : 'other.example',
        prefix: index % 3 === 0 ? `/deep/${index}/` : `/q${index}/`,
      }));
      const all = [...routes, ROUTE, { ...ROUTE, name: 'r-deep', prefix: '/deep/' }];
      store.write('op/config', { version: 5, routes: all, services: [], limits: {} });
      await waitFor(() => entry.state.operator.queues.size === all.length);
      for (const { prefix, host } of routes.slice(0, 60)) {
        expect((await send(front.port, 'GET', prefix, undefined, host)).status).toBe(200);
        const other = host === HOST ? 'other.example' : HOST;
        const isUnderDeep = other === HOST && prefix.startsWith('/deep/');
        const answer = await send(front.port, 'GET', prefix, undefined, other);
        expect(answer.status).toBe(isUnderDeep ? 400 : 404);
      }
      await send(front.port, 'POST', `/deep/300/${JOB}`, { steps: [{ count: 1 }] });
      await waitFor(() => runner.runner.starts.length === 1);
      expect(entry.state.jobs.get(JOB)?.job.queue).toBe('h-300');
    });

    it('do not lose or repeat a job whose queue is removed and added again', async () => {
      times.taskMs = 1_500;
      const submission = { steps: [{ count: 1 }, { count: 1, after: [0] }] };
      await send(front.port, 'POST', `/kits/${JOB}`, submission);
      await waitFor(() => runner.runner.starts.length === 1);
      store.write('op/config', { version: 6, routes: [], services: [], limits: {} });
      await waitFor(async () => (await send(front.port, 'GET', '/kits/')).status === 404);
      expect((await send(front.port, 'GET', `/kits/${JOB}`)).status).toBe(404);
      const late = await send(front.port, 'POST', '/kits/00000000000000b2', submission);
      expect(late.status).toBe(404);
      store.write('op/config', { version: 7, routes: [ROUTE], services: [], limits: {} });
      await waitFor(async () => (await send(front.port, 'GET', '/kits/')).status === 200);
      await waitFor(async () => (await world.readJobState()) === 'completed');
      expect(runner.runner.starts.map(({ run }) => run)).toEqual([1, 1]);
      expect((await send(front.port, 'GET', '/kits/00000000000000b2')).status).toBe(410);
    });

    it('do not replace the configuration in force with one that is not valid JSON', async () => {
      store.writeBytes('op/config', 'no json');
      await delay(300);
      expect((await send(front.port, 'GET', '/kits/')).status).toBe(200);
    });

    it('do not start tasks in a zone that is out of service', async () => {
      store.write('op/evacuate/a', {});
      await waitFor(() => entry.state.operator.zonesOut.has('a'));
      await send(front.port, 'POST', `/kits/${JOB}`, { steps: [{ count: 1 }] });
      await delay(300);
      expect(runner.runner.starts).toHaveLength(0);
    });

    it('are not missed when the store has discarded its history', async () => {
      store.oldestWatchRevision = Number.POSITIVE_INFINITY;
      store.write('op/evacuate/b', {});
      await waitFor(() => entry.state.operator.zonesOut.has('b'));
    });
  });
});
