import { setTimeout as wait } from 'node:timers/promises';
import { build } from 'hdr-histogram-js';
import { Pool } from 'undici';
import * as z from 'zod/mini';

const CALLERS_PER_ENTRY = 1;
/** Pause of a caller after each answer, so that the load spans the zone change. */
const CALLER_PAUSE_MS = 15;
const MICROSECONDS_PER_MS = 1_000;
const MAX_LATENCY_US = 60_000_000;

/** Outcome of the sample load. */
export interface LoadSummary {
  readonly requests: number;
  readonly answered: number;
  /** Number of refusals by error kind; `no_answer` counts broken connections. */
  readonly refused: Readonly<Record<string, number>>;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

const errorBodySchema = z.object({ error: z.string() });

async function sendKitRequest(pool: Pool, index: number): Promise<string> {
  try {
    const answer = await pool.request({ method: 'GET', path: `/kits/${index}` });
    if (answer.statusCode === 200) {
      await answer.body.dump();
      return 'answered';
    }
    const body = z.safeParse(errorBodySchema, await answer.body.json());
    return body.success ? body.data.error : `status_${answer.statusCode}`;
  } catch {
    return 'no_answer';
  }
}

/** Sends requests from concurrent callers, each sequentially, and counts the outcomes. */
export async function sendSampleLoad(
  origins: readonly string[],
  requests: number,
): Promise<LoadSummary> {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
  const counts: Record<string, number> = {};
  let lastIndex = 0;
  const runCaller = async (pool: Pool): Promise<void> => {
    while (lastIndex < requests) {
      lastIndex += 1;
      const sentMs = performance.now();
      const outcome = await sendKitRequest(pool, lastIndex);
      histogram.recordValue(Math.round((performance.now() - sentMs) * MICROSECONDS_PER_MS));
      counts[outcome] = (counts[outcome] ?? 0) + 1;
      await wait(CALLER_PAUSE_MS);
    }
  };
  const pools = origins.map((origin) => new Pool(origin, { connections: CALLERS_PER_ENTRY }));
  const callers = pools.flatMap((pool) =>
    Array.from({ length: CALLERS_PER_ENTRY }, () => runCaller(pool)),
  );
  await Promise.all(callers);
  await Promise.all(pools.map((pool) => pool.close()));
  const { answered = 0, ...refused } = counts;
  return {
    requests,
    answered,
    refused,
    p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
  };
}
