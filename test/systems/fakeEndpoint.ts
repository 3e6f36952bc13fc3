import type { Failure } from '../../src/base/common/errors.ts';
import { createFailure } from '../../src/base/common/errors.ts';
import { routeSchema } from '../../src/model/configuration.ts';
import type { AttemptMessage, Response } from '../../src/model/request.ts';

/** Probabilities and delays of the links between the processes. */
export interface LinkFaults {
  loss: number;
  duplicate: number;
  maxDelayMs: number;
}

/** How the fake endpoint treats an attempt. */
export type EndpointBehaviour = (message: AttemptMessage) => {
  readonly afterMs: number;
  readonly outcome:
    | { readonly kind: 'response'; readonly response: Response }
    | { readonly kind: 'failed'; readonly failure: Failure; readonly sent: boolean };
};

export const OK: Response = { status: 200, headers: [], body: new Uint8Array([1]) };

export function createRoute(fields: object) {
  return routeSchema.parse({
    name: 'kits',
    pathPrefix: '/',
    service: 'kit',
    pool: 'pool',
    idempotent: false,
    ...fields,
  });
}

export function buildFailure(sent: boolean) {
  const failure = createFailure('endpoint_failed', sent ? 'reset' : 'refused');
  return { kind: 'failed' as const, failure, sent };
}
