import type { Tick } from '../src/base/common/system.ts';
import { System } from '../src/base/common/system.ts';
import type { EntryState } from '../src/model/entryState.ts';
import type { AttemptRow, RequestRow } from '../src/model/request.ts';
import { getServiceLoad } from '../src/systems/admission/serviceLoad.ts';
import { DeadlineAdmission } from '../src/systems/admission/deadlineAdmission.ts';
import { recordAttemptSent } from '../src/systems/routing/endpointHealth.ts';
import { collectEndpointViews } from '../src/systems/routing/endpointView.ts';
import { LoadAwareRouting } from '../src/systems/routing/loadAwareRouting.ts';
import type { BenchReport, BenchRow } from './report.ts';
import { createBenchRow } from './report.ts';
import { RequestHarness } from './requestHarness.ts';
import { computeLatency, READ_ROUTE } from './routing.ts';
import type { EndpointFault } from './serviceModel.ts';
import { CAPACITY_RPS } from './serviceModel.ts';

/** About the 97th percentile of the harness's service time. */
const HEDGE_ROUND_TRIPS = 2.2;
const HEDGE_BUDGET_SHARE = 0.05;
const FAULT_AT_MS = 5_000;
const END_MS = 25_000;

/** Trial variant, not part of the product: sends a second attempt of a late idempotent request. */
class HedgeTrialSystem extends System<EntryState> {
  override readonly name = 'hedgeTrial';
  private readonly routing = LoadAwareRouting.create();
  private requests = 0;
  private hedges = 0;

  private constructor() {
    super();
  }

  static create(): HedgeTrialSystem {
    return new HedgeTrialSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    this.requests += state.inbox.list('callerRequest').length;
    for (const attempt of state.attempts.list()) {
      const request = state.requests.get(attempt.requestId);
      if (request?.phase !== 'dispatched' || request.attempts > 1) continue;
      const load = getServiceLoad(state, request.service);
      const dueMs = attempt.sentMs + HEDGE_ROUND_TRIPS * load.roundTripMs;
      if (dueMs > tick.now) tick.wakeAt(dueMs);
      else if (this.hedges < HEDGE_BUDGET_SHARE * this.requests)
        this.sendHedge(state, tick, request, attempt);
    }
  }

  private sendHedge(state: EntryState, tick: Tick, request: RequestRow, first: AttemptRow): void {
    const candidates = collectEndpointViews(state, request.service, tick.now).filter(
      (view) => view.row.id !== first.endpointId && view.row.ejectedUntilMs === 0,
    );
    const { zone } = state.self.info;
    const query = { candidates, request, zone, now: tick.now, random: tick.random };
    const endpoint = this.routing.choose(query)?.row;
    if (endpoint === undefined || endpoint.inFlight >= endpoint.slots) return;
    this.hedges += 1;
    const attemptId = `${request.id}.2`;
    state.attempts.set({
      ...first,
      id: attemptId,
      endpointId: endpoint.id,
      agentBootId: endpoint.agentBootId,
      sentMs: tick.now,
    });
    state.requests.update(request.id, { attempts: 2 });
    recordAttemptSent(state, tick.now, endpoint.id);
    const { method, path, headers, body } = request.request;
    const message = {
      attemptId,
      requestId: request.id,
      endpointId: endpoint.id,
      agentBootId: endpoint.agentBootId,
      remainingMs: request.deadlineMs - tick.now,
      maxResponseBytes: 0,
      method,
      path,
      headers,
      body,
    };
    state.outbox.append({ kind: 'sendAttempt', address: endpoint.agentAddress, message });
  }
}

interface HedgeRun {
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
  readonly answeredShare: number;
  readonly attemptsPerRequest: number;
}

function measureHedging(
  seed: number,
  load: number,
  fault: EndpointFault,
  isHedged: boolean,
): HedgeRun {
  const harness = RequestHarness.create({
    seed,
    entries: 3,
    lossShare: 0.001,
    routes: [READ_ROUTE],
    createRouting: () => LoadAwareRouting.create(),
    createAdmission: () => DeadlineAdmission.create(),
    createExtraSystems: () => (isHedged ? [HedgeTrialSystem.create()] : []),
  });
  harness.runLoad(FAULT_AT_MS, load * CAPACITY_RPS, () => READ_ROUTE);
  harness.faults[0] = fault;
  const attemptsBefore = harness.attemptsSent;
  harness.runLoad(END_MS, load * CAPACITY_RPS, () => READ_ROUTE);
  const attempts = harness.attemptsSent - attemptsBefore;
  harness.run(END_MS + 5_000);
  const outcomes = [...harness.outcomes.values()].filter(({ sentMs }) => sentMs >= FAULT_AT_MS);
  return { ...computeLatency(outcomes), attemptsPerRequest: attempts / outcomes.length };
}

/** Compares no hedging (baseline) with hedging after 2.2 usual round trips (chosen column). */
export function runHedgingBench(seed: number): BenchReport {
  const rows: BenchRow[] = [];
  for (const [load, fault] of [
    [0.5, 'none'],
    [0.5, 'slow'],
    [0.5, 'silent'],
    [0.9, 'none'],
    [1.2, 'none'],
  ] as const) {
    const off = measureHedging(seed, load, fault, false);
    const on = measureHedging(seed, load, fault, true);
    for (const key of ['p50', 'p99', 'p999', 'answeredShare', 'attemptsPerRequest'] as const)
      rows.push(createBenchRow(`load ${load}, ${fault}: ${key}`, off[key], on[key]));
  }
  const notes = [
    'Baseline: no hedging. Chosen column: the hedging trial.',
    'Service times of two attempts of one request are independent here, which favours hedging.',
  ];
  return { name: 'hedging', seed, rows, notes };
}
