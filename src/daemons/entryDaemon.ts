import { randomInt } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Disposable } from '../base/common/disposable.ts';
import { createFailure } from '../base/common/errors.ts';
import { Loop } from '../base/common/loop.ts';
import { formatFaults } from '../base/common/parse.ts';
import { SeededRandom } from '../base/common/seededRandom.ts';
import type { LogWriter } from '../base/node/logWriter.ts';
import { Metrics } from '../base/node/metrics.ts';
import { NodeClock, NodeTimer } from '../base/node/nodeClock.ts';
import type { EntryArrival, EntryEffect, JsonAnswer } from '../model/effects.ts';
import type { EntryState } from '../model/entryState.ts';
import { createEntryState } from '../model/entryState.ts';
import type { ExchangeReply } from '../model/exchange.ts';
import type { PeerReply } from '../model/peer.ts';
import type { AttemptTransport } from '../protocol/node/attemptTransport.ts';
import {
  createGrpcServer,
  ENTRY_SERVICE,
  GrpcClients,
  openGrpcServer,
} from '../protocol/node/grpc.ts';
import { HttpAttemptTransport } from '../protocol/node/httpAttemptTransport.ts';
import { HttpFront } from '../protocol/node/httpFront.ts';
import { parseJobCall } from '../protocol/node/jobFront.ts';
import type { JsonRequest } from '../protocol/node/jsonServer.ts';
import { JsonServer, parseJsonRequest, sendJsonAnswer } from '../protocol/node/jsonServer.ts';
import { parseOperatorCall } from '../protocol/node/operatorFront.ts';
import type { StoreClient } from '../protocol/node/storeClient.ts';
import { HttpStoreClient } from '../protocol/node/httpStoreClient.ts';
import { createEntrySystems } from '../systems/entrySystems.ts';
import { addEntryServices, JOB_CALL_REFUSAL } from './entryServices.ts';
import { handleMonitoringRequest } from './monitoring.ts';
import { OpenCalls } from './openCalls.ts';
import { RequestTimes } from './requestTimes.ts';
import type { EntrySettings } from './settings.ts';

/** Connects an entry's loop to HTTP, gRPC and the store; makes no decisions. */
export class EntryDaemon implements Disposable {
  private readonly exchangeCalls = OpenCalls.create<ExchangeReply>('exchange');
  private readonly peerCalls = OpenCalls.create<PeerReply>('peer');
  private readonly jsonCalls = OpenCalls.create<JsonAnswer>('json');
  private readonly clock = NodeClock.create();
  private readonly metrics = Metrics.create();
  private readonly requestTimes: RequestTimes;
  private readonly grpcClients = GrpcClients.create();
  private readonly grpcServer = createGrpcServer();
  private readonly store: StoreClient;
  private readonly loop: Loop<EntryArrival, EntryEffect, EntryState>;
  private front: HttpFront | undefined;
  private isFrontStarted = false;
  private operatorServer: JsonServer | undefined;
  private resolveStopped: () => void = () => undefined;
  /** Resolves when the loop requests the exit of the process. */
  readonly stopped = new Promise<void>((resolve) => {
    this.resolveStopped = resolve;
  });

  private constructor(
    private readonly log: LogWriter,
    readonly state: EntryState,
    private readonly random: SeededRandom,
    private readonly settings: EntrySettings,
    private readonly attempts: AttemptTransport,
  ) {
    this.requestTimes = RequestTimes.create(this.clock, this.metrics);
    this.store = HttpStoreClient.create(settings.storeOrigin);
    this.loop = Loop.create<EntryArrival, EntryEffect, EntryState>(
      {
        state,
        systems: createEntrySystems(),
        clock: this.clock,
        random,
        handleEffect: (effect) => {
          this.handleEffect(effect);
        },
        recordTick: ({ durationMs }) => {
          this.metrics.recordDuration('loop_turn_duration_ms', {}, durationMs);
          if (this.state.self.phase === 'serving') this.startFront();
        },
      },
      NodeTimer.create(),
    );
  }

  static async create(
    settings: EntrySettings,
    log: LogWriter,
    attempts: AttemptTransport = HttpAttemptTransport.create(),
  ): Promise<EntryDaemon> {
    const random = SeededRandom.create(randomInt(0x7fffffff));
    const info = { id: settings.id, region: settings.region, zone: settings.zone, address: '' };
    const state = createEntryState(info, random.takeId(), {
      peerAddresses: settings.peers,
      stopBoundMs: settings.stopSeconds * 1_000,
    });
    const daemon = new EntryDaemon(log, state, random, settings, attempts);
    addEntryServices(daemon.grpcServer, daemon.exchangeCalls, daemon.peerCalls, (arrival) => {
      daemon.loop.receive(arrival);
    });
    const port = await openGrpcServer(daemon.grpcServer, `${settings.host}:${settings.linkPort}`);
    info.address = `${settings.host}:${port}`;
    daemon.operatorServer = await JsonServer.create(
      settings.host,
      settings.operatorPort,
      (request, answer, response) =>
        handleMonitoringRequest(daemon.state, daemon.metrics, request, response) ||
        daemon.receiveOperator(request, answer),
    );
    daemon.loop.wake();
    log.write('info', 'entry_started', {
      id: info.id,
      operatorPort: daemon.operatorPort,
      linkAddress: info.address,
    });
    return daemon;
  }

  /** Port of the front end; 0 before it is open. */
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
    this.grpcServer.forceShutdown();
    this.grpcClients.dispose();
    this.attempts.dispose();
    this.store.dispose();
  }

  /** Opens the front end once a configuration is in force; earlier requests would have no route. */
  private startFront(): void {
    if (this.isFrontStarted) return;
    this.isFrontStarted = true;
    void this.openFront().then((front) => {
      this.front = front;
      this.log.write('info', 'front_opened', { port: front.port });
    });
  }

  private async openFront(): Promise<HttpFront> {
    return HttpFront.create({
      host: this.settings.host,
      port: this.settings.callerPort,
      random: this.random,
      onRequest: (request) => {
        this.requestTimes.start(this.state.configuration.current, request);
        this.loop.receive({ kind: 'callerRequest', request });
      },
      onDisconnect: (requestId) => {
        this.requestTimes.record(requestId, 'caller_gone');
        this.loop.receive({ kind: 'callerGone', requestId });
      },
      handleOtherRequest: (request, body, response) => this.receiveJob(request, body, response),
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
      sendJsonAnswer(response, JOB_CALL_REFUSAL);
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
        this.requestTimes.record(effect.requestId, 'answered');
        this.front?.answer(effect.requestId, effect.response);
        return;
      case 'refuseCaller':
        this.requestTimes.record(effect.requestId, effect.failure.kind);
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
        this.attempts.sendAbandon(effect.address, effect.attemptId);
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
    const { attemptId } = message;
    this.attempts.send(address, message, (reply, error) => {
      if (reply === undefined)
        this.loop.receive({ kind: 'attemptLinkFailed', attemptId, message: error });
      else this.loop.receive({ kind: 'attemptReply', attemptId, reply });
    });
  }

  private callPeer({
    address,
    call,
    callId,
    timeoutMs,
  }: Extract<EntryEffect, { kind: 'callPeer' }>): void {
    this.grpcClients.send(
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
    const sentMs = this.clock.now;
    void this.store.send(call, timeoutMs).then((reply) => {
      const labels = { op: call.op, result: reply.kind };
      this.metrics.recordDuration('store_call_duration_ms', labels, this.clock.now - sentMs);
      this.loop.receive({ kind: 'storeReply', callId, reply });
    });
  }
}
