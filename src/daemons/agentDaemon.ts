import { randomInt } from 'node:crypto';
import type * as grpc from '@grpc/grpc-js';
import type { Disposable } from '../base/common/disposable.ts';
import { Loop } from '../base/common/loop.ts';
import { SeededRandom } from '../base/common/seededRandom.ts';
import type { LogWriter } from '../base/node/logWriter.ts';
import { NodeClock, NodeTimer } from '../base/node/nodeClock.ts';
import type { AgentState } from '../model/agentState.ts';
import { createAgentState } from '../model/agentState.ts';
import type { AgentArrival, AgentEffect } from '../model/effects.ts';
import type { EndpointAnnouncement } from '../model/endpoint.ts';
import type { AttemptMessage, AttemptReply } from '../model/request.ts';
import { EndpointClient } from '../protocol/node/endpointClient.ts';
import {
  AGENT_SERVICE,
  createGrpcServer,
  ENTRY_SERVICE,
  GrpcLinks,
  openGrpcServer,
} from '../protocol/node/grpc.ts';
import { createAgentSystems } from '../systems/agentSystems.ts';
import type { AgentSettings } from './settings.ts';

/** Runs an agent: connects the loop to gRPC, the endpoints and the worker beside it. It decides nothing. */
export class AgentDaemon implements Disposable {
  private readonly attemptCalls = new Map<string, (reply: AttemptReply) => void>();
  private readonly links = GrpcLinks.create();
  private readonly endpoints: EndpointClient;
  private lastCall = 0;

  private constructor(
    private readonly log: LogWriter,
    private readonly server: grpc.Server,
    readonly state: AgentState,
    private readonly loop: Loop<AgentArrival, AgentEffect, AgentState>,
  ) {
    this.endpoints = EndpointClient.create({
      onResponse: (attemptId, response) => {
        loop.receive({ kind: 'endpointResponse', attemptId, response });
      },
      onFailure: (attemptId, failure, sent) => {
        loop.receive({ kind: 'endpointFailed', attemptId, failure, sent });
      },
    });
  }

  static async create(settings: AgentSettings, log: LogWriter): Promise<AgentDaemon> {
    const random = SeededRandom.create(randomInt(0x7fffffff));
    const server = createGrpcServer();
    const holder: { daemon?: AgentDaemon } = {};
    server.addService(AGENT_SERVICE, {
      attempt: (
        call: grpc.ServerUnaryCall<AttemptMessage, AttemptReply>,
        callback: grpc.sendUnaryData<AttemptReply>,
      ) => {
        holder.daemon?.receiveAttempt(call.request, callback);
      },
      abandon: (
        call: grpc.ServerUnaryCall<{ attemptId: string }, object>,
        callback: grpc.sendUnaryData<object>,
      ) => {
        holder.daemon?.receiveAbandon(call.request.attemptId);
        callback(null, {});
      },
    });
    const port = await openGrpcServer(server, `${settings.host}:${settings.linkPort}`);
    const state = createAgentState({
      id: settings.id,
      bootId: random.takeId(),
      address: `${settings.host}:${port}`,
      region: settings.region,
      zone: settings.zone,
      seedAddresses: settings.entries,
    });
    const loop = Loop.create<AgentArrival, AgentEffect, AgentState>(
      {
        state,
        systems: createAgentSystems(),
        clock: NodeClock.create(),
        random,
        handleEffect: (effect) => holder.daemon?.handleEffect(effect),
      },
      NodeTimer.create(),
    );
    const daemon = new AgentDaemon(log, server, state, loop);
    holder.daemon = daemon;
    loop.wake();
    log.write('info', 'agent_started', { id: settings.id, linkAddress: state.self.address });
    return daemon;
  }

  /** Takes an announcement of an endpoint on this instance. */
  register(announcement: EndpointAnnouncement): void {
    this.loop.receive({ kind: 'endpointAnnounced', announcement });
  }

  dispose(): void {
    this.loop.dispose();
    this.server.forceShutdown();
    this.links.dispose();
    this.endpoints.dispose();
  }

  private receiveAttempt(
    message: AttemptMessage,
    callback: grpc.sendUnaryData<AttemptReply>,
  ): void {
    this.lastCall += 1;
    const callId = `attempt-${this.lastCall}`;
    this.attemptCalls.set(callId, (reply) => {
      callback(null, reply);
    });
    this.loop.receive({ kind: 'attempt', callId, message });
  }

  private receiveAbandon(attemptId: string): void {
    this.loop.receive({ kind: 'attemptAbandoned', attemptId });
  }

  private handleEffect(effect: AgentEffect): void {
    switch (effect.kind) {
      case 'log':
        this.log.write(effect.level, effect.event, effect.fields);
        return;
      case 'answerAttempt':
        this.attemptCalls.get(effect.callId)?.(effect.reply);
        this.attemptCalls.delete(effect.callId);
        return;
      case 'forwardAttempt':
        this.endpoints.send(effect.origin, effect.connections, effect.timeoutMs, effect.message);
        return;
      case 'cancelForward':
        this.endpoints.close(effect.attemptId);
        return;
      case 'sendExchange':
        this.links.send(
          effect.address,
          ENTRY_SERVICE.exchange,
          effect.request,
          effect.timeoutMs,
          (reply) => {
            this.loop.receive({ kind: 'exchangeReply', callId: effect.callId, reply });
          },
        );
        return;
      default:
        this.log.write('error', 'effect_not_carried_out', { kind: effect.kind });
    }
  }
}
