import { randomInt } from 'node:crypto';
import * as grpc from '@grpc/grpc-js';
import type { Disposable } from '../base/common/disposable.ts';
import { Loop } from '../base/common/loop.ts';
import { SeededRandom } from '../base/common/seededRandom.ts';
import type { LogWriter } from '../base/node/logWriter.ts';
import { NodeClock, NodeTimer } from '../base/node/nodeClock.ts';
import type { EntryArrival, EntryEffect } from '../model/effects.ts';
import type { EntryState } from '../model/entryState.ts';
import { createEntryState } from '../model/entryState.ts';
import type { ExchangeReply, ExchangeRequest } from '../model/exchange.ts';
import type { PeerReply } from '../model/peer.ts';
import {
  AGENT_SERVICE,
  createGrpcServer,
  ENTRY_SERVICE,
  GrpcLinks,
  openGrpcServer,
} from '../protocol/node/grpc.ts';
import { HttpFront } from '../protocol/node/httpFront.ts';
import type { StoreClient } from '../protocol/node/storeClient.ts';
import { HttpStoreClient } from '../protocol/node/storeClient.ts';
import { createEntrySystems } from '../systems/entrySystems.ts';
import type { EntrySettings } from './settings.ts';

/** Runs an entry: connects the loop to HTTP, gRPC and the store. It decides nothing. */
export class EntryDaemon implements Disposable {
  private readonly exchangeCalls = new Map<string, (reply: ExchangeReply) => void>();
  private readonly peerCalls = new Map<string, (reply: PeerReply) => void>();
  private readonly links = GrpcLinks.create();
  private readonly store: StoreClient;
  private readonly random = SeededRandom.create(randomInt(0x7fffffff));
  private lastCall = 0;

  private constructor(
    private readonly log: LogWriter,
    private readonly server: grpc.Server,
    readonly state: EntryState,
    private readonly loop: Loop<EntryArrival, EntryEffect, EntryState>,
    storeOrigin: string,
  ) {
    this.store = HttpStoreClient.create(storeOrigin);
  }

  private front!: HttpFront;

  static async create(settings: EntrySettings, log: LogWriter): Promise<EntryDaemon> {
    const random = SeededRandom.create(randomInt(0x7fffffff));
    const server = createGrpcServer();
    const holder: { daemon?: EntryDaemon } = {};
    server.addService(ENTRY_SERVICE, {
      exchange: (
        call: grpc.ServerUnaryCall<ExchangeRequest, ExchangeReply>,
        callback: grpc.sendUnaryData<ExchangeReply>,
      ) => {
        holder.daemon?.receiveExchange(call.request, callback);
      },
      peer: (_call: unknown, callback: grpc.sendUnaryData<PeerReply>) => {
        callback({ code: grpc.status.UNIMPLEMENTED });
      },
    });
    const port = await openGrpcServer(server, `${settings.host}:${settings.linkPort}`);
    const state = createEntryState(
      {
        id: settings.id,
        region: settings.region,
        zone: settings.zone,
        address: `${settings.host}:${port}`,
      },
      random.takeId(),
    );
    const loop = Loop.create<EntryArrival, EntryEffect, EntryState>(
      {
        state,
        systems: createEntrySystems(),
        clock: NodeClock.create(),
        random,
        handleEffect: (effect) => holder.daemon?.handleEffect(effect),
      },
      NodeTimer.create(),
    );
    const daemon = new EntryDaemon(log, server, state, loop, settings.storeOrigin);
    holder.daemon = daemon;
    daemon.front = await HttpFront.create({
      host: settings.host,
      port: settings.callerPort,
      random: daemon.random,
      onRequest: (request) => {
        loop.receive({ kind: 'callerRequest', request });
      },
      onGone: (requestId) => {
        loop.receive({ kind: 'callerGone', requestId });
      },
    });
    loop.wake();
    log.write('info', 'entry_started', {
      id: settings.id,
      callerPort: daemon.front.port,
      linkAddress: state.self.info.address,
    });
    return daemon;
  }

  get callerPort(): number {
    return this.front.port;
  }

  dispose(): void {
    this.loop.dispose();
    this.front.dispose();
    this.server.forceShutdown();
    this.links.dispose();
    this.store.dispose();
  }

  private receiveExchange(
    request: ExchangeRequest,
    callback: grpc.sendUnaryData<ExchangeReply>,
  ): void {
    this.lastCall += 1;
    const callId = `exchange-${this.lastCall}`;
    this.exchangeCalls.set(callId, (reply) => {
      callback(null, reply);
    });
    this.loop.receive({ kind: 'exchange', callId, request });
  }

  private handleEffect(effect: EntryEffect): void {
    switch (effect.kind) {
      case 'log':
        this.log.write(effect.level, effect.event, effect.fields);
        return;
      case 'answerCaller':
        this.front.answer(effect.requestId, effect.response);
        return;
      case 'refuseCaller':
        this.front.refuse(effect.requestId, effect.failure, effect.retryAfterMs);
        return;
      case 'sendAttempt':
        this.sendAttempt(effect);
        return;
      case 'answerExchange':
        this.exchangeCalls.get(effect.callId)?.(effect.reply);
        this.exchangeCalls.delete(effect.callId);
        return;
      case 'answerPeer':
        this.peerCalls.get(effect.callId)?.(effect.reply);
        this.peerCalls.delete(effect.callId);
        return;
      case 'callStore':
        void this.store.send(effect.call, effect.timeoutMs).then((reply) => {
          this.loop.receive({ kind: 'storeReply', callId: effect.callId, reply });
        });
        return;
      case 'closeFront':
        this.front.close();
        return;
      default:
        this.log.write('error', 'effect_not_carried_out', { kind: effect.kind });
    }
  }

  private sendAttempt(effect: Extract<EntryEffect, { kind: 'sendAttempt' }>): void {
    const { message, address } = effect;
    this.links.send(
      address,
      AGENT_SERVICE.attempt,
      message,
      message.remainingMs,
      (reply, error) => {
        if (reply === undefined)
          this.loop.receive({
            kind: 'attemptLinkFailed',
            attemptId: message.attemptId,
            message: error,
          });
        else this.loop.receive({ kind: 'attemptReply', attemptId: message.attemptId, reply });
      },
    );
  }
}
