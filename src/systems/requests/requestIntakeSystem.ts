import { createFailure } from '../../base/common/errors.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { CallerRequest } from '../../model/request.ts';
import { findRoute } from '../routing/routeMatch.ts';
import { completeWithoutAnswer, completeWithFailure, sendRefusal } from './requestCompletion.ts';
import { addRetryTokens } from './retry.ts';

/**
 * Adds a row for each new caller request and refuses expired requests.
 * Reads `callerRequest`, `callerGone`, the configuration. Writes `requests`, `retryBudgets`.
 * Runs each tick, before dispatch.
 */
export class RequestIntakeSystem extends System<EntryState> {
  override readonly name = 'requestIntake';

  private constructor() {
    super();
  }

  static create(): RequestIntakeSystem {
    return new RequestIntakeSystem();
  }

  override run(state: EntryState, tick: Tick): void {
    for (const arrival of state.inbox.list('callerRequest'))
      this.receiveRequest(state, tick, arrival.request);
    for (const arrival of state.inbox.list('callerGone'))
      this.handleDisconnect(state, arrival.requestId);
    if (tick.now >= state.earliestRequestDeadlineMs) this.refuseExpired(state, tick);
    tick.wakeAt(state.earliestRequestDeadlineMs);
  }

  /**
   * Completes the request of a caller that has disconnected. A request with an idempotency key that
   * may have run continues, because its answer is stored for a repeat by the caller.
   */
  private handleDisconnect(state: EntryState, requestId: string): void {
    const request = state.requests.get(requestId);
    if (request === undefined) return;
    state.counters.add('callers_gone');
    if (request.hasClaim === true && request.mayHaveRun) return;
    completeWithoutAnswer(state, requestId);
  }

  private refuseExpired(state: EntryState, tick: Tick): void {
    let nextMs = Number.POSITIVE_INFINITY;
    for (const request of state.requests.list()) {
      if (request.deadlineMs > tick.now) {
        nextMs = Math.min(nextMs, request.deadlineMs);
        continue;
      }
      const kind = request.mayHaveRun
        ? 'deadline_exceeded_running'
        : 'deadline_exceeded_before_run';
      const message = `no answer within the deadline of route ${request.route}`;
      completeWithFailure(state, request.id, createFailure(kind, message));
    }
    state.earliestRequestDeadlineMs = nextMs;
  }

  private receiveRequest(state: EntryState, tick: Tick, request: CallerRequest): void {
    if (state.self.isFrontClosed) {
      const failure = createFailure(
        'shutting_down',
        'this entry is shutting down; use another one',
      );
      sendRefusal(state, request.requestId, failure);
      return;
    }
    const route = findRoute(
      state.configuration.current,
      request.method,
      request.host,
      request.path,
    );
    if (route === undefined) {
      sendRefusal(
        state,
        request.requestId,
        createFailure('no_route', `no route matches ${request.method} ${request.path}`),
      );
      return;
    }
    if (request.body.byteLength > route.maxRequestBytes) {
      sendRefusal(
        state,
        request.requestId,
        createFailure(
          'body_too_large',
          `route ${route.name} accepts request bodies of at most ${route.maxRequestBytes} bytes`,
        ),
      );
      return;
    }
    const timeoutMs = Math.min(route.deadlineMs, request.timeoutMs ?? route.deadlineMs);
    const needsClaim = !route.idempotent && request.idempotencyKey !== undefined;
    state.counters.add('requests');
    addRetryTokens(state, route.service);
    state.earliestRequestDeadlineMs = Math.min(
      state.earliestRequestDeadlineMs,
      tick.now + timeoutMs,
    );
    state.requests.set({
      id: request.requestId,
      phase: needsClaim ? 'claiming' : 'queued',
      route: route.name,
      service: route.service,
      idempotent: route.idempotent,
      priority: route.priority,
      request,
      receivedMs: tick.now,
      deadlineMs: tick.now + timeoutMs,
      notBeforeMs: tick.now,
      attempts: 0,
      triedEndpoints: [],
      mayHaveRun: false,
      lastFailure: undefined,
    });
  }
}
