import type { SeededRandom } from '../../base/common/seededRandom.ts';
import type { RequestRow } from '../../model/request.ts';
import type { EndpointView } from './endpointView.ts';

/** Input of a routing decision. */
export interface RoutingQuery {
  /** Endpoints that are eligible for the attempt; never empty. */
  readonly candidates: readonly EndpointView[];
  readonly request: Pick<RequestRow, 'idempotent' | 'triedEndpoints'>;
  /** Zone of the entry. */
  readonly zone: string;
  readonly now: number;
  readonly random: SeededRandom;
}

/** Chooses an endpoint for an attempt, or none while no endpoint has capacity. */
export abstract class RoutingPolicy {
  abstract choose(query: RoutingQuery): EndpointView | undefined;
}

/** Baseline: chooses an endpoint uniformly at random. */
export class RandomRouting extends RoutingPolicy {
  private constructor() {
    super();
  }

  static create(): RandomRouting {
    return new RandomRouting();
  }

  override choose(query: RoutingQuery): EndpointView | undefined {
    return query.candidates[query.random.takeInt(0, query.candidates.length - 1)];
  }
}
