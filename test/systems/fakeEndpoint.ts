import type { Failure } from '../../src/base/common/errors.ts';
import { createFailure } from '../../src/base/common/errors.ts';
import type { AgentSelf, LocalEndpointRow } from '../../src/model/agentState.ts';
import { routeSchema } from '../../src/model/configuration.ts';
import type { EndpointRow } from '../../src/model/endpoint.ts';
import type { AttemptMessage, Response } from '../../src/model/request.ts';

/** Fault probabilities and maximum delay of the links between the processes. */
export interface LinkFaults {
  loss: number;
  duplicate: number;
  maxDelayMs: number;
}

/** Chooses delay and outcome of an attempt at the fake endpoint. */
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

/** Creates the row of an endpoint at its agent. */
export function createLocalEndpoint(agentId: string, slots: number): LocalEndpointRow {
  return {
    id: `${agentId}/kit`,
    name: 'kit',
    service: 'kit',
    origin: 'http://kit',
    slots,
    connections: 60,
    draining: false,
    version: 1,
    latencyMs: 0,
  };
}

/** Creates the row of an endpoint at an entry; its confirmation outlasts every test. */
export function createEndpointRow(agent: AgentSelf, nowMs: number, inFlight: number): EndpointRow {
  return {
    id: `${agent.id}/kit`,
    service: 'kit',
    region: agent.region,
    zone: agent.zone,
    agentId: agent.id,
    agentBootId: agent.bootId,
    agentAddress: agent.address,
    slots: 2,
    connections: 60,
    draining: false,
    version: 1,
    load: { running: 0, waiting: 0, latencyMs: 0 },
    confirmedMs: nowMs + 1e9,
    inFlight,
    roundTripMs: 0,
    failuresInRow: 0,
    ejectedUntilMs: 0,
  };
}
