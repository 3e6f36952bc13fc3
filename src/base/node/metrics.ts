import type { Histogram } from 'hdr-histogram-js';
import { constructorFromBucketSize } from 'hdr-histogram-js/dist/JsHistogramFactory.js';
import type { CounterSample } from '../common/counters.ts';

export const MICROSECONDS_PER_MS = 1_000;
const SIGNIFICANT_DIGITS = 2;
const HISTOGRAM_COUNTER_BITS = 32;
const MAX_DURATION_US = 600_000_000;

export type Labels = Readonly<Record<string, string>>;

export interface DurationSeries {
  readonly name: string;
  readonly labels: Labels;
  readonly histogram: Histogram;
  sumMs: number;
}

/** A gauge that is read from the state when the metrics page is requested. */
export interface GaugeSample {
  readonly name: string;
  readonly help: string;
  readonly labels: Labels;
  readonly value: number;
}

/** Uses the factory module; the index of the package also loads WebAssembly and compression. */
function createHistogram(): Histogram {
  const Histogram = constructorFromBucketSize(HISTOGRAM_COUNTER_BITS);
  return new Histogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS);
}

/** Records durations of a process and renders its metrics page in the Prometheus text format. */
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
      const histogram = createHistogram();
      series = { name, labels, histogram, sumMs: 0 };
      this.durations.set(key, series);
    }
    const durationUs = Math.min(MAX_DURATION_US, Math.round(durationMs * MICROSECONDS_PER_MS));
    series.histogram.recordValue(Math.max(0, durationUs));
    series.sumMs += durationMs;
  }

  /** Returns the quantile over all series of a name in milliseconds, or 0 without values. */
  getQuantile(name: string, quantile: number): number {
    const total = createHistogram();
    for (const series of this.durations.values()) {
      if (series.name === name) total.add(series.histogram);
    }
    return total.getValueAtPercentile(quantile * 100) / MICROSECONDS_PER_MS;
  }

  /** Renders counters, gauges, and quantiles of the durations. */
  async render(
    counters: readonly CounterSample[],
    gauges: readonly GaugeSample[],
  ): Promise<string> {
    const { MetricsPage } = await import('./metricsPage.ts');
    return MetricsPage.create().render(counters, gauges, this.durations.values());
  }
}
