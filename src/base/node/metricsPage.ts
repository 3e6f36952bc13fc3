import { Counter, Gauge, Registry } from 'prom-client';
import type { CounterSample } from '../common/counters.ts';
import type { DurationSeries, GaugeSample, Labels } from './metrics.ts';
import { MICROSECONDS_PER_MS } from './metrics.ts';

const PREFIX = 'bramleyladder_';
const QUANTILES = [0.5, 0.9, 0.99, 0.999];

/**
 * Renders the metrics page in the Prometheus text format. Loaded on the first request because
 * prom-client takes a fifth of the CPU time of an agent's start.
 */
export class MetricsPage {
  private readonly registry = new Registry();
  private readonly counters = new Map<string, Counter>();

  private constructor() {
    // Built by create().
  }

  static create(): MetricsPage {
    return new MetricsPage();
  }

  async render(
    counters: readonly CounterSample[],
    gauges: readonly GaugeSample[],
    durations: Iterable<DurationSeries>,
  ): Promise<string> {
    for (const { name, labels, value } of counters) {
      const counter = this.counters.get(name) ?? this.addCounter(name, labels);
      this.counters.set(name, counter);
      counter.inc(labels, value);
    }
    for (const sample of gauges) this.addGauge(sample);
    for (const series of durations) this.addDuration(series);
    return this.registry.metrics();
  }

  private addCounter(name: string, labels: Labels): Counter {
    return new Counter({
      name: `${PREFIX}${name}_total`,
      help: `see docs/operators.md, counter ${name}`,
      labelNames: Object.keys(labels),
      registers: [this.registry],
    });
  }

  private addDuration(series: DurationSeries): void {
    const { name, labels, histogram, sumMs } = series;
    const help = `see docs/operators.md, duration ${name}`;
    for (const quantile of QUANTILES) {
      this.addGauge({
        name,
        help,
        labels: { ...labels, quantile: String(quantile) },
        value: histogram.getValueAtPercentile(quantile * 100) / MICROSECONDS_PER_MS,
      });
    }
    this.addGauge({ name: `${name}_count`, help, labels, value: histogram.totalCount });
    this.addGauge({ name: `${name}_sum`, help, labels, value: sumMs });
  }

  private addGauge(sample: GaugeSample): void {
    const metric = `${PREFIX}${sample.name}`;
    const known = this.registry.getSingleMetric(metric) as Gauge | undefined;
    const gauge =
      known ??
      new Gauge({
        name: metric,
        help: sample.help,
        labelNames: Object.keys(sample.labels),
        registers: [this.registry],
      });
    gauge.set(sample.labels, sample.value);
  }
}
