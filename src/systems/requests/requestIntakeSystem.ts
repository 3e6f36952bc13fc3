import { createFailure } from '../../base/common/errors.ts';
import type { Tick } from '../../base/common/system.ts';
import { System } from '../../base/common/system.ts';
import type { EntryState } from '../../model/entryState.ts';
import type { CallerRequest } from '../../model/request.ts';
import { findRoute } from '../routing/routeMatch.ts';
import { closeWithFailure, sendRefusal } from './refuse.ts';

/**
 * Turns arrived caller requests into rows.
 * Reads `callerRequest`, `callerGone`, the configuration. Writes `requests`.
 * Runs each turn, before dispatch.
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
      this.receive(state, tick, arrival.request);
    for (const arrival of state.inbox.list('callerGone')) state.requests.remove(arrival.requestId);
    for (const request of state.requests.values()) {
      if (request.deadlineMs > tick.now) tick.wakeAt(request.deadlineMs);
      else {
        const kind = request.mayHaveRun
          ? 'deadline_exceeded_running'
          : 'deadline_exceeded_before_run';
        closeWithFailure(
          state,
          request.id,
          createFailure(kind, `no answer within the deadline of route ${request.route}`),
        );
      }
    }
  }

  private receive(state: EntryState, tick: Tick, request: CallerRequest): void {
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
          `route ${route.name} takes at most ${route.maxRequestBytes} bytes`,
        ),
      );
      return;
    }
    const timeoutMs = Math.min(route.deadlineMs, request.timeoutMs ?? route.deadlineMs);
    state.requests.set({
      id: request.requestId,
      phase: 'queued',
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
