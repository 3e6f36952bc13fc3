import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from '../../src/base/common/clock.ts';
import { Counters } from '../../src/base/common/counters.ts';
import { LogWriter } from '../../src/base/node/logWriter.ts';
import { FailureMonitor } from '../../src/daemons/failureMonitor.ts';
import { JOB, PlatformWorld, send, waitFor } from '../support/platformWorld.ts';

describe('unexpected exceptions', () => {
  describe('in a running scheduler', () => {
    let world: PlatformWorld;

    beforeEach(async () => {
      world = await PlatformWorld.create();
    });

    afterEach(() => {
      world.dispose();
    });

    /** Makes the next listing of a table throw, as a fault in a system does. */
    function failOnce(table: { list(): unknown[] }): void {
      const list = table.list.bind(table);
      table.list = () => {
        table.list = list;
        throw new TypeError('a row without its field');
      };
    }

    it('of a system of the owner do not end the process or lose a job', async () => {
      const { entry, front, times } = world.parts;
      times.taskMs = 400;
      const submission = { steps: [{ count: 2, cpu: 500 }] };
      expect((await send(front.port, 'POST', `/kits/${JOB}`, submission)).status).toBe(200);
      await waitFor(() => entry.state.runs.size === 2);
      failOnce(entry.state.agents);
      await waitFor(() => entry.state.ownership.role !== 'owner');
      expect(entry.state.jobs.size).toBe(0);
      expect(entry.state.counters.get('contained_failures', { source: 'system' })).toBe(1);
      world.parts.store.expireLease(1);
      await waitFor(async () => (await world.readJobState()) === 'completed');
      expect(world.parts.runner.runner.starts).toHaveLength(2);
    });

    it('of a system of an agent do not end the process or start a task twice', async () => {
      const { agent, front, runner } = world.parts;
      failOnce(agent.state.commands);
      await waitFor(() => agent.state.counters.get('contained_failures') === 1);
      const submission = { steps: [{ count: 2, cpu: 500 }] };
      expect((await send(front.port, 'POST', `/kits/${JOB}`, submission)).status).toBe(200);
      await waitFor(async () => (await world.readJobState()) === 'completed');
      expect(runner.runner.starts).toHaveLength(2);
    });
  });

  describe('of a call', () => {
    it('do not leave it without a reply', async () => {
      const counters = Counters.create();
      const monitor = FailureMonitor.create(
        LogWriter.create(true),
        counters,
        ManualClock.create(0),
      );
      const reply = await monitor.completeCall<unknown>(
        'store',
        Promise.reject(new RangeError('bad port')),
        (message) => ({ kind: 'unavailable', message }),
      );
      expect(reply).toEqual({ kind: 'unavailable', message: 'RangeError: bad port' });
      expect(counters.get('contained_failures', { source: 'call', name: 'store' })).toBe(1);
    });
  });

  describe('that persist', () => {
    function createMonitor() {
      const clock = ManualClock.create(0);
      const monitor = FailureMonitor.create(LogWriter.create(true), Counters.create(), clock);
      let ends = 0;
      monitor.onPersistent = () => (ends += 1);
      return { clock, monitor, countEnds: () => ends };
    }

    function recordMany(monitor: FailureMonitor, count: number): void {
      for (let index = 0; index < count; index += 1) monitor.record('system', 'call', 'fault');
    }

    it('do not leave a process running whose state cannot be repaired', () => {
      const { clock, monitor, countEnds } = createMonitor();
      clock.advance(60_000);
      recordMany(monitor, 60);
      expect(countEnds()).toBe(1);
    });

    it('do not end a process again and again right after its start', () => {
      const { clock, monitor, countEnds } = createMonitor();
      clock.advance(5_000);
      recordMany(monitor, 500);
      expect(countEnds()).toBe(0);
    });

    it('do not count together with failures of long ago', () => {
      const { clock, monitor, countEnds } = createMonitor();
      for (let hour = 0; hour < 24; hour += 1) {
        clock.advance(60 * 60 * 1_000);
        recordMany(monitor, 10);
      }
      expect(countEnds()).toBe(0);
    });
  });
});
