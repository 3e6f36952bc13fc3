import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';
import type { CounterSample } from '../common/counters.ts';

const PREFIX = 'bramleyladder_';
const QUANTILES = [0.5, 0.9, 0.99, 0.999];
const MICROSECONDS_PER_MS = 1_000;
const MAX_DURATION_US = 600_000_000;

type Labels = Readonly<Record<string, string>>;

interface DurationSeries {
  readonly name: string;
  readonly labels: Labels;
  readonly histogram: Histogram;
  sumMs: number;
}

/** A value that the metrics page reads from the state when it is asked. */
export interface GaugeSample {
  readonly name: string;
  readonly help: string;
  readonly labels: Labels;
  readonly value: number;
}

/** Durations of a process, and the metrics page in the text format of Prometheus. */
export class Metrics {
  private readonly durations = new Map<string, DurationSeries>();

  private constructor() {
    // Built by create().
  }

  static create(): Metrics {
    return new Metrics();
  }

  recordDuration(name: string, labels: Labels, durationMs: number): void {
    const key = `${name}|${Object.values(labels).join('|')}`;
    let series = this.durations.get(key);
    if (series === undefined) {
      const histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_DURATION_US,
        numberOfSignificantValueDigits: 2,
        bitBucketSize: 32,
      });
      series = { name, labels, histogram, sumMs: 0 };
      this.durations.set(key, series);
    }
    const durationUs = Math.min(MAX_DURATION_US, Math.round(durationMs * MICROSECONDS_PER_MS));
    series.histogram.recordValue(Math.max(0, durationUs));
    series.sumMs += durationMs;
  }

  /** Quantile over all series of a name, in milliseconds; 0 without values. */
  getQuantile(name: string, quantile: number): number {
    const total = build({ numberOfSignificantValueDigits: 2, bitBucketSize: 32 });
    for (const series of this.durations.values()) {
      if (series.name === name) total.add(series.histogram);
    }
    return total.getValueAtPercentile(quantile * 100) / MICROSECONDS_PER_MS;
  }

  /** The page: counters, gauges, and quantiles of the durations. */
  async render(
    counters: readonly CounterSample[],
    gauges: readonly GaugeSample[],
  ): Promise<string> {
    const registry = new Registry();
    const byName = new Map<string, Counter>();
    for (const { name, labels, value } of counters) {
      const counter = byName.get(name) ?? this.addCounter(registry, name, labels);
      byName.set(name, counter);
      counter.inc(labels, value);
    }
    for (const sample of gauges) this.addGauge(registry, sample);
    for (const series of this.durations.values()) this.addDuration(registry, series);
    return registry.metrics();
  }

  private addCounter(registry: Registry, name: string, labels: Labels): Counter {
    return new Counter({
      name: `${PREFIX}${name}_total`,
      help: `see docs/operators.md, counter ${name}`,
      labelNames: Object.keys(labels),
      registers: [registry],
    });
  }

  private addDuration(registry: Registry, series: DurationSeries): void {
    const { name, labels, histogram, sumMs } = series;
    const help = `see docs/operators.md, duration ${name}`;
    for (const quantile of QUANTILES) {
      this.addGauge(registry, {
        name,
        help,
        labels: { ...labels, quantile: String(quantile) },
        value: histogram.getValueAtPercentile(quantile * 100) / MICROSECONDS_PER_MS,
      });
    }
    this.addGauge(registry, { name: `${name}_count`, help, labels, value: histogram.totalCount });
    this.addGauge(registry, { name: `${name}_sum`, help, labels, value: sumMs });
  }

  private addGauge(registry: Registry, sample: GaugeSample): void {
    const metric = `${PREFIX}${sample.name}`;
    const known = registry.getSingleMetric(metric) as Gauge | undefined;
    const gauge =
      known ??
      new Gauge({
        name: metric,
        help: sample.help,
        labelNames: Object.keys(sample.labels),
        registers: [registry],
      });
    gauge.set(sample.labels, sample.value);
  }
}
