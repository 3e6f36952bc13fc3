import { describe, expect, it } from 'vitest';
import { ManualClock } from '../../src/base/common/clock.ts';
import { Metrics } from '../../src/base/node/metrics.ts';
import { ExchangeTimes } from '../../src/daemons/exchangeTimes.ts';

function createTimes(): { clock: ManualClock; metrics: Metrics; times: ExchangeTimes } {
  const clock = ManualClock.create(0);
  const metrics = Metrics.create();
  return { clock, metrics, times: ExchangeTimes.create(clock, metrics) };
}

describe('times of exchanges', () => {
  describe('with answers', () => {
    it('does not take the answer of one exchange for that of another', async () => {
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
    it('does not grow without bound', () => {
      const { times } = createTimes();
      for (let index = 0; index < 20_000; index += 1) times.start('start', String(index));
      expect(times.size).toBeLessThanOrEqual(5_000);
    });
  });
});
