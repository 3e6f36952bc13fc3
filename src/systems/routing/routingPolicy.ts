import type { SeededRandom } from '../../base/common/seededRandom.ts';
import type { RequestRow } from '../../model/request.ts';
import type { EndpointView } from './endpointView.ts';

/** What a routing policy may look at. */
export interface RoutingQuery {
  /** Endpoints that may take the attempt; never empty. */
  readonly candidates: readonly EndpointView[];
  readonly request: Pick<RequestRow, 'idempotent' | 'triedEndpoints'>;
  /** Zone of the entry. */
  readonly zone: string;
  readonly now: number;
  readonly random: SeededRandom;
}

/** Chooses an endpoint for an attempt, or none while no endpoint has room. */
export abstract class RoutingPolicy {
  abstract choose(query: RoutingQuery): EndpointView | undefined;
}

/** Baseline: any endpoint, uniformly at random. */
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
