import { describe, expect, it } from 'vitest';
import { ManualClock } from '../../src/base/common/clock.ts';
import { Metrics } from '../../src/base/node/metrics.ts';
import { ExchangeTimes } from '../../src/daemons/exchangeTimes.ts';

function createTimes(): { clock: ManualClock; metrics: Metrics; times: ExchangeTimes } {
  const clock = ManualClock.create(0);
  const metrics = Metrics.create();
  return { clock, metrics, times: ExchangeTimes.create(clock, metrics) };
}

describe('exchange durations', () => {
  describe('with answers', () => {
    it('are not recorded for another exchange or twice', async () => {
      const { clock, metrics, times } = createTimes();
      times.start('start', 'a');
      times.start('call', 'a');
      clock.advance(40);
      times.record('call', 'a');
      times.record('call', 'a');
      const page = await metrics.render([], []);
      expect(page).toContain('exchange_duration_ms_count{exchange="call"} 1');
      expect(page).not.toContain('exchange="start"');
      expect(times.size).toBe(1);
    });
  });

  describe('without answers', () => {
    it('are not stored without a limit', () => {
      const { times } = createTimes();
      for (let index = 0; index < 20_000; index += 1) times.start('start', String(index));
      expect(times.size).toBeLessThanOrEqual(5_000);
    });
  });
});
