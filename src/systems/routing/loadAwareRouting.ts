import type { EndpointView } from './endpointView.ts';
import type { RoutingQuery } from './routingPolicy.ts';
import { RoutingPolicy } from './routingPolicy.ts';

/** Attempts beyond the slots that an entry sends, so that a slot is not idle during a round trip. */
const MAX_QUEUED_PER_ENDPOINT = 2;
/** Trials wait this long for an idempotent request, which can be retried when the trial fails. */
const PROBE_RESERVATION_MS = 1_000;

export interface LoadAwareRoutingOptions {
  /** Share of the slots up to which endpoints of the own zone come first. */
  readonly localShare: number;
}

/**
 * Takes the better of two random endpoints with room, own zone first. Two choices keep several
 * entries that cannot see each other's choices from picking the same endpoint.
 */
export class LoadAwareRouting extends RoutingPolicy {
  private constructor(private readonly options: LoadAwareRoutingOptions) {
    super();
  }

  static create(options: LoadAwareRoutingOptions = { localShare: 0.8 }): LoadAwareRouting {
    return new LoadAwareRouting(options);
  }

  override choose(query: RoutingQuery): EndpointView | undefined {
    const trial = query.candidates.find((view) => isProbeDue(view, query.now));
    if (trial !== undefined && canProbe(trial, query)) return trial;
    const inUse = query.candidates.filter((view) => view.row.ejectedUntilMs === 0);
    const pool = listUntriedEndpoints(inUse.length > 0 ? inUse : query.candidates, query);
    const trusted = pool.filter((view) => !view.isSuspect);
    return (
      this.chooseByZone(trusted, query) ??
      (trusted.length === 0 ? this.chooseByZone(pool, query) : undefined)
    );
  }

  private chooseByZone(
    views: readonly EndpointView[],
    query: RoutingQuery,
  ): EndpointView | undefined {
    const open = views.filter(hasCapacity);
    const local = open.filter(
      (view) =>
        view.row.zone === query.zone && view.outstanding < this.options.localShare * view.row.slots,
    );
    return chooseCheaperOfTwo(local.length > 0 ? local : open, query);
  }
}

export function hasCapacity(view: EndpointView): boolean {
  return view.outstanding < view.row.slots + MAX_QUEUED_PER_ENDPOINT;
}

/** Whether an ejected endpoint may get its single trial attempt. */
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
  const firstAt = random.takeInt(0, views.length - 1);
  const offset = random.takeInt(1, views.length - 1);
  const first = views[firstAt];
  const second = views[(firstAt + offset) % views.length];
  if (first === undefined || second === undefined) return first;
  return computeCost(second) < computeCost(first) ? second : first;
}

/** Expected time of the next attempt relative to other endpoints. */
function computeCost(view: EndpointView): number {
  return ((view.outstanding + 1) / view.row.slots) * Math.max(1, view.row.roundTripMs);
}
