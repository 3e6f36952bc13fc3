import { randomInt } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type * as grpc from '@grpc/grpc-js';
import type * as z from 'zod/mini';
import type { Disposable } from '../base/common/disposable.ts';
import { createFailure } from '../base/common/errors.ts';
import { Loop } from '../base/common/loop.ts';
import { formatFaults } from '../base/common/parse.ts';
import { SeededRandom } from '../base/common/seededRandom.ts';
import type { LogWriter } from '../base/node/logWriter.ts';
import { NodeClock, NodeTimer } from '../base/node/nodeClock.ts';
import type { EntryArrival, EntryEffect, JsonAnswer } from '../model/effects.ts';
import type { EntryState } from '../model/entryState.ts';
import { createEntryState } from '../model/entryState.ts';
import type { ExchangeReply, ExchangeRequest } from '../model/exchange.ts';
import type { PeerReply } from '../model/peer.ts';
import type { identifiedPeerCallSchema } from '../protocol/node/grpc.ts';
import {
  AGENT_SERVICE,
  createGrpcServer,
  ENTRY_SERVICE,
  GrpcLinks,
  openGrpcServer,
} from '../protocol/node/grpc.ts';
import { HttpFront } from '../protocol/node/httpFront.ts';
import { parseJobCall } from '../protocol/node/jobFront.ts';
import type { JsonRequest } from '../protocol/node/jsonServer.ts';
import { JsonServer, parseJsonRequest, sendJsonAnswer } from '../protocol/node/jsonServer.ts';
import { parseOperatorCall } from '../protocol/node/operatorFront.ts';
import type { StoreClient } from '../protocol/node/storeClient.ts';
import { HttpStoreClient } from '../protocol/node/storeClient.ts';
import { createEntrySystems } from '../systems/entrySystems.ts';
import { OpenCalls } from './openCalls.ts';
import type { EntrySettings } from './settings.ts';

type IdentifiedPeerCall = z.output<typeof identifiedPeerCallSchema>;

const ABANDON_TIMEOUT_MS = 1_000;

/** Runs an entry: connects the loop to HTTP, gRPC and the store. It decides nothing. */
export class EntryDaemon implements Disposable {
  private readonly exchangeCalls = OpenCalls.create<ExchangeReply>('exchange');
  private readonly peerCalls = OpenCalls.create<PeerReply>('peer');
  private readonly jsonCalls = OpenCalls.create<JsonAnswer>('json');
  private readonly links = GrpcLinks.create();
  private readonly server = createGrpcServer();
  private readonly store: StoreClient;
  private readonly loop: Loop<EntryArrival, EntryEffect, EntryState>;
  private front: HttpFront | undefined;
  private operatorServer: JsonServer | undefined;
  private resolveStopped: () => void = () => undefined;
  /** Resolves when the loop has asked to exit. */
  readonly stopped = new Promise<void>((resolve) => {
    this.resolveStopped = resolve;
  });

  private constructor(
    private readonly log: LogWriter,
    readonly state: EntryState,
    private readonly random: SeededRandom,
    storeOrigin: string,
  ) {
    this.store = HttpStoreClient.create(storeOrigin);
    this.loop = Loop.create<EntryArrival, EntryEffect, EntryState>(
      {
        state,
        systems: createEntrySystems(),
        clock: NodeClock.create(),
        random,
        handleEffect: (effect) => {
          this.handleEffect(effect);
        },
      },
      NodeTimer.create(),
    );
  }

  static async create(settings: EntrySettings, log: LogWriter): Promise<EntryDaemon> {
    const random = SeededRandom.create(randomInt(0x7fffffff));
    const info = { id: settings.id, region: settings.region, zone: settings.zone, address: '' };
    const state = createEntryState(info, random.takeId());
    state.self.stopBoundMs = settings.stopSeconds * 1_000;
    const daemon = new EntryDaemon(log, state, random, settings.storeOrigin);
    daemon.addServices();
    const port = await openGrpcServer(daemon.server, `${settings.host}:${settings.linkPort}`);
    info.address = `${settings.host}:${port}`;
    daemon.operatorServer = await JsonServer.create(
      settings.host,
      settings.operatorPort,
      (request, answer) => daemon.receiveOperator(request, answer),
    );
    daemon.front = await daemon.openFront(settings);
    daemon.loop.wake();
    log.write('info', 'entry_started', {
      id: info.id,
      callerPort: daemon.callerPort,
      operatorPort: daemon.operatorPort,
      linkAddress: info.address,
    });
    return daemon;
  }

  get callerPort(): number {
    return this.front?.port ?? 0;
  }

  get operatorPort(): number {
    return this.operatorServer?.port ?? 0;
  }

  /** Starts the graceful shutdown; {@link stopped} resolves at its end. */
  stop(): void {
    this.loop.receive({ kind: 'stopRequested' });
  }

  dispose(): void {
    this.loop.dispose();
    this.front?.dispose();
    this.operatorServer?.dispose();
    this.server.forceShutdown();
    this.links.dispose();
    this.store.dispose();
  }

  private async openFront(settings: EntrySettings): Promise<HttpFront> {
    return HttpFront.create({
      host: settings.host,
      port: settings.callerPort,
      random: this.random,
      onRequest: (request) => {
        this.loop.receive({ kind: 'callerRequest', request });
      },
      onGone: (requestId) => {
        this.loop.receive({ kind: 'callerGone', requestId });
      },
      onOther: (request, body, response) => this.receiveJob(request, body, response),
    });
  }

  private addServices(): void {
    this.server.addService(ENTRY_SERVICE, {
      exchange: (
        call: grpc.ServerUnaryCall<ExchangeRequest, ExchangeReply>,
        callback: grpc.sendUnaryData<ExchangeReply>,
      ) => {
        const callId = this.exchangeCalls.open((reply) => {
          callback(null, reply);
        });
        this.loop.receive({ kind: 'exchange', callId, request: call.request });
      },
      peer: (
        call: grpc.ServerUnaryCall<IdentifiedPeerCall, PeerReply>,
        callback: grpc.sendUnaryData<PeerReply>,
      ) => {
        const callId = this.peerCalls.open((reply) => {
          callback(null, reply);
        });
        this.loop.receive({
          kind: 'peerCall',
          callId,
          from: call.request.from,
          call: call.request.call,
        });
      },
    });
  }

  private receiveJob(
    request: IncomingMessage,
    bytes: Uint8Array,
    response: ServerResponse,
  ): boolean {
    if (request.url?.startsWith('/bramleyladder/') !== true) return false;
    const parsed = parseJsonRequest(request, bytes);
    const call = parsed === undefined ? undefined : parseJobCall(parsed);
    if (call === undefined) {
      sendJsonAnswer(response, {
        kind: 'failure',
        failure: createFailure(
          'bad_request',
          'not a call of the job interface, or the body is not valid JSON',
        ),
      });
      return true;
    }
    const callId = this.jsonCalls.open((answer) => {
      sendJsonAnswer(response, answer);
    });
    this.loop.receive({ kind: 'jobCall', callId, call });
    return true;
  }

  private receiveOperator(request: JsonRequest, answer: (answer: JsonAnswer) => void): boolean {
    const parsed = parseOperatorCall(request);
    if (parsed === undefined) return false;
    parsed.caseOf({
      Left: (faults) => {
        answer({
          kind: 'failure',
          failure: createFailure('config_invalid', formatFaults(faults)),
          details: faults,
        });
      },
      Right: (call) => {
        this.loop.receive({ kind: 'operatorCall', callId: this.jsonCalls.open(answer), call });
      },
    });
    return true;
  }

  private handleEffect(effect: EntryEffect): void {
    switch (effect.kind) {
      case 'log':
        this.log.write(effect.level, effect.event, effect.fields);
        return;
      case 'answerCaller':
        this.front?.answer(effect.requestId, effect.response);
        return;
      case 'refuseCaller':
        this.front?.refuse(effect.requestId, effect.failure, effect.retryAfterMs);
        return;
      case 'answerJob':
      case 'answerOperator':
        this.jsonCalls.answer(effect.callId, effect.answer);
        return;
      case 'answerExchange':
        this.exchangeCalls.answer(effect.callId, effect.reply);
        return;
      case 'answerPeer':
        this.peerCalls.answer(effect.callId, effect.reply);
        return;
      case 'sendAttempt':
        this.sendAttempt(effect);
        return;
      case 'abandonAttempt':
        this.links.send(
          effect.address,
          AGENT_SERVICE.abandon,
          { attemptId: effect.attemptId },
          ABANDON_TIMEOUT_MS,
          () => undefined,
        );
        return;
      case 'callPeer':
        this.callPeer(effect);
        return;
      case 'callStore':
        this.callStore(effect);
        return;
      case 'closeFront':
        this.front?.close();
        return;
      case 'exit':
        this.resolveStopped();
        return;
    }
  }

  private sendAttempt({ message, address }: Extract<EntryEffect, { kind: 'sendAttempt' }>): void {
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

  private callPeer({
    address,
    call,
    callId,
    timeoutMs,
  }: Extract<EntryEffect, { kind: 'callPeer' }>): void {
    this.links.send(
      address,
      ENTRY_SERVICE.peer,
      { from: this.state.self.info.id, call },
      timeoutMs,
      (reply) => {
        this.loop.receive({ kind: 'peerReply', callId, reply });
      },
    );
  }

  private callStore({
    call,
    callId,
    timeoutMs,
  }: Extract<EntryEffect, { kind: 'callStore' }>): void {
    void this.store.send(call, timeoutMs).then((reply) => {
      this.loop.receive({ kind: 'storeReply', callId, reply });
    });
  }
}
