import type { RouteConfig } from '../src/model/configuration.ts';
import { routeSchema } from '../src/model/configuration.ts';
import type { AdmissionPolicy } from '../src/systems/admission/admissionPolicy.ts';
import { FifoAdmission } from '../src/systems/admission/admissionPolicy.ts';
import { DeadlineAdmission } from '../src/systems/admission/deadlineAdmission.ts';
import { LoadAwareRouting } from '../src/systems/routing/loadAwareRouting.ts';
import type { BenchReport, BenchRow } from './report.ts';
import { createBenchRow } from './report.ts';
import { RequestHarness } from './requestHarness.ts';
import { computeLatency, READ_ROUTE } from './routing.ts';
import type { CallerOutcome, EndpointFault } from './serviceModel.ts';
import { CAPACITY_RPS, countWrongRefusals } from './serviceModel.ts';

const LOADS = [0.5, 1, 1.5, 2, 3] as const;
const WARM_MS = 8_000;
const LOAD_END_MS = 28_000;
const SETTLE_MS = 6_000;
/** A request that takes longer than this after the overload counts as not yet recovered. */
const RECOVERED_LATENCY_MS = 1_000;

const WRITE_ROUTE: RouteConfig = routeSchema.parse({
  ...READ_ROUTE,
  name: 'kit-write',
  pathPrefix: '/kit-changes',
  methods: ['POST'],
  idempotent: false,
  priority: 'ordinary',
  deadlineMs: 5_000,
});
const LIGHT_ROUTE: RouteConfig = { ...READ_ROUTE, name: 'light', pathPrefix: '/light', weight: 1 };
const HEAVY_ROUTE: RouteConfig = { ...READ_ROUTE, name: 'heavy', pathPrefix: '/heavy', weight: 3 };

type CreateAdmission = () => AdmissionPolicy;

function createHarness(
  seed: number,
  createAdmission: CreateAdmission,
  routes: readonly RouteConfig[] = [READ_ROUTE, WRITE_ROUTE],
): RequestHarness {
  return RequestHarness.create({
    seed,
    entries: 3,
    lossShare: 0.001,
    routes,
    createRouting: () => LoadAwareRouting.create(),
    createAdmission,
  });
}

function chooseHalf(first: RouteConfig, second: RouteConfig, share = 0.5) {
  return (unit: number): RouteConfig => (unit < share ? first : second);
}

function listSent(harness: RequestHarness, fromMs: number, untilMs: number): CallerOutcome[] {
  return [...harness.outcomes.values()].filter(
    ({ sentMs }) => sentMs >= fromMs && sentMs < untilMs,
  );
}

function countAnswered(outcomes: readonly CallerOutcome[], route?: string): number {
  return outcomes.filter(
    (outcome) => outcome.result === 'answered' && (route ?? outcome.route) === outcome.route,
  ).length;
}

interface GoodputRun {
  readonly perSecond: number;
  readonly p99: number;
  readonly wrongRefusals: number;
  readonly ordinaryShare: number;
  readonly refusals: string;
}

export function measureGoodput(seed: number, load: number, create: CreateAdmission): GoodputRun {
  const harness = createHarness(seed, create);
  harness.runLoad(LOAD_END_MS, load * CAPACITY_RPS, chooseHalf(READ_ROUTE, WRITE_ROUTE));
  harness.run(LOAD_END_MS + SETTLE_MS);
  const outcomes = listSent(harness, WARM_MS, LOAD_END_MS);
  const answered = countAnswered(outcomes);
  return {
    perSecond: (1_000 * answered) / (LOAD_END_MS - WARM_MS),
    p99: computeLatency(outcomes).p99,
    wrongRefusals: countWrongRefusals(harness.outcomes.values()),
    ordinaryShare: countAnswered(outcomes, WRITE_ROUTE.name) / Math.max(1, answered),
    refusals: formatRefusals(outcomes),
  };
}

function formatRefusals(outcomes: readonly CallerOutcome[]): string {
  const counts = new Map<string, number>();
  for (const { result } of outcomes) {
    if (result !== 'answered') counts.set(result, (counts.get(result) ?? 0) + 1);
  }
  return [...counts].map(([reason, count]) => `${reason} ${count}`).join(', ') || 'none';
}

export function measureOverloadRecovery(seed: number, create: CreateAdmission): number {
  const harness = createHarness(seed, create);
  const choose = chooseHalf(READ_ROUTE, WRITE_ROUTE);
  harness.runLoad(15_000, 3 * CAPACITY_RPS, choose);
  harness.runLoad(30_000, 0.5 * CAPACITY_RPS, choose);
  harness.run(30_000 + SETTLE_MS);
  const unhealthy = listSent(harness, 15_000, 30_000).filter(
    ({ result, sentMs, doneMs }) => result !== 'answered' || doneMs - sentMs > RECOVERED_LATENCY_MS,
  );
  return Math.max(0, ...unhealthy.map(({ sentMs }) => sentMs - 15_000));
}

interface OutageRun {
  readonly attemptsPerRequest: number;
  readonly recoveryMs: number;
  readonly wrongRefusals: number;
}

export function measureOutage(
  seed: number,
  outageMs: number,
  create: CreateAdmission,
  fault: EndpointFault = 'refusing',
): OutageRun {
  const harness = createHarness(seed, create);
  const choose = chooseHalf(READ_ROUTE, WRITE_ROUTE);
  const rate = 0.5 * CAPACITY_RPS;
  const endMs = 5_000 + outageMs;
  harness.runLoad(5_000, rate, choose);
  harness.faults.fill(fault);
  const attemptsBefore = harness.attemptsSent;
  harness.runLoad(endMs, rate, choose);
  const attempts = harness.attemptsSent - attemptsBefore;
  harness.faults.fill('none');
  harness.runLoad(endMs + 30_000, rate, choose);
  harness.run(endMs + 30_000 + SETTLE_MS);
  return {
    attemptsPerRequest: attempts / listSent(harness, 5_000, endMs).length,
    recoveryMs: computeRecovery(listSent(harness, endMs, endMs + 30_000), endMs),
    wrongRefusals: countWrongRefusals(harness.outcomes.values()),
  };
}

/** Time after the outage from which on every second has at least 95 % of its requests answered. */
function computeRecovery(outcomes: readonly CallerOutcome[], endMs: number): number {
  const STEP_MS = 250;
  let recoveredMs = 0;
  for (let fromMs = endMs; fromMs < endMs + 29_000; fromMs += STEP_MS) {
    const window = outcomes.filter(({ sentMs }) => sentMs >= fromMs && sentMs < fromMs + 1_000);
    if (countAnswered(window) < 0.95 * window.length) recoveredMs = fromMs + STEP_MS - endMs;
  }
  return recoveredMs;
}

/** Answered requests of the heavy route for each one of the light route; both offer the same. */
function measureWeightShare(seed: number, create: CreateAdmission): number {
  const harness = createHarness(seed, create, [LIGHT_ROUTE, HEAVY_ROUTE]);
  harness.runLoad(LOAD_END_MS, 3 * CAPACITY_RPS, chooseHalf(LIGHT_ROUTE, HEAVY_ROUTE));
  harness.run(LOAD_END_MS + SETTLE_MS);
  const outcomes = listSent(harness, WARM_MS, LOAD_END_MS);
  return countAnswered(outcomes, 'heavy') / Math.max(1, countAnswered(outcomes, 'light'));
}

/** Answered share of a route that offers a tenth of the capacity beside one that floods. */
function measureModestRoute(seed: number, create: CreateAdmission): number {
  const harness = createHarness(seed, create, [LIGHT_ROUTE, HEAVY_ROUTE]);
  harness.runLoad(LOAD_END_MS, 2 * CAPACITY_RPS, chooseHalf(LIGHT_ROUTE, HEAVY_ROUTE, 0.05));
  harness.run(LOAD_END_MS + SETTLE_MS);
  const modest = listSent(harness, WARM_MS, LOAD_END_MS).filter(({ route }) => route === 'light');
  return countAnswered(modest) / Math.max(1, modest.length);
}

const createFifo: CreateAdmission = () => FifoAdmission.create();
const createChosen: CreateAdmission = () => DeadlineAdmission.create();

function collectGoodput(seed: number, notes: string[]): BenchRow[] {
  const runs = LOADS.map((load) => ({
    load,
    fifo: measureGoodput(seed, load, createFifo),
    chosen: measureGoodput(seed, load, createChosen),
  }));
  const peakFifo = Math.max(...runs.map(({ fifo }) => fifo.perSecond));
  const peak = Math.max(...runs.map(({ chosen }) => chosen.perSecond));
  return runs.flatMap(({ load, fifo, chosen }) => {
    notes.push(`load ${load}: fifo not answered: ${fifo.refusals}`);
    notes.push(`load ${load}: chosen not answered: ${chosen.refusals}`);
    const share = chosen.perSecond / peak;
    const wrong = chosen.wrongRefusals;
    return [
      createBenchRow(`goodput/s at ${load}`, fifo.perSecond, chosen.perSecond),
      load === 2
        ? createBenchRow(
            `goodput of peak at 2`,
            fifo.perSecond / peakFifo,
            share,
            'at least 0.9',
            share >= 0.9,
          )
        : createBenchRow(`goodput of peak at ${load}`, fifo.perSecond / peakFifo, share),
      createBenchRow(`p99 ms at ${load}`, fifo.p99, chosen.p99),
      createBenchRow(`ordinary share at ${load}`, fifo.ordinaryShare, chosen.ordinaryShare),
      createBenchRow(`wrong refusals at ${load}`, fifo.wrongRefusals, wrong, '0', wrong === 0),
    ];
  });
}

function collectOutage(seed: number, outageMs: number, fault: EndpointFault): BenchRow[] {
  const fifo = measureOutage(seed, outageMs, createFifo, fault);
  const chosen = measureOutage(seed, outageMs, createChosen, fault);
  const label = `outage of ${outageMs / 1_000} s, ${fault}:`;
  const ratio = chosen.attemptsPerRequest;
  const wrong = chosen.wrongRefusals;
  return [
    createBenchRow(
      `${label} attempts per request`,
      fifo.attemptsPerRequest,
      ratio,
      'at most 1.2',
      ratio <= 1.2,
    ),
    createBenchRow(`${label} recovery ms`, fifo.recoveryMs, chosen.recoveryMs),
    createBenchRow(`${label} wrong refusals`, fifo.wrongRefusals, wrong, '0', wrong === 0),
  ];
}

/** Compares FIFO with deadline admission under overload, after it, and in outages. */
export function runOverloadBench(seed: number): BenchReport {
  const notes: string[] = ['Both variants use the chosen routing policy.'];
  const rows = [
    ...collectGoodput(seed, notes),
    createBenchRow(
      'recovery ms after 3 times capacity',
      measureOverloadRecovery(seed, createFifo),
      measureOverloadRecovery(seed, createChosen),
    ),
    ...collectOutage(seed, 30_000, 'refusing'),
    ...collectOutage(seed, 30_000, 'silent'),
    ...collectOutage(seed, 300_000, 'refusing'),
    createBenchRow(
      'heavy to light route, weights 3 to 1',
      measureWeightShare(seed, createFifo),
      measureWeightShare(seed, createChosen),
    ),
    createBenchRow(
      'answered share of a modest route beside a flood',
      measureModestRoute(seed, createFifo),
      measureModestRoute(seed, createChosen),
    ),
  ];
  return { name: 'overload', seed, rows, notes };
}
