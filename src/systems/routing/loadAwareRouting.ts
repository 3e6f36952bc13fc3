import type { EndpointView } from './endpointView.ts';
import type { RoutingQuery } from './routingPolicy.ts';
import { RoutingPolicy } from './routingPolicy.ts';

/** Attempts that an entry sends beyond the slots, so that no slot is idle during a round trip. */
const MAX_QUEUED_PER_ENDPOINT = 2;
/**
 * Time for which the probe of an ejected endpoint is reserved for an idempotent request, which can
 * be retried when the probe fails.
 */
const PROBE_RESERVATION_MS = 1_000;

export interface LoadAwareRoutingOptions {
  /** Share of the slots up to which endpoints in the zone of the entry are preferred. */
  readonly localShare: number;
}

/**
 * Chooses the cheaper of two random endpoints with capacity and prefers the zone of the entry. The
 * random pair prevents entries that cannot see each other's choices from all choosing the same
 * endpoint.
 */
export class LoadAwareRouting extends RoutingPolicy {
  private constructor(private readonly options: LoadAwareRoutingOptions) {
    super();
  }

  static create(options: LoadAwareRoutingOptions = { localShare: 0.8 }): LoadAwareRouting {
    return new LoadAwareRouting(options);
  }

  override choose(query: RoutingQuery): EndpointView | undefined {
    const probe = query.candidates.find((view) => isProbeDue(view, query.now));
    if (probe !== undefined && canProbe(probe, query)) return probe;
    const inUse = query.candidates.filter((view) => view.row.ejectedUntilMs === 0);
    const eligible = listUntriedEndpoints(inUse.length > 0 ? inUse : query.candidates, query);
    const confirmed = eligible.filter((view) => !view.isSuspect);
    return (
      this.chooseByZone(confirmed, query) ??
      (confirmed.length === 0 ? this.chooseByZone(eligible, query) : undefined)
    );
  }

  private chooseByZone(
    views: readonly EndpointView[],
    query: RoutingQuery,
  ): EndpointView | undefined {
    const available = views.filter(hasCapacity);
    const local = available.filter(
      (view) =>
        view.row.zone === query.zone && view.outstanding < this.options.localShare * view.row.slots,
    );
    return chooseCheaperOfTwo(local.length > 0 ? local : available, query);
  }
}

export function hasCapacity(view: EndpointView): boolean {
  return view.outstanding < view.row.slots + MAX_QUEUED_PER_ENDPOINT;
}

/** Whether an ejected endpoint may receive its single probe attempt. */
export function isProbeDue(view: EndpointView, nowMs: number): boolean {
  const { ejectedUntilMs, inFlight } = view.row;
  return ejectedUntilMs > 0 && ejectedUntilMs <= nowMs && inFlight === 0;
}

function canProbe(view: EndpointView, query: RoutingQuery): boolean {
  if (query.request.triedEndpoints.includes(view.row.id)) return false;
  return query.request.idempotent || query.now - view.row.ejectedUntilMs >= PROBE_RESERVATION_MS;
}

function listUntriedEndpoints(
  views: readonly EndpointView[],
  query: RoutingQuery,
): readonly EndpointView[] {
  const { triedEndpoints } = query.request;
  if (triedEndpoints.length === 0) return views;
  const untried = views.filter((view) => !triedEndpoints.includes(view.row.id));
  return untried.length > 0 ? untried : views;
}

function chooseCheaperOfTwo(
  views: readonly EndpointView[],
  { random }: RoutingQuery,
): EndpointView | undefined {
  if (views.length <= 1) return views[0];
  const firstIndex = random.takeInt(0, views.length - 1);
  const offset = random.takeInt(1, views.length - 1);
  const first = views[firstIndex];
  const second = views[(firstIndex + offset) % views.length];
  if (first === undefined || second === undefined) return first;
  return computeCost(second) < computeCost(first) ? second : first;
}

/** Estimates the duration of the next attempt, comparable between endpoints only. */
function computeCost(view: EndpointView): number {
  return ((view.outstanding + 1) / view.row.slots) * Math.max(1, view.row.roundTripMs);
}
