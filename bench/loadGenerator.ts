import { performance } from 'node:perf_hooks';
import { build } from 'hdr-histogram-js';
import { Pool } from 'undici';
import type { SeededRandom } from '../src/base/common/seededRandom.ts';

const MAX_LATENCY_US = 60_000_000;

export interface LoadFigures {
  readonly perSecond: number;
  readonly medianMs: number;
  readonly p99Ms: number;
  /** Processor time of all threads per request, in milliseconds; less disturbed by a busy machine. */
  readonly cpuMs: number;
  /** Requests that were not answered with 200. */
  readonly failed: number;
}

/** Sends GET requests to one origin and records the latencies. */
export class LoadGenerator {
  private readonly pool: Pool;
  private histogram = build({ highestTrackableValue: MAX_LATENCY_US });
  private answered = 0;
  private failed = 0;
  private cpuAtStart = process.cpuUsage();

  private constructor(origin: string, connections: number) {
    this.pool = new Pool(origin, { connections, pipelining: 1 });
  }

  static create(origin: string, connections: number): LoadGenerator {
    return new LoadGenerator(origin, connections);
  }

  /** Keeps a number of requests in progress for a time: the rate is the saturation. */
  async measureSaturation(concurrency: number, durationMs: number): Promise<LoadFigures> {
    this.reset();
    const startMs = performance.now();
    const sendUntilEnd = async (): Promise<void> => {
      while (performance.now() - startMs < durationMs) await this.send(performance.now());
    };
    await Promise.all(Array.from({ length: concurrency }, sendUntilEnd));
    return this.toFigures(performance.now() - startMs);
  }

  /** Sends at a rate with Poisson arrivals; latency counts from the intended time of sending. */
  async measureRate(
    perSecond: number,
    durationMs: number,
    random: SeededRandom,
  ): Promise<LoadFigures> {
    this.reset();
    const startMs = performance.now();
    const sends: Promise<void>[] = [];
    let nextMs = startMs;
    while (nextMs < startMs + durationMs) {
      while (nextMs <= performance.now()) {
        sends.push(this.send(nextMs));
        nextMs += random.takeExponential(1_000 / perSecond);
      }
      // A timer waits for at least 1 ms, which is more than the latencies that are measured.
      await new Promise((resolve) => setImmediate(resolve));
    }
    await Promise.all(sends);
    return this.toFigures(performance.now() - startMs);
  }

  async dispose(): Promise<void> {
    await this.pool.destroy();
  }

  private async send(intendedMs: number): Promise<void> {
    try {
      const answer = await this.pool.request({ method: 'GET', path: '/kits/1' });
      await answer.body.dump();
      if (answer.statusCode !== 200) this.failed += 1;
    } catch {
      this.failed += 1;
    }
    this.answered += 1;
    this.histogram.recordValue(Math.max(1, Math.round((performance.now() - intendedMs) * 1_000)));
  }

  private reset(): void {
    this.histogram.reset();
    this.answered = 0;
    this.failed = 0;
    this.cpuAtStart = process.cpuUsage();
  }

  private toFigures(elapsedMs: number): LoadFigures {
    const { user, system } = process.cpuUsage(this.cpuAtStart);
    return {
      cpuMs: (user + system) / 1_000 / Math.max(1, this.answered),
      perSecond: (this.answered * 1_000) / elapsedMs,
      medianMs: this.histogram.getValueAtPercentile(50) / 1_000,
      p99Ms: this.histogram.getValueAtPercentile(99) / 1_000,
      failed: this.failed,
    };
  }
}
