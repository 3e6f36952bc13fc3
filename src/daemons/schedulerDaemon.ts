import type { WebSocket } from 'ws';
import type { LogWriter } from '../base/node/logWriter.ts';
import { readWallClock } from '../base/node/nodeClock.ts';
import type { SchedulerArrival, SchedulerEffect } from '../model/scheduler/schedulerMessages.ts';
import type { JobExplanation } from '../model/scheduler/jobExplanation.ts';
import type { QueueAnswer, QueueCall } from '../model/scheduler/queueCall.ts';
import type { AgentMessage, EntryMessage, OwnerMessage } from '../model/scheduler/linkMessages.ts';
import {
  agentMessageSchema,
  entryMessageSchema,
  ownerMessageSchema,
} from '../model/scheduler/linkMessages.ts';
import type { SchedulerIdentity, SchedulerState } from '../model/scheduler/schedulerState.ts';
import { createSchedulerState } from '../model/scheduler/schedulerState.ts';
import { JsonLink, JsonLinkServer } from '../protocol/node/jsonLinks.ts';
import { recoverFromFailure } from '../systems/scheduler/failureRecovery.ts';
import { buildJobExplanation } from '../systems/scheduler/jobExplanation.ts';
import { OWNER_HANDSHAKE_TIMEOUT_MS } from '../systems/scheduler/ownershipTimes.ts';
import { createSchedulerSystems } from '../systems/scheduler/schedulerSystems.ts';
import { ExchangeTimes } from './exchangeTimes.ts';
import { LoopDaemon } from './loopDaemon.ts';
import type { ExternalServices } from './serviceCalls.ts';
import { ServiceCalls } from './serviceCalls.ts';

/** Address on which a process of the scheduler accepts connections of the others. */
export interface LinkAddress {
  readonly host: string;
  readonly port: number;
}

/** Runs an entry of the scheduler: connects the loop to callers, the store and the links. */
export class SchedulerDaemon extends LoopDaemon<SchedulerArrival, SchedulerEffect, SchedulerState> {
  private readonly answerCallbacks = new Map<string, (answer: QueueAnswer) => void>();
  private readonly agentLinks = new Map<string, JsonLink<AgentMessage>>();
  private readonly peerLinks = new Map<string, JsonLink<EntryMessage>>();
  private readonly exchangeTimes = ExchangeTimes.create(this.clock, this.metrics);
  private readonly services: ServiceCalls;
  private ownerLink: JsonLink<OwnerMessage> | undefined;
  private linkServer: JsonLinkServer | undefined;
  private nextId = 1;

  private constructor(state: SchedulerState, services: ExternalServices, log: LogWriter) {
    super(state, createSchedulerSystems(), log);
    this.services = ServiceCalls.create(services, this.clock, this, (arrival) => {
      if (arrival.kind === 'storeReply') this.readWallClock();
      this.loop.receive(arrival);
    });
  }

  static async create(
    identity: SchedulerIdentity,
    links: LinkAddress,
    services: ExternalServices,
    log: LogWriter,
  ): Promise<SchedulerDaemon> {
    const state = createSchedulerState(identity);
    const daemon = new SchedulerDaemon(state, services, log);
    daemon.readWallClock();
    daemon.linkServer = await JsonLinkServer.create(links.host, links.port, (socket, peerId) => {
      daemon.acceptPeer(socket, peerId);
    });
    state.self.address = `${links.host}:${daemon.linkServer.port}`;
    daemon.loop.wake();
    log.write('info', 'entry_started', { id: identity.id, zone: identity.zone });
    return daemon;
  }

  /** Whether the balancer may route callers to this entry. */
  get isReady(): boolean {
    return this.state.self.phase === 'serving';
  }

  /** The daemon's monotonic clock, ms. */
  get now(): number {
    return this.clock.now;
  }

  get isStopping(): boolean {
    return this.state.self.phase === 'stopping';
  }

  /** Forwards a call to the loop; the returned function reports that the caller disconnected. */
  call(
    request: {
      readonly host: string;
      readonly path: string;
      readonly call: QueueCall;
      readonly deadlineMs: number;
    },
    answer: (answer: QueueAnswer) => void,
  ): () => void {
    const callId = `c${this.createId()}`;
    this.answerCallbacks.set(callId, answer);
    this.loop.receive({ kind: 'queueCall', callId, ...request });
    return () => {
      if (this.answerCallbacks.delete(callId)) this.loop.receive({ kind: 'callerGone', callId });
    };
  }

  /** Explains a job from the tables as of the latest tick. */
  explain(jobId: string): JobExplanation {
    return buildJobExplanation(this.state, jobId, this.clock.now);
  }

  override stop(): void {
    this.loop.receive({ kind: 'stopRequested' });
  }

  override dispose(): void {
    this.loop.dispose();
    this.linkServer?.dispose();
    for (const link of [...this.agentLinks.values(), ...this.peerLinks.values()]) link.dispose();
    this.ownerLink?.dispose();
    this.services.dispose();
  }

  private createId(): number {
    this.nextId += 1;
    return this.nextId;
  }

  private readWallClock(): void {
    this.state.wallOffsetMs = readWallClock() - this.clock.now;
  }

  private acceptPeer(socket: WebSocket, name: string): void {
    const peerId = `${name}#${this.createId()}`;
    const link = JsonLink.accept<EntryMessage>(socket, entryMessageSchema, {
      onOpen: () => undefined,
      onMessage: (message) => {
        this.loop.receive({ kind: 'peerHint', peerId, message });
      },
      onClose: () => {
        this.peerLinks.delete(peerId);
        this.loop.receive({ kind: 'peerLink', peerId, isOpen: false });
      },
      onInvalid: this.logInvalid(peerId),
    });
    this.peerLinks.set(peerId, link);
    this.loop.receive({ kind: 'peerLink', peerId, isOpen: true });
  }

  protected override recoverFrom(system: string): void {
    recoverFromFailure(this.state, system, this.clock.now);
  }

  protected override handleEffect(effect: SchedulerEffect): void {
    switch (effect.kind) {
      case 'log':
        this.log.write(effect.level, effect.event, effect.fields);
        return;
      case 'duration':
        this.metrics.recordDuration(effect.name, effect.labels, effect.durationMs);
        return;
      case 'callStore':
        this.services.callStore(effect);
        return;
      case 'requestAdvice':
        this.services.requestAdvice(effect);
        return;
      case 'callInstances':
        this.services.callInstances(effect);
        return;
      case 'answerCall':
        this.answerCallbacks.get(effect.callId)?.(effect.answer);
        this.answerCallbacks.delete(effect.callId);
        return;
      case 'openAgent':
        this.openAgent(effect.agentId, effect.address);
        return;
      case 'closeAgent':
        this.agentLinks.get(effect.agentId)?.dispose();
        this.agentLinks.delete(effect.agentId);
        return;
      case 'orderAgent':
        this.agentLinks.get(effect.agentId)?.send(effect.command);
        if (effect.command.kind === 'start')
          this.exchangeTimes.start('start', `${effect.agentId} ${formatRun(effect.command)}`);
        return;
      case 'openOwner':
        this.openOwner(effect.address);
        return;
      case 'closeOwner':
        this.ownerLink?.dispose();
        this.ownerLink = undefined;
        return;
      case 'hintOwner':
        this.ownerLink?.send(effect.message);
        if (effect.message.kind === 'call') this.exchangeTimes.start('call', effect.message.callId);
        return;
      case 'sendPeer':
        this.peerLinks.get(effect.peerId)?.send(effect.message);
        return;
      case 'closePeer':
        this.peerLinks.get(effect.peerId)?.dispose();
        this.peerLinks.delete(effect.peerId);
        return;
      case 'exit':
        this.completeStop();
        return;
    }
  }

  private openAgent(agentId: string, address: string): void {
    this.agentLinks.get(agentId)?.dispose();
    const link = JsonLink.open<AgentMessage>(address, this.state.self.id, agentMessageSchema, {
      onOpen: () => {
        this.loop.receive({ kind: 'agentLink', agentId, isOpen: true });
      },
      onMessage: (message) => {
        if (message.kind === 'startResult')
          this.exchangeTimes.record('start', `${agentId} ${formatRun(message)}`);
        this.loop.receive({ kind: 'agentMessage', agentId, message });
      },
      onClose: () => {
        this.agentLinks.delete(agentId);
        this.loop.receive({ kind: 'agentLink', agentId, isOpen: false });
      },
      onInvalid: this.logInvalid(agentId),
    });
    this.agentLinks.set(agentId, link);
  }

  private openOwner(address: string): void {
    this.ownerLink?.dispose();
    const link = JsonLink.open<OwnerMessage>(
      address,
      this.state.self.id,
      ownerMessageSchema,
      {
        onOpen: () => {
          this.loop.receive({ kind: 'ownerLink', isOpen: true });
        },
        onMessage: (message) => {
          if (message.kind === 'answer') this.exchangeTimes.record('call', message.callId);
          this.loop.receive({ kind: 'ownerMessage', message });
        },
        onClose: () => {
          if (this.ownerLink === link) this.ownerLink = undefined;
          this.loop.receive({ kind: 'ownerLink', isOpen: false });
        },
        onInvalid: this.logInvalid(address),
      },
      OWNER_HANDSHAKE_TIMEOUT_MS,
    );
    this.ownerLink = link;
  }
}

/** Identifies a start and its answer; answers inferred from run lists (attempt 0) are not timed. */
function formatRun(message: {
  readonly task: string;
  readonly run: number;
  readonly attempt: number;
}): string {
  return `${message.task}#${message.run}#${message.attempt}`;
}
