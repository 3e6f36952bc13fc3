import { randomInt } from 'node:crypto';
import type { Disposable } from '../base/common/disposable.ts';
import { createFailure } from '../base/common/errors.ts';
import { Loop } from '../base/common/loop.ts';
import { formatFaults, parseValue } from '../base/common/parse.ts';
import { SeededRandom } from '../base/common/seededRandom.ts';
import type { LogWriter } from '../base/node/logWriter.ts';
import { NodeClock, NodeTimer } from '../base/node/nodeClock.ts';
import type { AgentState } from '../model/agentState.ts';
import { createAgentState } from '../model/agentState.ts';
import type { AgentArrival, AgentEffect, JsonAnswer } from '../model/effects.ts';
import type { EndpointAnnouncement } from '../model/endpoint.ts';
import { endpointAnnouncementSchema } from '../model/endpoint.ts';
import type { AttemptReply } from '../model/request.ts';
import type { AttemptServer, AttemptTransport } from '../protocol/node/attemptTransport.ts';
import { EndpointClient } from '../protocol/node/endpointClient.ts';
import { ENTRY_SERVICE, GrpcClients } from '../protocol/node/grpc.ts';
import { HttpAttemptTransport } from '../protocol/node/httpAttemptTransport.ts';
import type { JsonRequest } from '../protocol/node/jsonServer.ts';
import { decodePathSegment } from '../protocol/node/requestPath.ts';
import { JsonServer } from '../protocol/node/jsonServer.ts';
import type { WorkerClient } from '../protocol/node/workerClient.ts';
import { HttpWorkerClient } from '../protocol/node/workerClient.ts';
import { createAgentSystems } from '../systems/agentSystems.ts';
import { OpenCalls } from './openCalls.ts';
import type { AgentSettings } from './settings.ts';

const ENDPOINT_PATH = '/v1/endpoints';

/** Connects an agent's loop to entries, endpoints and the local worker; makes no decisions. */
export class AgentDaemon implements Disposable {
  private readonly attemptCalls = OpenCalls.create<AttemptReply>('attempt');
  private readonly grpcClients = GrpcClients.create();
  private readonly endpoints: EndpointClient;
  private readonly worker: WorkerClient | undefined;
  private readonly loop: Loop<AgentArrival, AgentEffect, AgentState>;
  private attemptServer: AttemptServer | undefined;
  private announceServer: JsonServer | undefined;
  private resolveStopped: () => void = () => undefined;
  /** Resolves when the loop requests the exit of the process. */
  readonly stopped = new Promise<void>((resolve) => {
    this.resolveStopped = resolve;
  });

  private constructor(
    private readonly log: LogWriter,
    readonly state: AgentState,
    random: SeededRandom,
    workerOrigin: string | undefined,
    private readonly attempts: AttemptTransport,
  ) {
    this.worker = workerOrigin === undefined ? undefined : HttpWorkerClient.create(workerOrigin);
    this.loop = Loop.create<AgentArrival, AgentEffect, AgentState>(
      {
        state,
        systems: createAgentSystems(),
        clock: NodeClock.create(),
        random,
        handleEffect: (effect) => {
          this.handleEffect(effect);
        },
      },
      NodeTimer.create(),
    );
    this.endpoints = EndpointClient.create({
      onResponse: (attemptId, response) => {
        this.loop.receive({ kind: 'endpointResponse', attemptId, response });
      },
      onFailure: (attemptId, failure, sent) => {
        this.loop.receive({ kind: 'endpointFailed', attemptId, failure, sent });
      },
    });
  }

  static async create(
    settings: AgentSettings,
    log: LogWriter,
    attempts: AttemptTransport = HttpAttemptTransport.create(),
  ): Promise<AgentDaemon> {
    const random = SeededRandom.create(randomInt(0x7fffffff));
    const identity = {
      id: settings.id,
      bootId: random.takeId(),
      address: '',
      region: settings.region,
      zone: settings.zone,
      seedAddresses: settings.entries,
      stopBoundMs: settings.stopSeconds * 1_000,
      stopsTasks: settings.stopsTasks ?? false,
      hasWorker: settings.workerOrigin !== undefined,
    };
    const state = createAgentState(identity);
    const daemon = new AgentDaemon(log, state, random, settings.workerOrigin, attempts);
    daemon.attemptServer = await daemon.openAttemptServer(settings);
    state.self.address = `${settings.host}:${daemon.attemptServer.port}`;
    daemon.announceServer = await JsonServer.create(
      settings.host,
      settings.announcePort,
      (request, answer) => daemon.receiveAnnouncement(request, answer),
    );
    daemon.loop.wake();
    log.write('info', 'agent_started', {
      id: settings.id,
      linkAddress: state.self.address,
      announcePort: daemon.announcePort,
    });
    return daemon;
  }

  get announcePort(): number {
    return this.announceServer?.port ?? 0;
  }

  /** Forwards the announcement of an endpoint on this instance to the loop. */
  register(announcement: EndpointAnnouncement): void {
    this.loop.receive({ kind: 'endpointAnnounced', announcement });
  }

  /** Starts the graceful shutdown; {@link stopped} resolves at its end. */
  stop(): void {
    this.loop.receive({ kind: 'stopRequested' });
  }

  dispose(): void {
    this.loop.dispose();
    this.announceServer?.dispose();
    this.attemptServer?.dispose();
    this.attempts.dispose();
    this.grpcClients.dispose();
    this.endpoints.dispose();
    this.worker?.dispose();
  }

  private async openAttemptServer({ host, linkPort }: AgentSettings): Promise<AttemptServer> {
    return this.attempts.openServer(host, linkPort, {
      onAttempt: (message, answer) => {
        this.loop.receive({ kind: 'attempt', callId: this.attemptCalls.open(answer), message });
      },
      onAbandon: (attemptId) => {
        this.loop.receive({ kind: 'attemptAbandoned', attemptId });
      },
    });
  }

  /**
   * Handles `PUT /v1/endpoints`, which announces an endpoint, and `DELETE /v1/endpoints/<name>`,
   * which reports that the endpoint is leaving.
   */
  private receiveAnnouncement(request: JsonRequest, answer: (answer: JsonAnswer) => void): boolean {
    if (request.method === 'PUT' && request.path === ENDPOINT_PATH) {
      parseValue(endpointAnnouncementSchema, request.body).caseOf({
        Left: (faults) => {
          answer({
            kind: 'failure',
            failure: createFailure('bad_request', formatFaults(faults)),
            details: faults,
          });
        },
        Right: (announcement) => {
          this.register(announcement);
          answer({ kind: 'value', value: { accepted: announcement.name } });
        },
      });
      return true;
    }
    if (request.method === 'DELETE' && request.path.startsWith(`${ENDPOINT_PATH}/`)) {
      const name = decodePathSegment(request.path.slice(ENDPOINT_PATH.length + 1));
      if (name === undefined) return false;
      this.loop.receive({ kind: 'endpointLeaving', name });
      answer({ kind: 'value', value: { leaving: name } });
      return true;
    }
    return false;
  }

  private handleEffect(effect: AgentEffect): void {
    switch (effect.kind) {
      case 'log':
        this.log.write(effect.level, effect.event, effect.fields);
        return;
      case 'answerAttempt':
        this.attemptCalls.answer(effect.callId, effect.reply);
        return;
      case 'forwardAttempt':
        this.endpoints.send(effect.origin, effect.connections, effect.timeoutMs, effect.message);
        return;
      case 'cancelForward':
        this.endpoints.cancel(effect.attemptId);
        return;
      case 'sendExchange':
        this.grpcClients.send(
          effect.address,
          ENTRY_SERVICE.exchange,
          effect.request,
          effect.timeoutMs,
          (reply) => {
            this.loop.receive({ kind: 'exchangeReply', callId: effect.callId, reply });
          },
        );
        return;
      case 'callWorker':
        this.callWorker(effect);
        return;
      case 'exit':
        this.resolveStopped();
        return;
    }
  }

  private callWorker({
    call,
    callId,
    timeoutMs,
  }: Extract<AgentEffect, { kind: 'callWorker' }>): void {
    if (this.worker === undefined) return;
    void this.worker.send(call, timeoutMs).then((reply) => {
      this.loop.receive({ kind: 'workerReply', callId, reply });
    });
  }
}
