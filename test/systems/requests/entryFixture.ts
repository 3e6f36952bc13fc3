import { ManualClock } from '../../../src/base/common/clock.ts';
import { Loop } from '../../../src/base/common/loop.ts';
import { SeededRandom } from '../../../src/base/common/seededRandom.ts';
import type { System } from '../../../src/base/common/system.ts';
import type { RouteConfig } from '../../../src/model/configuration.ts';
import { routeSchema } from '../../../src/model/configuration.ts';
import type { EntryArrival, EntryEffect } from '../../../src/model/effects.ts';
import type { EndpointRow } from '../../../src/model/endpoint.ts';
import type { EntryState } from '../../../src/model/entryState.ts';
import { createEntryState } from '../../../src/model/entryState.ts';
import type { AttemptReply, RequestRow } from '../../../src/model/request.ts';

export const ZONE = 'busan-a';

export function buildRoute(patch: Partial<RouteConfig> = {}): RouteConfig {
  return {
    ...routeSchema.parse({
      name: 'kit-read',
      pathPrefix: '/kits',
      service: 'kit',
      pool: 'kit-services',
      idempotent: true,
      deadlineMs: 2_000,
    }),
    ...patch,
  };
}

export function buildEndpoint(id: string, patch: Partial<EndpointRow> = {}): EndpointRow {
  return {
    id,
    service: 'kit',
    region: 'kr-south',
    zone: ZONE,
    agentId: id,
    agentBootId: id,
    agentAddress: id,
    slots: 8,
    connections: 60,
    draining: false,
    version: 1,
    load: { running: 0, waiting: 0, latencyMs: 0 },
    confirmedMs: 0,
    inFlight: 0,
    roundTripMs: 0,
    failuresInRow: 0,
    ejectedUntilMs: 0,
    ...patch,
  };
}

export function buildRequest(id: string, patch: Partial<RequestRow> = {}): RequestRow {
  return {
    id,
    phase: 'queued',
    route: 'kit-read',
    service: 'kit',
    idempotent: true,
    priority: 'ordinary',
    request: {
      requestId: id,
      method: 'GET',
      host: '',
      path: '/kits',
      headers: [],
      body: new Uint8Array(),
      isRepeat: false,
    },
    receivedMs: 0,
    deadlineMs: 2_000,
    notBeforeMs: 0,
    attempts: 0,
    triedEndpoints: [],
    mayHaveRun: false,
    lastFailure: undefined,
    ...patch,
  };
}

/** An entry whose ticks the test runs one by one, over a state that the test sets up. */
export class EntryFixture {
  readonly clock = ManualClock.create();
  readonly state: EntryState;
  readonly effects: EntryEffect[] = [];
  private readonly loop: Loop<EntryArrival, EntryEffect, EntryState>;

  private constructor(systems: readonly System<EntryState>[], routes: readonly RouteConfig[]) {
    this.state = createEntryState({ id: 'e', region: 'kr-south', zone: ZONE, address: 'e' }, 'e');
    this.state.configuration.current = {
      ...this.state.configuration.current,
      revision: 1,
      routes: [...routes],
    };
    this.loop = Loop.create<EntryArrival, EntryEffect, EntryState>({
      state: this.state,
      systems,
      clock: this.clock,
      random: SeededRandom.create(7),
      handleEffect: (effect) => this.effects.push(effect),
    });
  }

  static create(
    systems: readonly System<EntryState>[],
    routes: readonly RouteConfig[] = [buildRoute()],
  ): EntryFixture {
    return new EntryFixture(systems, routes);
  }

  /** Runs one tick and returns the time of the next one. */
  run(): number {
    return this.loop.runTick();
  }

  receiveReply(attemptId: string, outcome: AttemptReply['outcome']): void {
    this.loop.receive({ kind: 'attemptReply', attemptId, reply: { attemptId, outcome } });
  }

  /** Lists the ids of the requests that were sent, in order. */
  listSent(): string[] {
    return this.effects.flatMap((effect) =>
      effect.kind === 'sendAttempt' ? [effect.message.requestId] : [],
    );
  }

  /** Lists the request ids and reasons of the refusals, in order. */
  listRefusals(): string[] {
    return this.effects.flatMap((effect) =>
      effect.kind === 'refuseCaller' ? [`${effect.requestId} ${effect.failure.kind}`] : [],
    );
  }
}
