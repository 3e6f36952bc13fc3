import type { Failure } from '../../base/common/errors.ts';
import { createFailure } from '../../base/common/errors.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { AttemptRow, RequestRow } from '../../model/request.ts';
import type { AdmissionPolicy, WaitingQueue } from '../admission/admissionPolicy.ts';
import {
  collectWaitingQueues,
  findWaitingQueue,
  getQueue,
  queueRequest,
  recordDispatch,
} from '../admission/queues.ts';
import { getServiceLoad } from '../admission/serviceLoad.ts';
import {
  checkSilentEndpoints,
  recordAttemptSent,
  removeStaleEndpointHealth,
} from '../routing/endpointHealth.ts';
import type { EndpointView } from '../routing/endpointView.ts';
import { collectEndpointViews } from '../routing/endpointView.ts';
import type { RoutingPolicy } from '../routing/routingPolicy.ts';
import { buildAttemptMessage } from './attemptMessage.ts';
import { completeWithFailure } from './requestCompletion.ts';

/**
 * Interval of checks of the estimated load of other entries while this entry has no attempt in
 * progress.
 */
const LOAD_CHECK_INTERVAL_MS = 50;

/**
 * Admits queued requests to their queues and sends them to endpoints.
 * Reads `requests`, `endpoints`, `endpointHealth`, the configuration. Writes `requests`, `queues`,
 * `serviceLoads`, `attempts`, `endpoints`, `endpointHealth`.
 * Runs each tick, after intake and replies. Its cost depends on the number of queues, endpoints and
 * sent attempts, not on the number of waiting requests.
 */
export class DispatchSystem extends System<EntryState> {
  override readonly name = 'dispatch';

  private constructor(
    private readonly routing: RoutingPolicy,
    private readonly admission: AdmissionPolicy,
  ) {
    super();
  }

  static create(routing: RoutingPolicy, admission: AdmissionPolicy): DispatchSystem {
    return new DispatchSystem(routing, admission);
  }

  override run(state: EntryState, tick: Tick): void {
    removeStaleEndpointHealth(state);
    // Serves before and after admission: the first pass uses free slots, so that admission sees the
    // queue lengths that remain.
    this.serveQueues(state, tick);
    if (state.newRequests.count('new') === 0) return;
    for (const request of state.newRequests.list('new')) this.admit(state, tick, request);
    this.serveQueues(state, tick);
  }

  private admit(state: EntryState, tick: Tick, request: RequestRow): void {
    const queue = getQueue(state, request);
    const length = state.queuedRequests.count(queue.id);
    const load = getServiceLoad(state, request.service);
    const refusal = request.mayHaveRun
      ? undefined
      : this.admission.findRefusal({ queue, length, request, load, now: tick.now });
    if (refusal === undefined) queueRequest(state, queue, request, tick.now);
    else completeWithFailure(state, request.id, refusal);
  }

  private serveQueues(state: EntryState, tick: Tick): void {
    for (const [service, queues] of collectWaitingQueues(state))
      this.serveService(state, tick, service, queues);
  }

  private serveService(
    state: EntryState,
    tick: Tick,
    service: string,
    queues: WaitingQueue[],
  ): void {
    checkSilentEndpoints(state, tick.now, service);
    const endpoints = collectEndpointViews(state, service, tick.now);
    let inFlight = endpoints.reduce((total, view) => total + view.row.inFlight, 0);
    let waiting = queues;
    while (waiting.length > 0) {
      const load = getServiceLoad(state, service);
      const next = this.admission.chooseQueue(waiting, load);
      if (next === undefined) return;
      if (endpoints.length === 0)
        this.refuseRequest(state, next.oldestRequest, createNoEndpointFailure(service));
      else if (this.admission.isTooLate(next.oldestRequest, load, tick.now))
        this.refuseRequest(state, next.oldestRequest, createTooLateFailure(next));
      else {
        const endpoint = this.chooseEndpoint(state, tick, next.oldestRequest, endpoints);
        if (endpoint === undefined) {
          this.scheduleWake(tick, next, endpoints, inFlight);
          return;
        }
        this.sendAttempt(state, tick, next.oldestRequest, endpoint);
        inFlight += 1;
        const isOrdinaryWaiting = waiting.some(
          (candidate) => candidate.queue.priority === 'ordinary',
        );
        recordDispatch(state, next, isOrdinaryWaiting, tick.now);
      }
      waiting = this.updateWaitingQueues(state, waiting, next);
    }
  }

  private updateWaitingQueues(
    state: EntryState,
    waiting: readonly WaitingQueue[],
    served: WaitingQueue,
  ): WaitingQueue[] {
    return waiting.flatMap((candidate) => {
      if (candidate !== served) return [candidate];
      const queue = state.queues.get(candidate.queue.id);
      const next = queue === undefined ? undefined : findWaitingQueue(state, queue);
      return next === undefined ? [] : [next];
    });
  }

  private chooseEndpoint(
    state: EntryState,
    tick: Tick,
    request: RequestRow,
    candidates: readonly EndpointView[],
  ): EndpointView | undefined {
    const { zone } = state.self.info;
    return this.routing.choose({ candidates, request, zone, now: tick.now, random: tick.random });
  }

  /**
   * Schedules the next tick for time-based changes only, because replies wake the loop themselves.
   */
  private scheduleWake(
    tick: Tick,
    next: WaitingQueue,
    endpoints: readonly EndpointView[],
    inFlight: number,
  ): void {
    tick.wakeAt(next.oldestRequest.deadlineMs);
    if (inFlight === 0) tick.wakeAt(tick.now + LOAD_CHECK_INTERVAL_MS);
    for (const { row } of endpoints) {
      if (row.ejectedUntilMs > tick.now) tick.wakeAt(row.ejectedUntilMs);
    }
  }

  private refuseRequest(state: EntryState, request: RequestRow, failure: Failure): void {
    // The failure may say "not run" although an earlier attempt may have run.
    const isProvenNotRun = !request.mayHaveRun;
    const reportedFailure = isProvenNotRun
      ? failure
      : createFailure('outcome_unknown', failure.message);
    completeWithFailure(state, request.id, reportedFailure);
  }

  private sendAttempt(
    state: EntryState,
    tick: Tick,
    request: RequestRow,
    view: EndpointView,
  ): void {
    const endpoint = view.row;
    const attemptId = `${request.id}.${request.attempts + 1}`;
    const attempt: AttemptRow = {
      id: attemptId,
      requestId: request.id,
      endpointId: endpoint.id,
      agentBootId: endpoint.agentBootId,
      phase: 'sent',
      sentMs: tick.now,
      sends: 1,
    };
    state.attempts.set(attempt);
    state.requests.update(request.id, {
      phase: 'dispatched',
      attempts: request.attempts + 1,
      mayHaveRun: true,
    });
    recordAttemptSent(state, tick.now, endpoint.id);
    view.row = state.endpoints.get(endpoint.id) ?? endpoint;
    view.outstanding += 1;
    state.outbox.append({
      kind: 'sendAttempt',
      address: endpoint.agentAddress,
      message: buildAttemptMessage(state, tick.now, request, attempt),
    });
  }
}

function createNoEndpointFailure(service: string): Failure {
  return createFailure('no_endpoint', `no endpoint of service ${service} is available`);
}

function createTooLateFailure({ oldestRequest, queue }: WaitingQueue): Failure {
  return createFailure(
    'deadline_exceeded_before_run',
    `request ${oldestRequest.id} waited too long in the queue of route ${queue.route}`,
  );
}
