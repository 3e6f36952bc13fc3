import type { Clock } from '../base/common/clock.ts';
import type { Metrics } from '../base/node/metrics.ts';

/** Maximum number of exchanges without an answer; beyond it the oldest is removed as lost. */
const MAX_OPEN_EXCHANGES = 5_000;

/**
 * Measures the time from a message to another process of the system to its answer: `start` from the
 * owner to an agent and its worker, `call` from an entry to the owner.
 */
export class ExchangeTimes {
  private readonly sentAtByExchange = new Map<string, number>();

  private constructor(
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {}

  static create(clock: Clock, metrics: Metrics): ExchangeTimes {
    return new ExchangeTimes(clock, metrics);
  }

  get size(): number {
    return this.sentAtByExchange.size;
  }

  start(exchange: 'start' | 'call', id: string): void {
    this.sentAtByExchange.set(`${exchange} ${id}`, this.clock.now);
    if (this.sentAtByExchange.size <= MAX_OPEN_EXCHANGES) return;
    const [oldest] = this.sentAtByExchange.keys();
    if (oldest !== undefined) this.sentAtByExchange.delete(oldest);
  }

  record(exchange: 'start' | 'call', id: string): void {
    const key = `${exchange} ${id}`;
    const sentAt = this.sentAtByExchange.get(key);
    if (sentAt === undefined) return;
    this.sentAtByExchange.delete(key);
    this.metrics.recordDuration('exchange_duration_ms', { exchange }, this.clock.now - sentAt);
  }
}
