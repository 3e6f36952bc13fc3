import { build as buildHistogram } from 'hdr-histogram-js';
import type { RouteConfig } from '../src/model/configuration.ts';
import { routeSchema } from '../src/model/configuration.ts';
import { DeadlineAdmission } from '../src/systems/admission/deadlineAdmission.ts';
import { LoadAwareRouting } from '../src/systems/routing/loadAwareRouting.ts';
import type { RoutingPolicy } from '../src/systems/routing/routingPolicy.ts';
import { RandomRouting } from '../src/systems/routing/routingPolicy.ts';
import type { BenchReport, BenchRow } from './report.ts';
import { createBenchRow } from './report.ts';
import { RequestHarness } from './requestHarness.ts';
import type { CallerOutcome, EndpointFault } from './serviceModel.ts';
import { CAPACITY_RPS, countWrongRefusals } from './serviceModel.ts';

const FAULT_AT_MS = 5_000;
const END_MS = 30_000;

export const READ_ROUTE: RouteConfig = routeSchema.parse({
  name: 'kit-read',
  pathPrefix: '/kits',
  methods: ['GET'],
  service: 'kit',
  pool: 'kit-services',
  idempotent: true,
  priority: 'urgent',
  deadlineMs: 2_000,
});

export interface LatencySummary {
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly answeredShare: number;
}

/** Latency of answered requests in milliseconds, and the share of all requests that was answered. */
export function computeLatency(outcomes: readonly CallerOutcome[]): LatencySummary {
  const histogram = buildHistogram({ numberOfSignificantValueDigits: 3 });
  const answered = outcomes.filter((outcome) => outcome.result === 'answered');
  for (const { doneMs, sentMs } of answered)
    histogram.recordValue(Math.round(10 * (doneMs - sentMs)));
  return {
    p50: histogram.getValueAtPercentile(50) / 10,
    p99: histogram.getValueAtPercentile(99) / 10,
    p999: histogram.getValueAtPercentile(99.9) / 10,
    answeredShare: answered.length / Math.max(1, outcomes.length),
  };
}

interface RoutingRun extends LatencySummary {
  readonly wrongRefusals: number;
  /** Share of the attempts that the faulty endpoint was given; a tenth would be its equal share. */
  readonly faultyShare: number;
}

export interface RoutingCase {
  readonly seed: number;
  readonly entries: number;
  readonly fault: EndpointFault;
  readonly load: number;
  readonly lossShare: number;
}

export function measureRouting(
  options: RoutingCase,
  createRouting: () => RoutingPolicy,
): RoutingRun {
  const harness = RequestHarness.create({
    ...options,
    routes: [READ_ROUTE],
    createRouting,
    createAdmission: () => DeadlineAdmission.create(),
  });
  const rate = options.load * CAPACITY_RPS;
  harness.runLoad(FAULT_AT_MS, rate, () => READ_ROUTE);
  harness.faults[0] = options.fault;
  const before = countForwarded(harness);
  harness.runLoad(END_MS, rate, () => READ_ROUTE);
  const after = countForwarded(harness);
  harness.run(END_MS + 5_000);
  const outcomes = [...harness.outcomes.values()].filter(({ sentMs }) => sentMs >= FAULT_AT_MS);
  return {
    ...computeLatency(outcomes),
    wrongRefusals: countWrongRefusals(harness.outcomes.values()),
    faultyShare: (after.faulty - before.faulty) / (after.all - before.all),
  };
}

function countForwarded(harness: RequestHarness): { faulty: number; all: number } {
  const all = harness.forwarded.reduce((total, count) => total + count, 0);
  return { faulty: harness.forwarded[0] ?? 0, all };
}

function collectRows(options: RoutingCase, label: string): BenchRow[] {
  const baseline = measureRouting(options, () => RandomRouting.create());
  const chosen = measureRouting(options, () => LoadAwareRouting.create());
  const row = (metric: string, key: keyof RoutingRun, target = '', isMet = true): BenchRow =>
    createBenchRow(`${label} ${metric}`, baseline[key], chosen[key], target, isMet);
  return [
    row('p50 ms', 'p50'),
    row('p99 ms', 'p99'),
    row('p99.9 ms', 'p999'),
    row('answered share', 'answeredShare'),
    row('attempt share of endpoint 0', 'faultyShare'),
    row('wrong refusals', 'wrongRefusals', '0', chosen.wrongRefusals === 0),
  ];
}

/** Compares random with load-aware routing at half and at four fifths of the capacity, with and without faults. */
export function runRoutingBench(seed: number): BenchReport {
  const rows: BenchRow[] = [];
  for (const fault of ['none', 'slow', 'failing', 'silent'] as const)
    rows.push(
      ...collectRows(
        { seed, entries: 3, fault, load: 0.5, lossShare: 0.001 },
        `${fault}, half load:`,
      ),
    );
  for (const entries of [2, 4])
    rows.push(
      ...collectRows(
        { seed, entries, fault: 'none', load: 0.8, lossShare: 0.001 },
        `${entries} entries, 0.8 load:`,
      ),
    );
  const notes = [
    'Both variants use the chosen admission policy; retries are measured only when the tree has them.',
    'Service time: log-normal, mean 100 ms (assumed), sigma 0.5; capacity 800 requests a second.',
  ];
  return { name: 'routing', seed, rows, notes };
}
