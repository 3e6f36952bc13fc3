import type { Clock } from '../base/common/clock.ts';
import type { Metrics } from '../base/node/metrics.ts';
import type { Configuration } from '../model/configuration.ts';
import type { CallerRequest } from '../model/request.ts';
import { findRoute } from '../systems/routing/routeMatch.ts';

/** Measures the time from the arrival of a request to its answer by route and outcome. */
export class RequestTimes {
  private readonly openRequests = new Map<
    string,
    { readonly route: string; readonly startedMs: number }
  >();

  private constructor(
    private readonly clock: Clock,
    private readonly metrics: Metrics,
  ) {}

  static create(clock: Clock, metrics: Metrics): RequestTimes {
    return new RequestTimes(clock, metrics);
  }

  start(configuration: Configuration, request: CallerRequest): void {
    const route = findRoute(configuration, request.method, request.host, request.path);
    this.openRequests.set(request.requestId, {
      route: route?.name ?? 'none',
      startedMs: this.clock.now,
    });
  }

  record(requestId: string, outcome: string): void {
    const request = this.openRequests.get(requestId);
    if (request === undefined) return;
    this.openRequests.delete(requestId);
    const labels = { route: request.route, outcome };
    this.metrics.recordDuration('request_duration_ms', labels, this.clock.now - request.startedMs);
  }
}
