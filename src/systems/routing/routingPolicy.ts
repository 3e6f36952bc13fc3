import type { SeededRandom } from '../../base/common/seededRandom.ts';
import type { EndpointRow } from '../../model/endpoint.ts';

/** What a routing policy may look at. */
export interface RoutingQuery {
  /** Endpoints that may take the attempt; never empty. */
  readonly candidates: readonly EndpointRow[];
  /** Zone of the entry. */
  readonly zone: string;
  readonly random: SeededRandom;
}

/** Chooses an endpoint for an attempt. */
export abstract class RoutingPolicy {
  abstract choose(query: RoutingQuery): EndpointRow | undefined;
}

/** Baseline: any endpoint, uniformly at random. */
export class RandomRouting extends RoutingPolicy {
  private constructor() {
    super();
  }

  static create(): RandomRouting {
    return new RandomRouting();
  }

  override choose(query: RoutingQuery): EndpointRow | undefined {
    return query.candidates[query.random.takeInt(0, query.candidates.length - 1)];
  }
}
